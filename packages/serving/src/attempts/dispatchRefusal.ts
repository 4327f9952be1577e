/**
 * Decides whether, and with which rejection, a request is refused because of the state of its upstreams.
 *
 * @module
 */
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { CrashTracking, CrashTrackingServices } from './crashTracking.js'
import type { StreamContinuity } from './streamContinuity.js'

const RETRY_AFTER_NO_UPSTREAM_MILLISECONDS = 800

/** Refuses one request. */
export class DispatchRefusal {
  private readonly _services: CrashTrackingServices
  private readonly _request: AcceptedRequest
  private readonly _continuity: StreamContinuity
  private readonly _crashes: CrashTracking

  private constructor (services: CrashTrackingServices, request: AcceptedRequest, continuity: StreamContinuity, crashes: CrashTracking) {
    this._services = services
    this._request = request
    this._continuity = continuity
    this._crashes = crashes
  }

  static create (services: CrashTrackingServices, request: AcceptedRequest, continuity: StreamContinuity, crashes: CrashTracking): DispatchRefusal {
    return new DispatchRefusal(services, request, continuity, crashes)
  }

  /** Returns the rejection of a request before its first attempt; undefined if it may start. */
  checkStart (): Rejection | undefined {
    return this._checkQuarantine() ?? this._checkOverload() ?? this._crashes.request.checkStart()
  }

  /** Returns the rejection of a request that no upstream may get now, and that none has executed. */
  explainMissingUpstream (): Rejection {
    return this._checkQuarantine() ?? this._checkWait() ?? this._checkLimits() ?? this._checkSoftware() ??
      createRejection('no-upstream', `Service ${this._service} has no available upstream, and the request was not executed. Send it again after the indicated delay.`, RETRY_AFTER_NO_UPSTREAM_MILLISECONDS)
  }

  private get _service (): string {
    return this._request.service.name
  }

  private _checkQuarantine (): Rejection | undefined {
    return this._crashes.rejectionOf(this._continuity.required, this._services.clock.now())
  }

  private _checkOverload (): Rejection | undefined {
    const { clock, state, instrumentation } = this._services
    const { head, generation, deadline } = this._request
    if (!generation) return undefined
    const now = clock.now()
    const remainingMilliseconds = deadline - now
    const waitMilliseconds = state.expectedWaitMilliseconds(this._service, this._continuity.required, now)
    const decision = state.overload.decide(waitMilliseconds, remainingMilliseconds)
    if (decision.kind === 'admitted') return undefined
    instrumentation.emit('overloaded', { service: this._service, waitMilliseconds: Math.round(waitMilliseconds), patienceMilliseconds: Math.round(remainingMilliseconds) }, head.requestId)
    return createRejection('overloaded', `The upstreams of service ${this._service} are overloaded and would start the request too late for its deadline; it was not executed. Send it again after the indicated delay.`, decision.retryAfterMilliseconds)
  }

  private _checkWait (): Rejection | undefined {
    const { clock, state } = this._services
    const now = clock.now()
    const retryAt = state.nextRetryAt(this._service, this._continuity.required, now)
    if (retryAt === undefined) return undefined
    return createRejection('upstreams-busy', `All upstreams of service ${this._service} are busy and have asked to wait, and the request was not executed. Send it again after the indicated delay.`, retryAt - now)
  }

  private _checkLimits (): Rejection | undefined {
    const { clock, state } = this._services
    const now = clock.now()
    const { required } = this._continuity
    if (!state.isLimited(this._service, required, now)) return undefined
    return createRejection('upstreams-limited', `All upstreams of service ${this._service} limit their requests and have no room now, and the request was not executed. Send it again after the indicated delay.`, state.bookReturn(this._service, required, now))
  }

  private _checkSoftware (): Rejection | undefined {
    if (this._continuity.required === undefined || !this._continuity.hasBegun) return undefined
    return createRejection('stream-software-gone', 'No upstream runs the software that began the stream, so it can\'t be continued, and the request was not executed. Begin a new stream.')
  }
}
