/**
 * Notices when this process did not run for a while: it was paused, short of processor time, or has just started.
 *
 * @module
 */
import type { CallContext, Clock, Timestamp } from '@plumstage/common'

const CHECK_MILLISECONDS = 100
/** A check that is later than this shows a pause. */
const PAUSE_MILLISECONDS = 100
/** What arrived during a pause is read within this time after it, and within as much time again as the pause took. */
const CATCH_UP_MILLISECONDS = 500
/** Time after the start in which what arrived before is read. */
const START_MILLISECONDS = 2000

/** Tells whether requests that are read now may have arrived long ago. */
export class PauseMonitor {
  private readonly _clock: Clock
  private _caughtUpAt: Timestamp

  private constructor (clock: Clock) {
    this._clock = clock
    this._caughtUpAt = clock.now() + START_MILLISECONDS
  }

  /** `clock` must not measure less time than has passed while the process did not run. */
  static create (clock: Clock): PauseMonitor {
    return new PauseMonitor(clock)
  }

  /** Whether requests that are read now may have waited unread for a while. */
  get isCatchingUp (): boolean {
    return this._clock.now() < this._caughtUpAt
  }

  /** Checks at a fixed interval until the context is cancelled. */
  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      const dueAt = this._clock.now() + CHECK_MILLISECONDS
      await context.sleepUntil(dueAt, this._clock)
      const late = this._clock.now() - dueAt
      if (late > PAUSE_MILLISECONDS) this._caughtUpAt = Math.max(this._caughtUpAt, this._clock.now() + late + CATCH_UP_MILLISECONDS)
    }
  }
}
