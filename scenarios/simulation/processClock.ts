/**
 * Clock of one simulated process, which can be paused, resumed and killed.
 *
 * @module
 */
import type { Clock, Timer, Timestamp, VirtualClock } from '@plumstage/common'

/** State of a simulated process. */
export type ProcessState = 'running' | 'paused' | 'dead'

/** Timers and incoming events of one process: deferred while it is paused, dropped once it is dead. */
export class ProcessClock implements Clock {
  private readonly _clock: VirtualClock
  private _state: ProcessState = 'running'
  private _deferredCallbacks: Array<() => void> = []

  private constructor (clock: VirtualClock) {
    this._clock = clock
  }

  static create (clock: VirtualClock): ProcessClock {
    return new ProcessClock(clock)
  }

  get state (): ProcessState {
    return this._state
  }

  now (): Timestamp {
    return this._clock.now()
  }

  schedule (deadline: Timestamp, callback: () => void): Timer {
    let cancelled = false
    const timer = this._clock.schedule(deadline, () => this.deliver(() => { if (!cancelled) callback() }))
    return { cancel: () => { cancelled = true; timer.cancel() } }
  }

  /** Delivers an event from outside the process: at once, on resume if it is paused, or never if it is dead. */
  deliver (callback: () => void): void {
    if (this._state === 'running') callback()
    else if (this._state === 'paused') this._deferredCallbacks.push(callback)
  }

  /** Awaits a result from outside the process; it is delivered like any other event. */
  async receiveResult<Value> (value: Promise<Value>): Promise<Value> {
    return await new Promise<Value>((resolve, reject) => {
      value.then(received => this.deliver(() => resolve(received)), error => this.deliver(() => reject(error)))
    })
  }

  pause (): void {
    if (this._state === 'running') this._state = 'paused'
  }

  resume (): void {
    if (this._state !== 'paused') return
    this._state = 'running'
    const callbacks = this._deferredCallbacks
    this._deferredCallbacks = []
    for (const callback of callbacks) callback()
  }

  kill (): void {
    this._state = 'dead'
    this._deferredCallbacks = []
  }
}
