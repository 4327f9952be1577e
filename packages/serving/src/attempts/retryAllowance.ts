/**
 * Decides whether one request may be attempted again, and charges the retry budget of its service.
 *
 * @module
 */
import type { Clock } from '@plumstage/common'
import type { ServingState } from '../servingState.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { hasAttemptsLeft, mayRepeat, mayRetryServerError } from './attemptPolicy.js'
import type { AttemptFailure, RequestProgress } from './attemptPolicy.js'

/** Nothing was sent in attempts that failed so. */
const UNSENT_FAILURES: ReadonlySet<AttemptFailure> = new Set(['unreachable', 'peer-unavailable'])

/** Dependencies of the allowance. */
export interface RetryAllowanceServices {
  clock: Clock
  state: ServingState
}

/** The retries of one request. */
export class RetryAllowance {
  private readonly _services: RetryAllowanceServices
  private readonly _request: AcceptedRequest
  /** Whether the next attempt was charged when this one was given up. */
  private _isCharged = false

  private constructor (services: RetryAllowanceServices, request: AcceptedRequest) {
    this._services = services
    this._request = request
  }

  static create (services: RetryAllowanceServices, request: AcceptedRequest): RetryAllowance {
    return new RetryAllowance(services, request)
  }

  /** Records that an attempt starts. */
  beginAttempt (): void {
    this._isCharged = false
  }

  /** Returns whether to make another attempt instead of forwarding a server error. */
  takeAfterServerError (progress: RequestProgress): boolean {
    this._isCharged = mayRetryServerError({ ...progress, attempts: progress.attempts + 1 }) && this._charge()
    return this._isCharged
  }

  /** Returns whether to make another attempt instead of waiting for one on a lost path. */
  takeAfterLostPath (isDispatched: boolean, isStarted: boolean): boolean {
    const { route } = this._request
    if (isStarted && route.stream?.resumable !== true) return false
    if (isDispatched && !mayRepeat(route)) return false
    this._isCharged = !isDispatched || this._charge()
    return this._isCharged
  }

  /** Returns whether to make another attempt instead of waiting for one whose connection has gone silent. */
  takeAfterSilence ({ route, attempts }: RequestProgress, isDispatched: boolean, isStarted: boolean): boolean {
    return hasAttemptsLeft({ route, attempts: attempts + 1 }) && this.takeAfterLostPath(isDispatched, isStarted)
  }

  /** Returns whether the retry budget allows another attempt after a failure. */
  takeAfterFailure (failure: AttemptFailure): boolean {
    return this._isCharged || UNSENT_FAILURES.has(failure) || this._charge()
  }

  private _charge (): boolean {
    const { clock, state } = this._services
    return state.tryTakeRetry(this._request.service.name, clock.now())
  }
}
