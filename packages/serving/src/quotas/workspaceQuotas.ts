/**
 * Keeps the quota of each workspace over all gateways: a replica of one token bucket, from which the own use is taken
 * at once and the use at other gateways as it becomes known. While the bucket runs low, a gateway takes no more than its
 * share of the refill, so that what the others have not heard of yet can't add up to much.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { WorkspaceQuota } from '@plumstage/records'
import type { PeerCoverage } from '../peers/peerTable.js'
import { SlidingSum } from '../slidingSum.js'
import { PeerQuotaUsage } from './peerQuotaUsage.js'
import type { WorkspaceUsage } from './workspaceUsage.js'

const MILLISECONDS_PER_SECOND = 1000
/** Time over which the rate is taken at which callers ask for units. */
const OFFERED_WINDOW_SECONDS = 3
/** A gateway that starts does not know what was used before. */
const INITIAL_FILL = 0.5
/** Other gateways are told at once when a workspace has used this share of its burst since they were told last. */
const URGENT_SHARE_OF_BURST = 0.1
/** Below this share of the burst a gateway takes no more than its share of the refill. */
const LOW_SHARE_OF_BURST = 0.5
/** The own share of the refill is at least this part of an equal one, so that a first request is not refused. */
const MINIMUM_PART_OF_EQUAL_SHARE = 0.25

interface Bucket {
  units: number
  /** Units that this gateway may still take while the bucket is low. */
  localUnits: number
  /** Part of the refill that is this gateway's. */
  localShare: number
  refilledAt: Timestamp
  admittedUnits: number
  /** Units that the others had been told when the last report was sent. */
  reportedUnits: number
  burstUnits: number
  /** Units that callers have lately asked for here, admitted or not. */
  offeredUnits: SlidingSum
}

/** Whether a request is within its workspace's quota. */
export type QuotaDecision =
  | { kind: 'admitted' }
  | { kind: 'exceeded', retryAfterMilliseconds: number }

/** The quotas of all workspaces at one gateway. */
export class WorkspaceQuotas {
  private readonly _buckets = new Map<string, Bucket>()
  private readonly _peerUsage = PeerQuotaUsage.create()

  static create (): WorkspaceQuotas {
    return new WorkspaceQuotas()
  }

  /**
   * Takes the units of a request. The refill is cut down to the share of the gateways that are heard, so that gateways
   * that do not hear each other together keep the quota.
   */
  consume (workspace: string, quota: WorkspaceQuota, units: number, peers: PeerCoverage, now: Timestamp): QuotaDecision {
    const bucket = this._refill(workspace, quota, peers, now)
    bucket.offeredUnits.record(units, now)
    const isLow = bucket.units < quota.burstUnits * LOW_SHARE_OF_BURST
    // A request that is larger than what is left is admitted, so that large ones are not refused more often than others.
    if (bucket.units <= 0 || (isLow && bucket.localUnits <= 0)) return { kind: 'exceeded', retryAfterMilliseconds: waitForRefill(bucket, quota) }
    bucket.units -= units
    bucket.localUnits -= units
    bucket.admittedUnits += units
    return { kind: 'admitted' }
  }

  /** Gives back the units of a request that did not run. */
  refund (workspace: string, units: number): void {
    const bucket = this._buckets.get(workspace)
    if (!bucket) return
    bucket.units += units
    bucket.localUnits += units
    bucket.admittedUnits -= units
  }

  /**
   * Takes what one run of another gateway says it has admitted since its start. What it admitted while it was not heard
   * is only noted: the refill was cut down for it at that time.
   */
  applyReport (gatewayRun: string, uses: readonly WorkspaceUsage[], wasHeard: boolean): void {
    for (const use of uses) this._charge(use.workspace, this._peerUsage.applyDirect(gatewayRun, use, wasHeard))
  }

  /** Chooses what counts of the others: the sums of relays, or what they say themselves. */
  followRelays (followsRelays: boolean): void {
    this._peerUsage.followRelays(followsRelays)
  }

  /** Takes the sums over other gateways that a relay gives. */
  applyRelayed (relayRun: string, uses: readonly WorkspaceUsage[], wasHeard: boolean, now: Timestamp): void {
    for (const use of uses) this._charge(use.workspace, this._peerUsage.applyRelayed(relayRun, use, wasHeard, now))
  }

  /** Sums over the gateways that are heard directly, without one of them. */
  sumPeerUsage (exceptRun: string): WorkspaceUsage[] {
    return this._peerUsage.sumDirect(exceptRun)
  }

  /** Forgets a gateway that is gone. */
  removeGateway (gatewayRun: string): void {
    this._peerUsage.removeGateway(gatewayRun)
  }

  /** Whether the other gateways should be told at once what was admitted here. */
  get isReportUrgent (): boolean {
    for (const bucket of this._buckets.values()) if (bucket.admittedUnits - bucket.reportedUnits > bucket.burstUnits * URGENT_SHARE_OF_BURST) return true
    return false
  }

  /** What was admitted here since the start, for a report to the other gateways. */
  createReport (now: Timestamp): WorkspaceUsage[] {
    for (const bucket of this._buckets.values()) bucket.reportedUnits = bucket.admittedUnits
    return [...this._buckets].map(([workspace, bucket]) => ({ workspace, admittedUnits: Math.max(0, Math.round(bucket.admittedUnits)), offeredUnitsPerSecond: Math.round(bucket.offeredUnits.sum(now) / OFFERED_WINDOW_SECONDS) }))
  }

  private _charge (workspace: string, units: number): void {
    const bucket = this._buckets.get(workspace)
    if (bucket) bucket.units -= units
  }

  private _refill (workspace: string, quota: WorkspaceQuota, peers: PeerCoverage, now: Timestamp): Bucket {
    let bucket = this._buckets.get(workspace)
    if (!bucket) {
      const units = quota.burstUnits * INITIAL_FILL * peers.reachableShare
      bucket = { units, localUnits: units / peers.gateways, localShare: 1 / peers.gateways, refilledAt: now, admittedUnits: 0, reportedUnits: 0, burstUnits: quota.burstUnits, offeredUnits: SlidingSum.create(OFFERED_WINDOW_SECONDS) }
      this._buckets.set(workspace, bucket)
      return bucket
    }
    const refilled = quota.unitsPerSecond * peers.reachableShare * (now - bucket.refilledAt) / MILLISECONDS_PER_SECOND
    bucket.localShare = this._computeLocalShare(workspace, bucket, peers, now)
    bucket.units = Math.min(quota.burstUnits, bucket.units + refilled)
    bucket.localUnits = Math.min(quota.burstUnits * bucket.localShare, bucket.localUnits + refilled * bucket.localShare)
    bucket.refilledAt = now
    bucket.burstUnits = quota.burstUnits
    return bucket
  }

  /** Part of what callers ask for in the workspace that they ask for at this gateway. */
  private _computeLocalShare (workspace: string, bucket: Bucket, { gateways }: PeerCoverage, now: Timestamp): number {
    const own = bucket.offeredUnits.sum(now) / OFFERED_WINDOW_SECONDS
    const all = own + this._peerUsage.offeredUnitsPerSecond(workspace)
    const smallest = MINIMUM_PART_OF_EQUAL_SHARE / gateways
    return all <= 0 ? 1 / gateways : Math.max(smallest, own / all)
  }
}

/** Time until the next request is admitted, in milliseconds. */
function waitForRefill (bucket: Bucket, quota: WorkspaceQuota): number {
  const missing = Math.max(0, -bucket.units, -bucket.localUnits / bucket.localShare)
  return (1 + missing) / quota.unitsPerSecond * MILLISECONDS_PER_SECOND
}
