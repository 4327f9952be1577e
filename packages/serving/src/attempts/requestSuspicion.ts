/**
 * Whether one request, as a whole, may be sent although upstreams crashed while they ran it, and what its attempts tell about that.
 *
 * @module
 */
import type { Clock } from '@plumstage/common'
import { createQuarantineRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import type { ServingState } from '../servingState.js'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** Dependencies of the suspicion. */
export interface RequestSuspicionServices {
  clock: Clock
  state: ServingState
}

/** How far an attempt had got when it failed. */
export interface AttemptProgress {
  /** Id of the last event that the caller has; 0 before the first. */
  lastEventId: number
  /** Whether the attempt has brought any part of the response. */
  hasBegun: boolean
}

/** The suspicion against one request. */
export class RequestSuspicion {
  private readonly _services: RequestSuspicionServices
  private readonly _digest: string
  private _isTrial = false

  private constructor (services: RequestSuspicionServices, digest: string) {
    this._services = services
    this._digest = digest
  }

  static create (services: RequestSuspicionServices, digest: string): RequestSuspicion {
    return new RequestSuspicion(services, digest)
  }

  /** Whether the request is sent to find out whether it still crashes upstreams. */
  get isTrial (): boolean {
    return this._isTrial
  }

  /** Whether an upstream has crashed while it ran this request, as far as is known. */
  get isSuspected (): boolean {
    return this._services.state.requestQuarantine.isSuspected(this._digest)
  }

  /** Returns the rejection of a request that may not start; one that may as a trial is it from now on. */
  checkStart (): Rejection | undefined {
    const { clock, state: { requestQuarantine } } = this._services
    if (requestQuarantine.isEmpty) return undefined
    const now = clock.now()
    const verdict = requestQuarantine.decide(this._digest, now)
    if (verdict.kind === 'refused') return createQuarantineRejection(verdict.retryAt - now)
    this._isTrial = verdict.kind === 'trial'
    if (this._isTrial) requestQuarantine.beginTrial(this._digest)
    return undefined
  }

  /** Whether another attempt may follow one that has brought nothing: not once the request is quarantined. */
  get mayRepeat (): boolean {
    const { clock, state: { requestQuarantine } } = this._services
    return !this._isTrial && requestQuarantine.decide(this._digest, clock.now()).kind === 'accepted'
  }

  recordProgress (lastEventId: number): void {
    const { clock, state: { requestQuarantine } } = this._services
    if (!requestQuarantine.isEmpty) requestQuarantine.recordProgress(this._digest, lastEventId, clock.now())
  }

  recordFinished (): void {
    const { clock, state: { requestQuarantine } } = this._services
    if (!requestQuarantine.isEmpty) requestQuarantine.recordFinished(this._digest, clock.now())
  }

  /** `isTrial` is whether the request was a trial when its attempt failed; it may have ended since. */
  recordCrash ({ id, incarnation }: ListedUpstream, { lastEventId, hasBegun }: AttemptProgress, isTrial: boolean): void {
    const { clock, state: { requestQuarantine } } = this._services
    requestQuarantine.recordCrash(this._digest, { crash: `${id}/${incarnation}`, progress: lastEventId, hasBegun, isTrial }, clock.now())
  }

  /** Records that the request has ended, whatever its result. */
  end (): void {
    if (this._isTrial) this._services.state.requestQuarantine.endTrial(this._digest, this._services.clock.now())
    this._isTrial = false
  }
}
