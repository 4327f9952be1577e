/**
 * Clocks and timers.
 *
 * @module
 */

/** A point in time, in milliseconds since the epoch. */
export type Timestamp = number

/** A timer that has not fired yet. */
export interface Timer {
  /** Stops the timer. Does nothing if it has already fired. */
  cancel (): void
}

/** Node fires a timer with a longer delay at once. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 2 ** 31 - 1

/** The only source of time. Tasks read the time from a clock; decisions get it as a parameter. */
export interface Clock {
  /** Returns the current time in milliseconds since the epoch. */
  now (): Timestamp
  /** Calls `callback` once at `deadline`, or as soon as possible if the deadline has passed. */
  schedule (deadline: Timestamp, callback: () => void): Timer
}

/** The wall clock of the operating system. Its timers do not keep the process alive. */
export class SystemClock implements Clock {
  static create (): SystemClock {
    return new SystemClock()
  }

  now (): Timestamp {
    return Date.now()
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    return startTimer(() => deadline - Date.now(), callback)
  }
}

/** Starts a timer of the operating system that does not keep the process alive, however far its deadline is. */
export function startTimer (remainingMilliseconds: () => number, callback: () => void): Timer {
  let handle: NodeJS.Timeout
  const wait = (): void => {
    const remaining = remainingMilliseconds()
    const isLast = !(remaining > MAXIMUM_TIMEOUT_MILLISECONDS)
    handle = setTimeout(isLast ? callback : wait, Math.max(0, Math.min(MAXIMUM_TIMEOUT_MILLISECONDS, remaining)))
    handle.unref()
  }
  wait()
  return { cancel: () => clearTimeout(handle) }
}

interface ScheduledCallback {
  deadline: Timestamp
  order: number
  callback: () => void
}

/** A clock that advances only on request, for scenarios and tests. */
export class VirtualClock implements Clock {
  private _now: Timestamp
  private _nextOrder = 0
  private _scheduled: ScheduledCallback[] = []

  private constructor (start: Timestamp) {
    this._now = start
  }

  static create (start: Timestamp = 0): VirtualClock {
    return new VirtualClock(start)
  }

  now (): Timestamp {
    return this._now
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    const entry = { deadline, order: this._nextOrder++, callback }
    this._scheduled.push(entry)
    return { cancel: () => { this._scheduled = this._scheduled.filter(other => other !== entry) } }
  }

  /** Advances to `target` and fires all timers that are due until then, in order of deadline. */
  advanceTo (target: Timestamp): void {
    for (;;) {
      const next = this._findNextDue(target)
      if (!next) break
      this._scheduled = this._scheduled.filter(entry => entry !== next)
      this._now = Math.max(this._now, next.deadline)
      next.callback()
    }
    this._now = Math.max(this._now, target)
  }

  /** Returns when the next timer is due; undefined if there is none. */
  get nextDeadline (): Timestamp | undefined {
    return this._findNextDue(Number.POSITIVE_INFINITY)?.deadline
  }

  private _findNextDue (target: Timestamp): ScheduledCallback | undefined {
    let next: ScheduledCallback | undefined
    for (const entry of this._scheduled) {
      if (entry.deadline > target) continue
      if (!next || entry.deadline < next.deadline || (entry.deadline === next.deadline && entry.order < next.order)) next = entry
    }
    return next
  }
}
