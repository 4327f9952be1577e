/**
 * A clock whose timers report errors instead of ending the process.
 *
 * @module
 */
import type { BackgroundTasks } from './backgroundTasks.js'
import type { Clock, Timer, Timestamp } from './clock.js'

const TASK_NAME = 'timer'

/** Guards the callbacks of another clock's timers. */
export class GuardedClock implements Clock {
  private readonly _clock: Clock
  private readonly _tasks: BackgroundTasks

  private constructor (clock: Clock, tasks: BackgroundTasks) {
    this._clock = clock
    this._tasks = tasks
  }

  static create (clock: Clock, tasks: BackgroundTasks): GuardedClock {
    return new GuardedClock(clock, tasks)
  }

  now (): Timestamp {
    return this._clock.now()
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    return this._clock.schedule(deadline, () => { this._tasks.guard(TASK_NAME, callback) })
  }
}
