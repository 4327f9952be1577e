/**
 * How far the gateways may exceed a quota. They know one another's usage with a delay, so they can't enforce a quota
 * exactly, and a request that was within it must not be refused.
 *
 * @module
 */
import type { WorkspaceQuota } from '@plumstage/records'

/** Units that the platform tolerates beyond a quota, in any window, over all gateways. */
export interface QuotaTolerance {
  windowMilliseconds: number
  /** Tolerated share of the units that a quota allows in one window. */
  overrunShare: number
  /** Units that are tolerated in addition. */
  slackUnits: number
}

/** Nothing is tolerated beyond a quota. */
export const NO_QUOTA_TOLERANCE: QuotaTolerance = { windowMilliseconds: 1000, overrunShare: 0, slackUnits: 0 }

/**
 * Shares of the tolerated units that are used: for a faster refill, and for admitting while a bucket is overdrawn. The
 * rest is left for usage that is not reported yet and for gateways that start without knowing what was used before.
 */
const REFILL_SHARE = 0.3
const OVERDRAFT_SHARE = 0.25
const MILLISECONDS_PER_SECOND = 1000

/** A quota with the part of the tolerance that gateways use. */
export interface WidenedQuota extends WorkspaceQuota {
  /** Units by which the bucket may be overdrawn. */
  overdraftUnits: number
}

/** Adds the used part of the tolerance to a quota. */
export function widenQuota (quota: WorkspaceQuota, { windowMilliseconds, overrunShare, slackUnits }: QuotaTolerance): WidenedQuota {
  const windowSeconds = windowMilliseconds / MILLISECONDS_PER_SECOND
  const tolerated = (quota.unitsPerSecond * windowSeconds + quota.burstUnits) * overrunShare + slackUnits
  return { ...quota, unitsPerSecond: quota.unitsPerSecond + tolerated * REFILL_SHARE / windowSeconds, overdraftUnits: tolerated * OVERDRAFT_SHARE }
}
