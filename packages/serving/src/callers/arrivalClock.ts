/**
 * Tells when requests arrived. All requests that are read in one pass of the event loop were there when the pass began, but
 * they are processed one after the other, and in a busy process the last ones much later.
 *
 * @module
 */
import type { Clock, Timestamp } from '@plumstage/common'

/** The arrivals at one gateway. */
export class ArrivalClock {
  private readonly _clock: Clock
  /** When the first request of this pass was read; undefined when none was. */
  private _passStartedAt: Timestamp | undefined

  private constructor (clock: Clock) {
    this._clock = clock
  }

  static create (clock: Clock): ArrivalClock {
    return new ArrivalClock(clock)
  }

  /** Returns when a request that is read now had arrived at the latest. */
  now (): Timestamp {
    if (this._passStartedAt !== undefined) return this._passStartedAt
    this._passStartedAt = this._clock.now()
    // Runs when everything that was there at the beginning of the pass has been read.
    setImmediate(() => { this._passStartedAt = undefined })
    return this._passStartedAt
  }
}
