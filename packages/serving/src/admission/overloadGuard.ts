/**
 * Rejects a request immediately when no upstream is expected to start it until shortly before its caller times out: it
 * would use capacity that other requests need, and still time out before its response is complete.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'

/** Whether a request is admitted. */
export type OverloadDecision =
  | { kind: 'admitted' }
  | { kind: 'rejected', retryAfterMilliseconds: number }

const ADMITTED: OverloadDecision = { kind: 'admitted' }

/** A wait of at least this share of the caller's remaining time leaves too little time for the response. */
const MAXIMUM_WAIT_SHARE = 0.9
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200
/** Maximum retry delay, as a share of the caller's remaining time. */
const MAXIMUM_RETRY_AFTER_SHARE = 0.33
/** Share of the retry delay that is randomized, so that rejected callers do not all retry at the same time. */
const RETRY_AFTER_JITTER = 0.5

/** Decides on the admission of requests at one gateway. */
export class OverloadGuard {
  private readonly _random: SeededRandom

  private constructor (random: SeededRandom) {
    this._random = random
  }

  static create (random: SeededRandom): OverloadGuard {
    return new OverloadGuard(random)
  }

  /**
   * `waitMilliseconds` is the expected time until an upstream starts the request, `remainingMilliseconds` the time
   * until its caller times out. The retry delay of a rejected request gives the upstreams time to finish part of the
   * work that is queued now.
   */
  decide (waitMilliseconds: number, remainingMilliseconds: number): OverloadDecision {
    if (waitMilliseconds < remainingMilliseconds * MAXIMUM_WAIT_SHARE) return ADMITTED
    const maximumDelay = Math.min(waitMilliseconds, remainingMilliseconds * MAXIMUM_RETRY_AFTER_SHARE)
    return { kind: 'rejected', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, maximumDelay * (1 - RETRY_AFTER_JITTER * this._random.nextFraction())) }
  }
}
