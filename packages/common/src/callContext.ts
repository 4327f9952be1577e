/**
 * Cancellation and deadline of one call, handed down to everything that is done for it.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from './clock.js'
import { CallCancelledError } from './errors.js'

/** Why a call was cancelled. */
export type CancellationReason = 'caller-gone' | 'deadline' | 'superseded' | 'shutdown'

/** Told once when a call is cancelled. */
export type CancellationListener = (reason: CancellationReason) => void

/** The deadline of a call and the means to cancel it. Children end with their parent. */
export class CallContext {
  readonly deadline: Timestamp
  private readonly _clock: Clock
  private readonly _controller = new AbortController()
  private readonly _listeners = new Set<CancellationListener>()
  private readonly _timer: Timer | undefined
  private _reason: CancellationReason | undefined
  private _detachFromParent: (() => void) | undefined

  private constructor (clock: Clock, deadline: Timestamp) {
    this._clock = clock
    this.deadline = deadline
    if (Number.isFinite(deadline)) this._timer = clock.schedule(deadline, () => this.cancel('deadline'))
  }

  static create (clock: Clock, deadline: Timestamp = Number.POSITIVE_INFINITY): CallContext {
    return new CallContext(clock, deadline)
  }

  /** Derives a context that ends with this one, or earlier at `deadline`. Finish it when its work is done. */
  createChild (deadline: Timestamp = this.deadline): CallContext {
    const child = new CallContext(this._clock, Math.min(deadline, this.deadline))
    child._detachFromParent = this.onCancel(reason => child.cancel(reason))
    return child
  }

  /** For libraries that take an abort signal. Hand them that of a child that ends with the call. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  get cancelled (): CancellationReason | undefined {
    return this._reason
  }

  /** Calls back once when the call is cancelled, at once when it already is; returns the means to stop that. */
  onCancel (listener: CancellationListener): () => void {
    if (this._reason) {
      listener(this._reason)
      return () => {}
    }
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Resolves at `until`, or earlier when the call is cancelled. */
  async sleepUntil (until: Timestamp): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this._clock.schedule(until, () => { stopListening(); resolve() })
      const stopListening = this.onCancel(() => { timer.cancel(); resolve() })
    })
  }

  cancel (reason: CancellationReason): void {
    if (this._reason) return
    this._reason = reason
    this.finish()
    this._controller.abort(new CallCancelledError(`The call was cancelled (${reason}). Send it again if the answer is still wanted.`))
    const listeners = [...this._listeners]
    this._listeners.clear()
    for (const listener of listeners) listener(reason)
  }

  /** Releases what a call that has ended holds. */
  finish (): void {
    this._timer?.cancel()
    this._detachFromParent?.()
  }
}
