/**
 * Log lines about what may happen very often: each is written at most once in a while, with the number of those left out.
 *
 * @module
 */
import type { Clock, Timestamp } from './clock.js'
import type { Logger } from './logging.js'

const INTERVAL_MILLISECONDS = 10_000

/** Writes one line, which may be due very often. */
export class PeriodicLog {
  private readonly _log: Logger
  private readonly _clock: Clock
  private _nextAt: Timestamp = Number.NEGATIVE_INFINITY
  private _leftOut = 0

  private constructor (log: Logger, clock: Clock) {
    this._log = log
    this._clock = clock
  }

  static create (log: Logger, clock: Clock): PeriodicLog {
    return new PeriodicLog(log, clock)
  }

  warn (text: string): void {
    this._write('warn', text)
  }

  info (text: string): void {
    this._write('info', text)
  }

  private _write (level: 'warn' | 'info', text: string): void {
    const now = this._clock.now()
    if (now < this._nextAt) return void this._leftOut++
    this._log[level](this._leftOut === 0 ? text : `${text} The same happened ${this._leftOut} times since the last line about it.`)
    this._nextAt = now + INTERVAL_MILLISECONDS
    this._leftOut = 0
  }
}
