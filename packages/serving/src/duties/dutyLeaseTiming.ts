/**
 * How a gateway keeps the lease of the cloud duty.
 *
 * @module
 */
import type { DutyLeaseTiming } from '@plumstage/coordination'

/** The lease is renewed, and failed calls are retried, this many times within its duration. */
const RENEWALS_PER_LEASE = 3
/** The holder stops acting on the duty before the lease expires; this margin is the lease duration divided by this. */
const LEASE_MARGIN_DIVISOR = 4

/** Returns the intervals for a lease of the given duration in milliseconds. */
export function dutyLeaseTimingOf (leaseMilliseconds: number): DutyLeaseTiming {
  return {
    leaseMilliseconds,
    renewIntervalMilliseconds: leaseMilliseconds / RENEWALS_PER_LEASE,
    retryIntervalMilliseconds: leaseMilliseconds / RENEWALS_PER_LEASE,
    safetyMarginMilliseconds: leaseMilliseconds / LEASE_MARGIN_DIVISOR
  }
}
