/**
 * Keeps the quota of each workspace over all gateways: a replica of one token bucket, from which the own use is taken
 * at once and the use at other gateways as they report it.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { WorkspaceQuota } from '@plumstage/records'

const MILLISECONDS_PER_SECOND = 1000
/** A gateway that starts does not know what was used before. */
const INITIAL_FILL = 0.5

/** Other gateways are told at once when a workspace has used this share of its burst since they were told last. */
const URGENT_SHARE_OF_BURST = 0.1

interface Bucket {
  units: number
  filledAt: Timestamp
  admittedUnits: number
  reportedUnits: number
  burstUnits: number
}

/** Whether a request is within its workspace's quota. */
export type QuotaVerdict =
  | { kind: 'admitted' }
  | { kind: 'exceeded', retryAfterMilliseconds: number }

/** The quotas of all workspaces at one gateway. */
export class WorkspaceQuotas {
  private readonly _buckets = new Map<string, Bucket>()
  /** Units that each run of another gateway has reported, by workspace. */
  private readonly _reported = new Map<string, Map<string, number>>()

  static create (): WorkspaceQuotas {
    return new WorkspaceQuotas()
  }

  /**
   * Takes the units of a request. `heardShare` is the fraction of the gateways whose use is known; the refill is cut
   * down to it, so that gateways that do not hear each other together keep the quota.
   */
  take (workspace: string, quota: WorkspaceQuota, units: number, heardShare: number, now: Timestamp): QuotaVerdict {
    const bucket = this._refill(workspace, quota, heardShare, now)
    if (bucket.units <= 0) return { kind: 'exceeded', retryAfterMilliseconds: (1 - bucket.units) / quota.unitsPerSecond * MILLISECONDS_PER_SECOND }
    bucket.units -= units
    bucket.admittedUnits += units
    return { kind: 'admitted' }
  }

  /** Gives back the units of a request that did not run. */
  refund (workspace: string, units: number): void {
    const bucket = this._buckets.get(workspace)
    if (!bucket) return
    bucket.units += units
    bucket.admittedUnits -= units
  }

  /**
   * Takes what one run of another gateway says it has admitted since its start. What it admitted while it was not heard
   * is only noted: the refill was cut down for it at that time.
   */
  applyReport (gatewayRun: string, workspace: string, admittedUnits: number, wasHeard: boolean): void {
    const known = this._reported.get(gatewayRun) ?? new Map<string, number>()
    this._reported.set(gatewayRun, known)
    const before = known.get(workspace) ?? 0
    known.set(workspace, admittedUnits)
    const bucket = this._buckets.get(workspace)
    if (bucket && wasHeard) bucket.units -= admittedUnits - before
  }

  /** Forgets a gateway that is gone. */
  forgetGateway (gatewayRun: string): void {
    this._reported.delete(gatewayRun)
  }

  /** Whether the other gateways should be told at once what was admitted here. */
  get isReportUrgent (): boolean {
    for (const bucket of this._buckets.values()) if (bucket.admittedUnits - bucket.reportedUnits > bucket.burstUnits * URGENT_SHARE_OF_BURST) return true
    return false
  }

  /** Units admitted here since the start, by workspace, for a report to the other gateways. */
  takeReport (): Array<{ workspace: string, units: number }> {
    for (const bucket of this._buckets.values()) bucket.reportedUnits = bucket.admittedUnits
    return [...this._buckets].map(([workspace, bucket]) => ({ workspace, units: Math.max(0, Math.round(bucket.admittedUnits)) }))
  }

  private _refill (workspace: string, quota: WorkspaceQuota, heardShare: number, now: Timestamp): Bucket {
    let bucket = this._buckets.get(workspace)
    if (!bucket) {
      bucket = { units: quota.burstUnits * INITIAL_FILL * heardShare, filledAt: now, admittedUnits: 0, reportedUnits: 0, burstUnits: quota.burstUnits }
      this._buckets.set(workspace, bucket)
      return bucket
    }
    const refilled = quota.unitsPerSecond * heardShare * (now - bucket.filledAt) / MILLISECONDS_PER_SECOND
    bucket.units = Math.min(quota.burstUnits, bucket.units + refilled)
    bucket.filledAt = now
    bucket.burstUnits = quota.burstUnits
    return bucket
  }
}
