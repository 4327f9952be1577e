/**
 * Cancellation and deadline of one call, passed down to all work that is done for it.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from './clock.js'
import { CallCancelledError } from './errors.js'

/** Why a call was cancelled. */
export type CancellationReason = 'caller-gone' | 'deadline' | 'superseded' | 'shutdown'

/** Called once when a call is cancelled. */
export type CancellationListener = (reason: CancellationReason) => void

/** Deadline and cancellation of a call. Cancelling a context also cancels its children. */
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

  /**
   * Creates a context that is cancelled with this one, or earlier at `deadline`, a time of `clock`. Call `finish` on it when
   * its work is done.
   */
  createChild (deadline: Timestamp = this.deadline, clock: Clock = this._clock): CallContext {
    const child = new CallContext(this._clock, Math.min(this._toOwnTime(deadline, clock), this.deadline))
    child._detachFromParent = this.onCancel(reason => child.cancel(reason))
    return child
  }

  /** Abort signal for libraries that accept one. Pass the signal of a child context, so that listeners are released when the call ends. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  get cancelled (): CancellationReason | undefined {
    return this._reason
  }

  /** Calls `listener` once when the call is cancelled, or immediately if it already is. Returns a function that removes the listener. */
  onCancel (listener: CancellationListener): () => void {
    if (this._reason) {
      listener(this._reason)
      return () => {}
    }
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Resolves at `until`, a time of `clock`, or earlier if the call is cancelled. */
  async sleepUntil (until: Timestamp, clock: Clock = this._clock): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this._clock.schedule(this._toOwnTime(until, clock), () => { stopListening(); resolve() })
      const stopListening = this.onCancel(() => { timer.cancel(); resolve() })
    })
  }

  cancel (reason: CancellationReason): void {
    if (this._reason) return
    this._reason = reason
    this.finish()
    this._controller.abort(new CallCancelledError(`The call was cancelled (${reason}). Send it again if the response is still needed.`))
    const listeners = [...this._listeners]
    this._listeners.clear()
    for (const listener of listeners) listener(reason)
  }

  /** Clocks may differ by any amount, and by another amount later. */
  private _toOwnTime (time: Timestamp, clock: Clock): Timestamp {
    return clock === this._clock ? time : this._clock.now() + time - clock.now()
  }

  /** Releases the timer and the listener on the parent; call it when the work has ended. */
  finish (): void {
    this._timer?.cancel()
    this._detachFromParent?.()
  }
}
