/**
 * Chooses the peer through which a gateway sends attempts to an upstream while its own connections are lost. Requests to
 * the same upstream use the same peer, so that tunnels are reused; different gateways and upstreams spread over all peers.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { rendezvousWeight } from '../routing/rendezvousHash.js'

/** A peer that failed is skipped for this long; the time doubles with each failure in a row. */
const SKIP_MILLISECONDS = 2000
const MAXIMUM_SKIP_MILLISECONDS = 16_000
/** Peers in the own failure domain are preferred if at least this share of them is usable. */
const MINIMUM_USABLE_SHARE = 0.5

/** What a gateway reports about its own connections to upstreams. */
export type PeerLinks = 'working' | 'lost' | 'unknown'

/** A peer that might carry attempts. */
export interface RelayCandidate {
  /** IP address and port. */
  address: string
  name: string
  failureDomain: string
  links: PeerLinks
  isStopping: boolean
}

/** What a choice depends on. */
export interface RelayDemand {
  candidates: readonly RelayCandidate[]
  /** Address of this gateway. */
  ownAddress: string
  /** Failure domain of this gateway. */
  ownFailureDomain: string
  upstreamId: string
}

/** The failures of a peer since its last success. */
interface PeerFailures {
  skippedUntil: Timestamp
  /** Number of skips since the last success. */
  skips: number
}

/** Chooses peers for one gateway. */
export class RelayPeers {
  private readonly _failures = new Map<string, PeerFailures>()

  static create (): RelayPeers {
    return new RelayPeers()
  }

  /** Returns the peer for attempts to an upstream; undefined when none is usable now. */
  choose (demand: RelayDemand, now: Timestamp): RelayCandidate | undefined {
    const usable = this._listUsable(demand, now)
    const nearby = usable.filter(({ failureDomain }) => failureDomain === demand.ownFailureDomain)
    const inOwnDomain = listPeers(demand).filter(({ failureDomain }) => failureDomain === demand.ownFailureDomain)
    const isNearbyPreferred = nearby.length > 0 && nearby.length >= inOwnDomain.length * MINIMUM_USABLE_SHARE
    return rankFirst(isNearbyPreferred ? nearby : usable, `${demand.ownAddress} ${demand.upstreamId} `)
  }

  /** Skips a peer for some time. Failures of attempts that began before the last one was recorded count once. */
  recordFailure (address: string, now: Timestamp): void {
    this._removeOutdated(now)
    const known = this._failures.get(address)
    if (known && known.skippedUntil > now) return
    const skips = (known?.skips ?? 0) + 1
    this._failures.set(address, { skippedUntil: now + skipMilliseconds(skips), skips })
  }

  recordSuccess (address: string): void {
    this._failures.delete(address)
  }

  /** Returns the peers whose links work, or, when there are none, those whose links are not known to be lost. */
  private _listUsable (demand: RelayDemand, now: Timestamp): RelayCandidate[] {
    const present = listPeers(demand).filter(({ address, links, isStopping }) => links !== 'lost' && !isStopping && !this._isSkipped(address, now))
    const working = present.filter(({ links }) => links === 'working')
    return working.length > 0 ? working : present
  }

  private _isSkipped (address: string, now: Timestamp): boolean {
    const failures = this._failures.get(address)
    return failures !== undefined && failures.skippedUntil > now
  }

  /** Forgets peers that have not failed for a long time, such as those that no longer exist. */
  private _removeOutdated (now: Timestamp): void {
    for (const [address, { skippedUntil }] of this._failures) if (skippedUntil <= now - MAXIMUM_SKIP_MILLISECONDS) this._failures.delete(address)
  }
}

/** Returns for how long a peer is skipped the given time in a row. */
function skipMilliseconds (skips: number): number {
  return Math.min(SKIP_MILLISECONDS * 2 ** (skips - 1), MAXIMUM_SKIP_MILLISECONDS)
}

function listPeers ({ candidates, ownAddress }: RelayDemand): RelayCandidate[] {
  return candidates.filter(({ address }) => address !== ownAddress)
}

function rankFirst (candidates: readonly RelayCandidate[], key: string): RelayCandidate | undefined {
  let first: RelayCandidate | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = rendezvousWeight(key, candidate.address)
    if (weight <= highest) continue
    highest = weight
    first = candidate
  }
  return first
}
