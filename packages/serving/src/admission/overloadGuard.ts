/**
 * Rejects requests to an overloaded service before they wait in vain. A burst, or the loss of a failure domain, leaves
 * upstreams with more to read than they can within the objectives; then all answers come late unless some requests are
 * turned away at once. Less urgent requests are turned away first, those with little time left last, since most of them
 * have been turned away before.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'

/** What is known of a request and of the service that it goes to. */
export interface OverloadCall {
  /** Order among requests; 0 goes first. */
  rank: number
  /** Shortest time within which an answer of the service is to begin, in milliseconds; all its requests share one queue. */
  objectiveMilliseconds: number
  /** Time that the caller waits from now, in milliseconds. */
  patienceMilliseconds: number
  /** Longest time that callers of the route have granted, in milliseconds. */
  longestPatienceMilliseconds: number
  /** Time until an upstream begins with the request, in milliseconds. */
  waitMilliseconds: number
}

/** Whether a request is taken. */
export type OverloadVerdict =
  | { kind: 'admitted' }
  | { kind: 'rejected', retryAfterMilliseconds: number }

const ADMITTED: OverloadVerdict = { kind: 'admitted' }

/** Shares of the objective that the wait may take before the first requests of a rank are rejected. */
const TOLERATED_BY_RANK = [0.8, 0.55, 0.4]
/** The same for requests with less time than others of their route. */
const TOLERATED_RETURNED = 0.9
/** Share of the objective by which the wait has to rise further for most requests to be rejected. */
const RAMP = 0.5
/** Rejected at most; what is least urgent is not shut out. */
const HIGHEST_REJECTED_SHARE = 0.7
/** A request with less than this share of its route's usual time has most likely come back. */
const RETURNED_PATIENCE_SHARE = 0.95
/** A wait beyond this share of the caller's time leaves none for the answer. */
const HOPELESS_SHARE = 0.9
const SHORTEST_RETRY_AFTER_MILLISECONDS = 200
/** Callers come back at most after this share of the time that they have left. */
const LONGEST_RETRY_AFTER_SHARE = 0.33

/** Decides for one gateway. */
export class OverloadGuard {
  private readonly _random: SeededRandom

  private constructor (random: SeededRandom) {
    this._random = random
  }

  static create (random: SeededRandom): OverloadGuard {
    return new OverloadGuard(random)
  }

  decide (call: OverloadCall): OverloadVerdict {
    if (call.waitMilliseconds >= call.patienceMilliseconds * HOPELESS_SHARE) return this._reject(call)
    return this._random.nextFraction() < this.rejectedShare(call) ? this._reject(call) : ADMITTED
  }

  /** Share of requests like this one that are rejected at this wait. */
  rejectedShare (call: OverloadCall): number {
    const tolerated = toleratedShare(call) * call.objectiveMilliseconds
    const share = (call.waitMilliseconds - tolerated) / (RAMP * call.objectiveMilliseconds)
    return Math.min(HIGHEST_REJECTED_SHARE, Math.max(0, share))
  }

  /** Callers are to come back when the work that waits now has been done, and not all at once. */
  private _reject ({ waitMilliseconds, patienceMilliseconds }: OverloadCall): OverloadVerdict {
    const spread = waitMilliseconds * (0.5 + this._random.nextFraction())
    const longest = patienceMilliseconds * LONGEST_RETRY_AFTER_SHARE
    return { kind: 'rejected', retryAfterMilliseconds: Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, Math.min(longest, spread)) }
  }
}

function toleratedShare ({ rank, patienceMilliseconds, longestPatienceMilliseconds }: OverloadCall): number {
  if (patienceMilliseconds < longestPatienceMilliseconds * RETURNED_PATIENCE_SHARE) return TOLERATED_RETURNED
  return TOLERATED_BY_RANK[Math.min(rank, TOLERATED_BY_RANK.length - 1)]
}
