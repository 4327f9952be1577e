/**
 * The clock of one simulated process, which can be paused, resumed and killed.
 *
 * @module
 */
import type { Clock, Timer, Timestamp, VirtualClock } from '@plumstage/common'

/** Whether a simulated process runs. */
export type ProcessState = 'running' | 'paused' | 'dead'

/** Timers of one process: none fires while it is paused, and none ever again when it is dead. */
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

  /** Runs what reaches the process from outside: at once, after the pause, or never. */
  deliver (callback: () => void): void {
    if (this._state === 'running') callback()
    else if (this._state === 'paused') this._deferredCallbacks.push(callback)
  }

  /** Resolves with what reaches the process from outside. */
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
    const held = this._deferredCallbacks
    this._deferredCallbacks = []
    for (const callback of held) callback()
  }

  kill (): void {
    this._state = 'dead'
    this._deferredCallbacks = []
  }
}
