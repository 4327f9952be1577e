/**
 * Notices steps of the time of day: it was set, or the instance was suspended, which the steady clock does not count.
 *
 * @module
 */
import type { CallContext } from './callContext.js'
import type { Clock, Timestamp } from './clock.js'
import type { Instrumentation } from './instrumentation.js'

const CHECK_MILLISECONDS = 1000
/** The two clocks are read one after the other, and a time service adjusts the time of day by less. */
const MINIMUM_STEP_MILLISECONDS = 100

/** Dependencies of the monitor. */
export interface TimeOfDayMonitorOptions {
  /** The steady clock. */
  clock: Clock
  timeOfDay: () => Timestamp
  instrumentation: Instrumentation
}

/** Logs each step. */
export class TimeOfDayMonitor {
  private readonly _options: TimeOfDayMonitorOptions
  private _difference: number

  private constructor (options: TimeOfDayMonitorOptions) {
    this._options = options
    this._difference = this._measureDifference()
  }

  static create (options: TimeOfDayMonitorOptions): TimeOfDayMonitor {
    return new TimeOfDayMonitor(options)
  }

  /** Checks at a fixed interval until the context is cancelled. */
  async run (context: CallContext): Promise<void> {
    const { clock } = this._options
    while (!context.cancelled) {
      await context.sleepUntil(clock.now() + CHECK_MILLISECONDS)
      this._check()
    }
  }

  private _check (): void {
    const difference = this._measureDifference()
    const milliseconds = Math.round(difference - this._difference)
    this._difference = difference
    if (Math.abs(milliseconds) >= MINIMUM_STEP_MILLISECONDS) this._options.instrumentation.emit('time-of-day-stepped', { milliseconds })
  }

  private _measureDifference (): number {
    const { clock, timeOfDay } = this._options
    return timeOfDay() - clock.now()
  }
}
