/**
 * Cancellation and deadline of one call, handed down to everything that is done for it.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from './clock.js'
import { CallCancelledError } from './errors.js'

/** Why a call was cancelled. */
export type CancellationReason = 'caller-gone' | 'deadline' | 'superseded' | 'shutdown'

/** The deadline of a call and the means to cancel it. Children end with their parent. */
export class CallContext {
  readonly deadline: Timestamp
  private readonly _clock: Clock
  private readonly _controller = new AbortController()
  private readonly _timer: Timer | undefined
  private _reason: CancellationReason | undefined

  private constructor (clock: Clock, deadline: Timestamp) {
    this._clock = clock
    this.deadline = deadline
    if (Number.isFinite(deadline)) this._timer = clock.schedule(deadline, () => this.cancel('deadline'))
  }

  static create (clock: Clock, deadline: Timestamp = Number.POSITIVE_INFINITY): CallContext {
    return new CallContext(clock, deadline)
  }

  /** Derives a context that ends with this one, or earlier at `deadline`. */
  createChild (deadline: Timestamp = this.deadline): CallContext {
    const child = new CallContext(this._clock, Math.min(deadline, this.deadline))
    this.onCancel(reason => child.cancel(reason))
    return child
  }

  get signal (): AbortSignal {
    return this._controller.signal
  }

  get cancelled (): CancellationReason | undefined {
    return this._reason
  }

  /** Calls back once when the call is cancelled, at once when it already is. */
  onCancel (callback: (reason: CancellationReason) => void): void {
    if (this._reason) return callback(this._reason)
    this.signal.addEventListener('abort', () => callback(this._reason ?? 'superseded'), { once: true })
  }

  cancel (reason: CancellationReason): void {
    if (this._reason) return
    this._reason = reason
    this._timer?.cancel()
    this._controller.abort(new CallCancelledError(`The call was cancelled (${reason}). Send it again if the answer is still wanted.`))
  }

  /** Releases the timer of a call that has ended. */
  finish (): void {
    this._timer?.cancel()
  }
}
