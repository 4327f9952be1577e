/**
 * Divides the limit of an upstream among the gateways without messages: every gateway ranks all registered gateways for
 * the upstream by rendezvous hashing, and the first few hold equal shares. A low limit has few holders, so that each of
 * them has a share that it can use; gateways that disagree for a while about the registrations add one holder, not one
 * limit.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { PeerTable } from '../peers/peerTable.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { LimitShare } from './requestPacer.js'

/** Holders of an upstream with the lowest limit: a second one in case that the first has no requests to send. */
const MINIMUM_HOLDERS = 2
/** A lower limit, also 0, is treated as this one: without any request, the end of the limit would not be noticed. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1
const REFRESH_MILLISECONDS = 1000
/** The registrations count as complete if they include this fraction of the gateways that are heard. */
const MINIMUM_REGISTERED_FRACTION = 0.8

interface KnownRank {
  /** Version of the gateways that the rank was computed for. */
  version: number
  /** Number of gateways that precede this one. */
  rank: number
}

/** The shares of one gateway. */
export class LimitHolders {
  private readonly _peers: PeerTable
  private readonly _ranks = new Map<string, KnownRank>()
  private _addresses: readonly string[] = []
  private _gateways = 1
  private _version = 0
  private _refreshAt: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (peers: PeerTable) {
    this._peers = peers
  }

  static create (peers: PeerTable): LimitHolders {
    return new LimitHolders(peers)
  }

  /** Returns the share of this gateway in a limit; undefined if it has none. */
  shareOf (upstreamId: string, requestsPerSecond: number, now: Timestamp): LimitShare | undefined {
    this._refresh(now)
    const limit = Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond)
    const rank = this._rankFor(upstreamId)
    if (!this._isComplete) return createShare(limit, this._gateways, rank)
    const holders = Math.min(this._addresses.length, Math.floor(limit) + MINIMUM_HOLDERS)
    return rank < holders ? createShare(limit, holders, rank) : undefined
  }

  forget (upstreamId: string): void {
    this._ranks.delete(upstreamId)
  }

  /** Without the store, a gateway of a large deployment knows only a few of the others; then all take equal shares. */
  private get _isComplete (): boolean {
    return this._addresses.length >= this._gateways * MINIMUM_REGISTERED_FRACTION
  }

  private _rankFor (upstreamId: string): number {
    const known = this._ranks.get(upstreamId)
    if (known?.version === this._version) return known.rank
    const own = this._peers.self.address
    const ownWeight = rendezvousWeight(upstreamId, own)
    const precedes = (address: string): boolean => {
      const weight = rendezvousWeight(upstreamId, address)
      return weight > ownWeight || (weight === ownWeight && address < own)
    }
    const rank = this._addresses.filter(precedes).length
    this._ranks.set(upstreamId, { version: this._version, rank })
    return rank
  }

  private _refresh (now: Timestamp): void {
    if (now < this._refreshAt) return
    this._refreshAt = now + REFRESH_MILLISECONDS
    const addresses = this._peers.listRegistrations().map(({ address }) => address).sort()
    this._gateways = Math.max(addresses.length, this._peers.countPresent(now))
    if (addresses.length === this._addresses.length && addresses.every((address, index) => address === this._addresses[index])) return
    this._addresses = addresses
    this._version++
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
