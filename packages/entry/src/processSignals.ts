/**
 * The signals of a process. Each of them ends a process that has no handler for it, so they are handled from the first
 * statement on. This module imports nothing, so that it is loaded before everything else.
 *
 * @module
 */

/** A signal that the process handles: SIGHUP tells of changed settings, the others ask it to stop. */
export type HandledSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT'

const HANDLED_SIGNALS: readonly HandledSignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT']

/** Where signals come from: the process. */
export interface SignalSource {
  on: (signal: HandledSignal, listener: (signal: HandledSignal) => void) => unknown
}

/** Receives the signals of a process for as long as it runs, and keeps those that arrive before there is a handler. */
export class ProcessSignals {
  private readonly _pending = new Set<HandledSignal>()
  private _handler: ((signal: HandledSignal) => void) | undefined

  private constructor () {}

  static create (source: SignalSource): ProcessSignals {
    const signals = new ProcessSignals()
    for (const signal of HANDLED_SIGNALS) source.on(signal, () => signals._receive(signal))
    return signals
  }

  /** Passes each signal to `handler`: at once those that have arrived, each kind once, then all others as they arrive. A later handler replaces an earlier one. */
  handle (handler: (signal: HandledSignal) => void): void {
    this._handler = handler
    const pending = [...this._pending]
    this._pending.clear()
    for (const signal of pending) handler(signal)
  }

  private _receive (signal: HandledSignal): void {
    if (this._handler) this._handler(signal)
    else this._pending.add(signal)
  }
}
