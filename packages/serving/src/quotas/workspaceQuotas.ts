/**
 * Enforces the quota of each workspace over all gateways. Each gateway has a replica of one token bucket and charges
 * local usage immediately and the usage of peers when it is reported. While the bucket is low, a gateway admits no more
 * than its share of the refill, which limits the total usage that has not been reported to the peers yet.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { WorkspaceQuota } from '@plumstage/records'
import { hashName } from '../aggregation/aggregate.js'
import type { Aggregate, NameHash, UsageSum } from '../aggregation/aggregate.js'
import type { PeerCoverage } from '../peers/peerTable.js'
import { SlidingSum } from '../slidingSum.js'
import { PeerQuotaUsage } from './peerQuotaUsage.js'
import type { PeerUsageSource } from './peerQuotaUsage.js'
import { widenQuota } from './quotaTolerance.js'
import type { QuotaTolerance, WidenedQuota } from './quotaTolerance.js'
import type { WorkspaceUsage } from './workspaceUsage.js'

const MILLISECONDS_PER_SECOND = 1000
/** Time over which the rate of requested units is averaged. */
const OFFERED_WINDOW_SECONDS = 3
/** Initial share of the burst in a bucket: a gateway that starts does not know what was used before. */
const INITIAL_FILL = 0.5
/** A report is urgent when a workspace has used this share of its burst since the last report. */
const URGENT_SHARE_OF_BURST = 0.1
/** Below this share of the burst, a gateway admits no more than its share of the refill. */
const LOW_SHARE_OF_BURST = 0.5
/** A request for at most this share of the burst is small. */
const SMALL_SHARE_OF_BURST = 0.005
/** Small requests may overdraw a bucket further than others, so that they do not wait for a few large ones to be refilled. */
const SMALL_REQUEST_OVERDRAFT_FACTOR = 1.5
/** Minimum local share of the refill, as a part of an equal share, so that a first request is not refused. */
const MINIMUM_PART_OF_EQUAL_SHARE = 0.25

interface Bucket {
  units: number
  /** Units that this gateway may still admit while the bucket is low. */
  localUnits: number
  /** Share of the refill that this gateway may admit. */
  localShare: number
  refilledAt: Timestamp
  admittedUnits: number
  /** Admitted units as of the last report to the peers. */
  reportedUnits: number
  burstUnits: number
  /** Recently requested units at this gateway, admitted or not. */
  offeredUnits: SlidingSum
  recentlyAdmittedUnits: SlidingSum
}

/** Units by which a request may overdraw a bucket: over all gateways, and of the local share. */
interface Overdraft {
  total: number
  local: number
}

/** Whether a request is within the quota of its workspace. */
export type QuotaDecision =
  | { kind: 'admitted' }
  | { kind: 'exceeded', retryAfterMilliseconds: number }

/** The quotas of all workspaces at one gateway. */
export class WorkspaceQuotas {
  private readonly _buckets = new Map<string, Bucket>()
  private readonly _peerUsage = PeerQuotaUsage.create()
  /** Units beyond the quotas that the platform tolerates. */
  tolerance: QuotaTolerance

  private constructor (tolerance: QuotaTolerance) {
    this.tolerance = tolerance
  }

  static create (tolerance: QuotaTolerance): WorkspaceQuotas {
    return new WorkspaceQuotas(tolerance)
  }

  /**
   * Consumes the units of a request if the quota allows it. The refill is scaled by the share of gateways whose usage
   * is known here, so that all gateways together stay within the quota even if they can't reach one another.
   */
  consume (workspace: string, quota: WorkspaceQuota, units: number, peers: PeerCoverage, now: Timestamp): QuotaDecision {
    const limits = widenQuota(quota, this.tolerance)
    const bucket = this._refill(workspace, limits, peers, now)
    bucket.offeredUnits.record(units, now)
    const isLow = bucket.units < quota.burstUnits * LOW_SHARE_OF_BURST
    const overdraft = computeOverdraft(limits, units, peers)
    // Requests for more units than are left are admitted, so that large ones are not refused more often than small ones.
    if (bucket.units <= -overdraft.total || (isLow && bucket.localUnits <= -overdraft.local)) return { kind: 'exceeded', retryAfterMilliseconds: computeRetryDelay(bucket, limits, overdraft) }
    bucket.units -= units
    bucket.localUnits -= units
    bucket.admittedUnits += units
    bucket.recentlyAdmittedUnits.record(units, now)
    return { kind: 'admitted' }
  }

  /** Returns the units of a request that was not executed. */
  refund (workspace: string, units: number): void {
    const bucket = this._buckets.get(workspace)
    if (!bucket) return
    bucket.units += units
    bucket.localUnits += units
    bucket.admittedUnits -= units
  }

  /**
   * Applies the units that one incarnation of another gateway has admitted since its start. Units that it admitted
   * during a gap in its reports are recorded but not charged, because the refill was scaled down during the gap.
   */
  applyReport (gatewayIncarnation: string, usages: readonly WorkspaceUsage[], isContinuous: boolean): void {
    for (const usage of usages) this._charge(usage.workspace, this._peerUsage.applyDirect(gatewayIncarnation, usage, isContinuous))
  }

  /** Selects the source of the peers' usage. */
  follow (source: PeerUsageSource): void {
    this._peerUsage.follow(source)
  }

  /** Applies the sums of an aggregation round over the other gateways. */
  applyAggregated (others: Aggregate, now: Timestamp): void {
    this._peerUsage.follow('rounds')
    const units = this._peerUsage.applyAggregated(others, now)
    for (const workspace of this._buckets.keys()) this._charge(workspace, units.get(hashName(workspace)) ?? 0)
  }

  /** Returns the usage at this gateway for an aggregation round, and records it as reported. */
  aggregateOwn (now: Timestamp): Map<NameHash, UsageSum> {
    const usage = new Map<NameHash, UsageSum>()
    for (const [workspace, bucket] of this._buckets) {
      bucket.reportedUnits = bucket.admittedUnits
      usage.set(hashName(workspace), {
        admittedUnits: Math.max(0, Math.round(bucket.admittedUnits)),
        admittedUnitsPerSecond: Math.round(bucket.recentlyAdmittedUnits.sum(now) / OFFERED_WINDOW_SECONDS),
        offeredUnitsPerSecond: Math.round(bucket.offeredUnits.sum(now) / OFFERED_WINDOW_SECONDS)
      })
    }
    return usage
  }

  /** Applies the sums of a relay over other gateways. */
  applyRelayed (relayIncarnation: string, usages: readonly WorkspaceUsage[], isContinuous: boolean, now: Timestamp): void {
    for (const usage of usages) this._charge(usage.workspace, this._peerUsage.applyRelayed(relayIncarnation, usage, isContinuous, now))
  }

  /** Sums the usage of the gateways whose own reports arrive here, except the one that is to receive the sums. */
  sumPeerUsage (excludedIncarnation: string): WorkspaceUsage[] {
    return this._peerUsage.sumDirect(excludedIncarnation)
  }

  /** Removes a gateway that has expired. */
  removeGateway (gatewayIncarnation: string): void {
    this._peerUsage.removeGateway(gatewayIncarnation)
  }

  /** Whether the units admitted here should be reported to the peers immediately. */
  get isReportUrgent (): boolean {
    for (const bucket of this._buckets.values()) if (bucket.admittedUnits - bucket.reportedUnits > bucket.burstUnits * URGENT_SHARE_OF_BURST) return true
    return false
  }

  /** Returns the units admitted here since the start, for a report to the peers, and records them as reported. */
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
      bucket = { units, localUnits: units / peers.gateways, localShare: 1 / peers.gateways, refilledAt: now, admittedUnits: 0, reportedUnits: 0, burstUnits: quota.burstUnits, offeredUnits: SlidingSum.create(OFFERED_WINDOW_SECONDS), recentlyAdmittedUnits: SlidingSum.create(OFFERED_WINDOW_SECONDS) }
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

  /** Returns this gateway's share of the units that callers request in the workspace at all gateways. */
  private _computeLocalShare (workspace: string, bucket: Bucket, { gateways }: PeerCoverage, now: Timestamp): number {
    const local = bucket.offeredUnits.sum(now) / OFFERED_WINDOW_SECONDS
    const total = local + this._peerUsage.offeredUnitsPerSecond(workspace)
    const minimum = MINIMUM_PART_OF_EQUAL_SHARE / gateways
    return total <= 0 ? 1 / gateways : Math.max(minimum, local / total)
  }
}

function computeOverdraft (quota: WidenedQuota, units: number, peers: PeerCoverage): Overdraft {
  const isSmall = units <= quota.burstUnits * SMALL_SHARE_OF_BURST
  const total = quota.overdraftUnits * peers.reachableShare * (isSmall ? SMALL_REQUEST_OVERDRAFT_FACTOR : 1)
  return { total, local: total / peers.gateways }
}

/** Returns the time until the next request is admitted, in milliseconds: until the deficit and one unit are refilled. */
function computeRetryDelay (bucket: Bucket, quota: WorkspaceQuota, overdraft: Overdraft): number {
  const deficit = Math.max(0, -bucket.units - overdraft.total, (-bucket.localUnits - overdraft.local) / bucket.localShare)
  return (1 + deficit) / quota.unitsPerSecond * MILLISECONDS_PER_SECOND
}
