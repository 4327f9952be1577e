/**
 * Clocks that are robust against steps of the time of day (the wall clock).
 *
 * @module
 */
import { performance } from 'node:perf_hooks'
import { startTimer } from './clock.js'
import type { Clock, Timer, Timestamp } from './clock.js'

/** Adds the monotonic time since the process start to the time of that start, so that steps of the time of day don't shift deadlines. */
export class MonotonicClock implements Clock {
  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  now (): Timestamp {
    return performance.timeOrigin + performance.now()
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    return startTimer(() => deadline - this.now(), callback)
  }
}

/**
 * Never counts less time than has passed: at each reading it advances by the larger of the steps of the monotonic clock
 * and of the time of day. The monotonic clock stops while the instance is suspended, and the time of day may be set back;
 * in neither case may a gateway regard a lease as valid for too long.
 */
export class LeaseClock implements Clock {
  private readonly _monotonic: Clock
  private readonly _timeOfDay: () => Timestamp
  private _lastMonotonic: Timestamp
  private _lastTimeOfDay: Timestamp
  private _now: Timestamp

  private constructor (monotonic: Clock, timeOfDay: () => Timestamp) {
    this._monotonic = monotonic
    this._timeOfDay = timeOfDay
    this._lastMonotonic = monotonic.now()
    this._lastTimeOfDay = timeOfDay()
    this._now = this._lastMonotonic
  }

  static create (monotonic: Clock, timeOfDay: () => Timestamp = Date.now): LeaseClock {
    return new LeaseClock(monotonic, timeOfDay)
  }

  now (): Timestamp {
    const monotonic = this._monotonic.now()
    const timeOfDay = this._timeOfDay()
    this._now += Math.max(0, monotonic - this._lastMonotonic, timeOfDay - this._lastTimeOfDay)
    this._lastMonotonic = monotonic
    this._lastTimeOfDay = timeOfDay
    return this._now
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    return this._monotonic.schedule(this._monotonic.now() + Math.max(0, deadline - this.now()), callback)
  }
}
