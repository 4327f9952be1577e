/**
 * Rejects requests at once whose upstreams would begin with them only when their callers are about to leave: they would
 * take room from others and end without an answer.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'

/** Whether a request is taken. */
export type OverloadVerdict =
  | { kind: 'admitted' }
  | { kind: 'rejected', retryAfterMilliseconds: number }

const ADMITTED: OverloadVerdict = { kind: 'admitted' }

/** A wait beyond this share of the caller's time leaves too little for the answer. */
const HOPELESS_SHARE = 0.9
const SHORTEST_RETRY_AFTER_MILLISECONDS = 200
/** Callers come back at most after this share of the time that they have left. */
const LONGEST_RETRY_AFTER_SHARE = 0.33
/** Callers come back spread over the last part of that time. */
const SPREAD = 0.5

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
  decide (waitMilliseconds: number, patienceMilliseconds: number): OverloadVerdict {
    if (waitMilliseconds < patienceMilliseconds * HOPELESS_SHARE) return ADMITTED
    const latest = Math.min(waitMilliseconds, patienceMilliseconds * LONGEST_RETRY_AFTER_SHARE)
    return { kind: 'rejected', retryAfterMilliseconds: Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, latest * (1 - SPREAD * this._random.nextFraction())) }
  }
}
