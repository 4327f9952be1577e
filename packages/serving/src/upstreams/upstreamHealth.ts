/**
 * What a gateway's own requests have shown of one upstream.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const MINIMUM_SUSPENSION_MILLISECONDS = 400
const MAXIMUM_SUSPENSION_MILLISECONDS = 5000
const FAILURES_BEFORE_SUSPENSION = 2
const FAILURE_WEIGHT = 0.15
const SUSPENSION_GROWTH = 2

/** Follows failures and suspends an upstream that fails again and again. */
export class UpstreamHealth {
  private _consecutiveFailures = 0
  private _failureRate = 0
  private _suspendedUntil: Timestamp = 0

  static create (): UpstreamHealth {
    return new UpstreamHealth()
  }

  /** Moving share of requests that failed, from 0 to 1. */
  get failureRate (): number {
    return this._failureRate
  }

  isSuspended (now: Timestamp): boolean {
    return now < this._suspendedUntil
  }

  recordSuccess (): void {
    this._consecutiveFailures = 0
    this._failureRate *= 1 - FAILURE_WEIGHT
    this._suspendedUntil = 0
  }

  recordFailure (now: Timestamp): void {
    this._consecutiveFailures++
    this._failureRate += FAILURE_WEIGHT * (1 - this._failureRate)
    if (this._consecutiveFailures < FAILURES_BEFORE_SUSPENSION) return
    const suspension = MINIMUM_SUSPENSION_MILLISECONDS * SUSPENSION_GROWTH ** (this._consecutiveFailures - FAILURES_BEFORE_SUSPENSION)
    this._suspendedUntil = now + Math.min(MAXIMUM_SUSPENSION_MILLISECONDS, suspension)
  }

  /** A connection could not be made: nothing was lost, but the next requests are better sent elsewhere. */
  recordUnreachable (now: Timestamp): void {
    this._consecutiveFailures = Math.max(this._consecutiveFailures, FAILURES_BEFORE_SUSPENSION - 1)
    this.recordFailure(now)
  }
}
