/**
 * Rejects requests at once whose upstreams would begin with them only when their callers are about to leave: they would
 * take room from others and end without an answer.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'

/** Whether a request is taken. */
export type OverloadDecision =
  | { kind: 'admitted' }
  | { kind: 'rejected', retryAfterMilliseconds: number }

const ADMITTED: OverloadDecision = { kind: 'admitted' }

/** A wait beyond this share of the caller's time leaves too little for the answer. */
const MAXIMUM_WAIT_SHARE = 0.9
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200
/** Callers come back at most after this share of the time that they have left. */
const MAXIMUM_RETRY_AFTER_SHARE = 0.33
/** Callers come back spread over the last part of that time. */
const RETRY_AFTER_JITTER = 0.5

/** Decides for one gateway. */
export class OverloadGuard {
  private readonly _random: SeededRandom

  private constructor (random: SeededRandom) {
    this._random = random
  }

  static create (random: SeededRandom): OverloadGuard {
    return new OverloadGuard(random)
  }

  /**
   * `waitMilliseconds` is the time until an upstream begins with the request, `patienceMilliseconds` the time that the
   * caller waits. A rejected caller is to come back when most of the work that waits now has been done, and not with all
   * others.
   */
  decide (waitMilliseconds: number, patienceMilliseconds: number): OverloadDecision {
    if (waitMilliseconds < patienceMilliseconds * MAXIMUM_WAIT_SHARE) return ADMITTED
    const latest = Math.min(waitMilliseconds, patienceMilliseconds * MAXIMUM_RETRY_AFTER_SHARE)
    return { kind: 'rejected', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, latest * (1 - RETRY_AFTER_JITTER * this._random.nextFraction())) }
  }
}
