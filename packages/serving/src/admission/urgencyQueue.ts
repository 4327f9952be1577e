/**
 * Holds the requests of one gateway that wait for room, and starts or rejects them.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from '@plumstage/common'
import { UrgencyAdmission } from './urgencyAdmission.js'
import type { AdmissionRequest } from './urgencyAdmission.js'

const CHECK_MILLISECONDS = 50

/** A request and what to do with it. */
export interface QueuedRequest extends AdmissionRequest {
  start: () => void
  reject: () => void
}

/** Returns the share of each rank of a service; undefined while there is room for all. */
export type SharesOf = (service: string, now: Timestamp) => ReadonlyMap<number, number> | undefined

/** The requests of all services that wait at one gateway. */
export class UrgencyQueue {
  private readonly _clock: Clock
  private readonly _sharesOf: SharesOf
  private readonly _services = new Map<string, UrgencyAdmission<QueuedRequest>>()
  private _timer: Timer | undefined

  private constructor (clock: Clock, sharesOf: SharesOf) {
    this._clock = clock
    this._sharesOf = sharesOf
  }

  static create (clock: Clock, sharesOf: SharesOf): UrgencyQueue {
    return new UrgencyQueue(clock, sharesOf)
  }

  /** Number of requests that wait. */
  get waitingCount (): number {
    return [...this._services.values()].reduce((sum, admission) => sum + admission.waitingCount, 0)
  }

  /** Starts or rejects a request, now or later. Returns a function that gives it up. */
  submit (service: string, request: QueuedRequest): () => void {
    const now = this._clock.now()
    const admission = this._services.get(service) ?? UrgencyAdmission.create<QueuedRequest>()
    this._services.set(service, admission)
    const decision = admission.ask(request, this._sharesOf(service, now), now)
    if (decision === 'start') request.start()
    if (decision === 'reject') request.reject()
    if (decision === 'wait') this._scheduleCheck()
    return () => admission.remove(request)
  }

  private _scheduleCheck (): void {
    this._timer ??= this._clock.schedule(this._clock.now() + CHECK_MILLISECONDS, () => this._check())
  }

  private _check (): void {
    this._timer = undefined
    const now = this._clock.now()
    for (const [service, admission] of this._services) {
      if (admission.waitingCount === 0) continue
      const { started, rejected } = admission.release(this._sharesOf(service, now), now)
      for (const request of rejected) request.reject()
      for (const request of started) request.start()
    }
    if (this.waitingCount > 0) this._scheduleCheck()
  }
}
