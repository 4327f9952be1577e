/**
 * Chooses when callers that were rejected for the limits of upstreams may return: one after another, at the rate at which
 * there is room, so that they do not all find the same room taken.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import { MINIMUM_REQUESTS_PER_SECOND } from './limitHolders.js'

const MINIMUM_DELAY_MILLISECONDS = 200
const MAXIMUM_DELAY_MILLISECONDS = 5000
const MILLISECONDS_PER_SECOND = 1000
/** When all turns within the maximum delay are taken, callers are spread over this last part of it. */
const LATE_PART = 0.5

/** The turns that one gateway has given to the rejected callers of one service. */
export class ReturnSchedule {
  private readonly _random: SeededRandom
  private _nextTurnAt: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (random: SeededRandom) {
    this._random = random
  }

  static create (random: SeededRandom): ReturnSchedule {
    return new ReturnSchedule(random)
  }

  /**
   * Returns the delay until the next free turn, in milliseconds. `requestsPerSecond` is what all upstreams accept
   * together, of which each of the gateways gives away an equal part.
   */
  book (requestsPerSecond: number, gateways: number, now: Timestamp): number {
    const interval = MILLISECONDS_PER_SECOND * gateways / Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond)
    const turnAt = Math.max(now + MINIMUM_DELAY_MILLISECONDS, this._nextTurnAt) + interval * this._random.nextFraction()
    if (turnAt > now + MAXIMUM_DELAY_MILLISECONDS) return MAXIMUM_DELAY_MILLISECONDS * (1 - LATE_PART * this._random.nextFraction())
    this._nextTurnAt = Math.max(now + MINIMUM_DELAY_MILLISECONDS, this._nextTurnAt) + interval
    return turnAt - now
  }
}
