/**
 * Clocks that are not fooled by changes of the time of day.
 *
 * @module
 */
import { performance } from 'node:perf_hooks'
import type { Clock, Timer, Timestamp } from './clock.js'

/** Counts from the process start by the steady clock, so that steps of the time of day move no deadline. */
export class MonotonicClock implements Clock {
  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  now (): Timestamp {
    return performance.timeOrigin + performance.now()
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, deadline - this.now()))
    handle.unref()
    return { cancel: () => clearTimeout(handle) }
  }
}

/**
 * Never counts less time than has passed: it follows whichever of the steady clock and the time of day went further.
 * A suspended instance's steady clock stands still, and its time of day may be set back; a lease must outlive neither.
 */
export class LeaseClock implements Clock {
  private readonly _monotonic: Clock
  private readonly _timeOfDay: () => Timestamp
  private _lastMonotonic: Timestamp
  private _lastTimeOfDay: Timestamp
  private _now: Timestamp

  private constructor (steady: Clock, timeOfDay: () => Timestamp) {
    this._monotonic = steady
    this._timeOfDay = timeOfDay
    this._lastMonotonic = steady.now()
    this._lastTimeOfDay = timeOfDay()
    this._now = this._lastMonotonic
  }

  static create (steady: Clock, timeOfDay: () => Timestamp = Date.now): LeaseClock {
    return new LeaseClock(steady, timeOfDay)
  }

  now (): Timestamp {
    const steady = this._monotonic.now()
    const timeOfDay = this._timeOfDay()
    this._now += Math.max(0, steady - this._lastMonotonic, timeOfDay - this._lastTimeOfDay)
    this._lastMonotonic = steady
    this._lastTimeOfDay = timeOfDay
    return this._now
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    return this._monotonic.schedule(this._monotonic.now() + Math.max(0, deadline - this.now()), callback)
  }
}
