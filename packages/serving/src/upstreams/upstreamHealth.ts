/**
 * Health of one upstream, as observed by this gateway's requests.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const MINIMUM_SUSPENSION_MILLISECONDS = 400
const MAXIMUM_SUSPENSION_MILLISECONDS = 5000
const FAILURES_BEFORE_SUSPENSION = 2
/** Weight of a new result in the moving average of failures. */
const FAILURE_WEIGHT = 0.15
/** Factor by which each further failure prolongs the suspension. */
const SUSPENSION_GROWTH = 2

/** Tracks failures and suspends an upstream after consecutive ones. */
export class UpstreamHealth {
  private _consecutiveFailures = 0
  private _failureRate = 0
  private _suspendedUntil: Timestamp = 0

  static create (): UpstreamHealth {
    return new UpstreamHealth()
  }

  /** Moving average of the share of requests that failed, from 0 to 1. */
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

  /** Forgets all results, because they say nothing about the upstream. */
  reset (): void {
    this._consecutiveFailures = 0
    this._failureRate = 0
    this._suspendedUntil = 0
  }

  recordFailure (now: Timestamp): void {
    this._consecutiveFailures++
    this._failureRate += FAILURE_WEIGHT * (1 - this._failureRate)
    if (this._consecutiveFailures < FAILURES_BEFORE_SUSPENSION) return
    const suspension = MINIMUM_SUSPENSION_MILLISECONDS * SUSPENSION_GROWTH ** (this._consecutiveFailures - FAILURES_BEFORE_SUSPENSION)
    this._suspendedUntil = now + Math.min(MAXIMUM_SUSPENSION_MILLISECONDS, suspension)
  }

  /** Suspends the upstream at once: the failed connection lost no request, but the next ones are better sent elsewhere. */
  recordUnreachable (now: Timestamp): void {
    this._consecutiveFailures = Math.max(this._consecutiveFailures, FAILURES_BEFORE_SUSPENSION - 1)
    this.recordFailure(now)
  }
}
