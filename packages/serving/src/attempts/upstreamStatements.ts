/**
 * Applies what upstreams state about themselves in the heads of their responses: that they are leaving, for how long they
 * want no requests, and the limits of those that they accept.
 *
 * @module
 */
import type { Clock, Timestamp } from '@plumstage/common'
import type { ServingState } from '../servingState.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AttemptLog } from './attemptLog.js'
import type { ResponseHead } from './upstreamProtocol.js'

/** Applies the statements in the responses to one request. */
export class UpstreamStatements {
  private readonly _state: ServingState
  private readonly _clock: Clock
  private readonly _log: AttemptLog

  private constructor (state: ServingState, clock: Clock, log: AttemptLog) {
    this._state = state
    this._clock = clock
    this._log = log
  }

  static create (state: ServingState, clock: Clock, log: AttemptLog): UpstreamStatements {
    return new UpstreamStatements(state, clock, log)
  }

  /** Applies a head that belongs to the request, which was sent to the upstream at `sentAt`. */
  apply (head: ResponseHead, upstream: Upstream, sentAt: Timestamp): void {
    if (!head.signed && !head.notRun) return
    if (head.leaving && this._state.upstreams.recordLeaving(upstream)) this._log.recordLeaving(upstream)
    if (head.retryAfterMilliseconds !== undefined && upstream.recordRetryAfter(this._clock.now() + head.retryAfterMilliseconds)) this._log.recordRetryAfter(upstream, head.retryAfterMilliseconds)
    // A refusal may state a limit, but one without a limit does not end it.
    if (!head.signed && head.limit.kind === 'none') return
    this._log.recordStatement(upstream, head.limit)
    this._state.limits.applyResponse(upstream, head.limit, sentAt, this._clock.now())
  }
}
