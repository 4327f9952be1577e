/**
 * Runs the tasks of a process in the background. An error that a task does not handle itself ends neither the process nor,
 * for long, the task.
 *
 * @module
 */
import type { CallContext } from './callContext.js'
import type { Clock, Timestamp } from './clock.js'
import { describeError } from './errors.js'
import type { Instrumentation } from './instrumentation.js'
import { getLogger } from './logging.js'

/** A task that has failed starts again after this time. */
const RESTART_MILLISECONDS = 1000
/** Errors of one task are logged at most this often; all of them are counted. */
const LOG_INTERVAL_MILLISECONDS = 1000

/** Starts the tasks of one process, and reports the errors that they do not handle. */
export class BackgroundTasks {
  private readonly _clock: Clock
  private readonly _instrumentation: Instrumentation
  private readonly _lastLoggedAt = new Map<string, Timestamp>()
  private readonly _log = getLogger('tasks')

  private constructor (clock: Clock, instrumentation: Instrumentation) {
    this._clock = clock
    this._instrumentation = instrumentation
  }

  static create (clock: Clock, instrumentation: Instrumentation): BackgroundTasks {
    return new BackgroundTasks(clock, instrumentation)
  }

  /** Runs a task until it returns or the context is cancelled; after an error it starts again. */
  start (name: string, context: CallContext, run: (context: CallContext) => Promise<void>): void {
    void this._supervise(name, context, run)
  }

  /** Runs an action now; returns whether it succeeded. Its error is reported and does not reach the caller. */
  guard (name: string, action: () => void): boolean {
    try {
      action()
      return true
    } catch (error) {
      this.report(name, error)
      return false
    }
  }

  /** Reports the error of work that nothing waits for. */
  watch (name: string, work: Promise<unknown>): void {
    work.catch((error: unknown) => this.report(name, error))
  }

  /** Counts an error that nothing else handles, and logs it unless the task has just had another one. */
  report (name: string, error: unknown): void {
    const now = this._clock.now()
    this._instrumentation.emit('task-failed', { task: name, error: describeError(error) })
    if (now < (this._lastLoggedAt.get(name) ?? Number.NEGATIVE_INFINITY) + LOG_INTERVAL_MILLISECONDS) return
    this._lastLoggedAt.set(name, now)
    this._log.error(`The task ${name} failed and goes on: ${describeStack(error)}. Report this to the developers.`)
  }

  private async _supervise (name: string, context: CallContext, run: (context: CallContext) => Promise<void>): Promise<void> {
    while (!context.cancelled) {
      try {
        return await run(context)
      } catch (error) {
        this.report(name, error)
      }
      await context.sleepUntil(this._clock.now() + RESTART_MILLISECONDS)
    }
  }
}

function describeStack (error: unknown): string {
  return error instanceof Error && error.stack !== undefined ? error.stack : String(error)
}
