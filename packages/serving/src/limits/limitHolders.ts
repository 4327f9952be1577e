/**
 * Divides the limit of an upstream among the gateways without messages: every gateway ranks all registered gateways for
 * the upstream by rendezvous hashing, and the first few hold equal shares. A low limit has few holders, so that each of
 * them has a share that it can use; gateways that disagree for a while about the registrations add one holder, not one
 * limit.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { GatewayRanking } from '../peers/gatewayRanking.js'
import type { PeerTable } from '../peers/peerTable.js'
import type { LimitShare } from './requestPacer.js'

/** Holders of an upstream with the lowest limit: a second one in case that the first has no requests to send. */
const MINIMUM_HOLDERS = 2
/** A lower limit, also 0, is treated as this one: without any request, the end of the limit would not be noticed. */
export const MINIMUM_REQUESTS_PER_SECOND = 0.1
/** How long the number of gateways that are heard is used before they are counted again. */
const COUNT_MILLISECONDS = 250
/** The registrations count as complete if they include this fraction of the gateways that are heard. */
const MINIMUM_REGISTERED_FRACTION = 0.8

/** The shares of one gateway. */
export class LimitHolders {
  private readonly _peers: PeerTable
  private readonly _ranking: GatewayRanking
  private _heard = 1
  private _countAgainAt: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (peers: PeerTable) {
    this._peers = peers
    this._ranking = GatewayRanking.create(peers)
  }

  static create (peers: PeerTable): LimitHolders {
    return new LimitHolders(peers)
  }

  /** Returns the share of this gateway in a limit; undefined if it has none. */
  shareOf (upstreamId: string, requestsPerSecond: number, now: Timestamp): LimitShare | undefined {
    const limit = Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond)
    const known = this._ranking.gatewayCount
    const heard = this._countHeard(now)
    const rank = this._ranking.rankFor(upstreamId)
    // Without the store, a gateway of a large deployment knows only a few of the others; then all take equal shares.
    if (known < heard * MINIMUM_REGISTERED_FRACTION) return createShare(limit, heard, rank)
    const holders = Math.min(known, Math.floor(limit) + MINIMUM_HOLDERS)
    return rank < holders ? createShare(limit, holders, rank) : undefined
  }

  forget (upstreamId: string): void {
    this._ranking.forget(upstreamId)
  }

  private _countHeard (now: Timestamp): number {
    if (now < this._countAgainAt) return this._heard
    this._countAgainAt = now + COUNT_MILLISECONDS
    this._heard = this._peers.countPresent(now)
    return this._heard
  }
}

/** The bursts of all holders together are as large as the limit of one second and the minimum number of holders. */
function createShare (limit: number, holders: number, rank: number): LimitShare {
  return {
    requestsPerSecond: limit / holders,
    burstRequests: Math.max(1, (limit + MINIMUM_HOLDERS) / holders),
    phase: (rank % holders + 1) / holders
  }
}
