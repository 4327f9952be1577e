/**
 * Executes the dispatcher's actions by notifying each request that it is admitted or refused.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from '@plumstage/common'
import type { Configuration } from '@plumstage/records'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { DispatchAction, DispatchRequest, Dispatcher, RefusalReason } from './dispatcher.js'

/** Receives the dispatcher's decision on one request. */
export interface DispatchListener {
  onAdmitted (upstream: UpstreamIdentity): void
  onRefused (reason: RefusalReason, retryAfterSeconds: number): void
}

const TICK_MILLISECONDS = 100

/**
 * Runs the dispatcher of a gateway and notifies the listeners of its decisions. Runs it on every change, and periodically,
 * because start deadlines and ejections of upstreams expire without one.
 */
export class DispatchTask {
  private readonly _dispatcher: Dispatcher
  private readonly _clock: Clock
  private readonly _listeners = new Map<string, DispatchListener>()
  private _tick: Timer | undefined

  private constructor (dispatcher: Dispatcher, clock: Clock) {
    this._dispatcher = dispatcher
    this._clock = clock
  }

  static create (dispatcher: Dispatcher, clock: Clock): DispatchTask {
    const task = new DispatchTask(dispatcher, clock)
    task._scheduleTick()
    return task
  }

  get waitingCount (): number {
    return this._dispatcher.waitingCount
  }

  get runningCount (): number {
    return this._dispatcher.runningCount
  }

  submit (request: DispatchRequest, listener: DispatchListener): void {
    this._listeners.set(request.requestId, listener)
    this._execute(this._dispatcher.submit(request, this._clock.now()))
  }

  withdraw (requestId: string): void {
    this._listeners.delete(requestId)
    this._dispatcher.withdraw(requestId)
  }

  release (requestId: string): void {
    this._execute(this._dispatcher.release(requestId, this._clock.now()))
  }

  tryTakeRetry (service: string): boolean {
    return this._dispatcher.tryTakeRetry(service)
  }

  applyGateways (gateways: readonly string[]): void {
    this._dispatcher.applyGateways(gateways)
  }

  applyConfiguration (configuration: Configuration, now: Timestamp): void {
    this._execute(this._dispatcher.applyConfiguration(configuration, now))
  }

  /** Starts the waiting requests that can start now, after a change of the upstream table. */
  dispatchWaiting (): void {
    this._execute(this._dispatcher.dispatchWaiting(this._clock.now()))
  }

  stop (): void {
    this._tick?.cancel()
  }

  private _scheduleTick (): void {
    this._tick = this._clock.schedule(this._clock.now() + TICK_MILLISECONDS, () => {
      this.dispatchWaiting()
      this._scheduleTick()
    })
  }

  private _execute (actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      const listener = this._listeners.get(action.requestId)
      this._listeners.delete(action.requestId)
      if (action.kind === 'start') listener?.onAdmitted(action.upstream)
      else listener?.onRefused(action.reason, action.retryAfterSeconds)
    }
  }
}
