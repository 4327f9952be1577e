/**
 * Decides whether an attempt that hears nothing from its upstream is given up for another one: because the way to the upstream is
 * lost, or because its connection has gone silent while new ones work.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { UpstreamAccess } from '../links/upstreamAccess.js'
import type { UpstreamPath } from '../links/upstreamPath.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { AttemptFailure, RequestProgress } from './attemptPolicy.js'
import type { RetryAllowance } from './retryAllowance.js'

/** A path counts as silent after this time without a byte. */
const SILENT_MILLISECONDS = 400
/** An attempt on a silent connection waits for this share of the time of its request, and no longer than this. */
const WAIT_SHARE = 0.4
const MAXIMUM_WAIT_MILLISECONDS = 1000

/** The running attempt of a request. */
export interface RunningAttempt {
  path: UpstreamPath
  upstream: Upstream
  /** Whether the upstream may have received it. */
  isDispatched: boolean
  /** Whether the caller has received a part of the response. */
  isStarted: boolean
  progress: RequestProgress
}

/** Why an attempt is given up. */
export interface SilenceVerdict {
  failure: Extract<AttemptFailure, 'links-lost' | 'silent'>
  detail: string
}

/** Checks the attempts of one request. */
export class SilentAttemptCheck {
  private readonly _access: UpstreamAccess
  private readonly _retries: RetryAllowance
  private readonly _waitMilliseconds: number

  private constructor (access: UpstreamAccess, retries: RetryAllowance, waitMilliseconds: number) {
    this._access = access
    this._retries = retries
    this._waitMilliseconds = waitMilliseconds
  }

  static create (access: UpstreamAccess, retries: RetryAllowance, { acceptedAt, deadline }: AcceptedRequest): SilentAttemptCheck {
    const share = (deadline - acceptedAt) * WAIT_SHARE
    return new SilentAttemptCheck(access, retries, Math.max(SILENT_MILLISECONDS, Math.min(MAXIMUM_WAIT_MILLISECONDS, share)))
  }

  /** Returns why the attempt is to be given up now, after its repetition was charged; undefined if it goes on. */
  check ({ path, upstream, isDispatched, isStarted, progress }: RunningAttempt, now: Timestamp): SilenceVerdict | undefined {
    const silentMilliseconds = now - path.silentSince
    if (silentMilliseconds < SILENT_MILLISECONDS) return undefined
    if (this._access.isPathLost(path, upstream)) return this._retries.takeAfterLostPath(isDispatched, isStarted) ? { failure: 'links-lost', detail: 'the path to the upstream is lost' } : undefined
    if (silentMilliseconds < this._waitMilliseconds || !this._access.isConnectionSilent(path)) return undefined
    if (!this._retries.takeAfterSilence(progress, isDispatched, isStarted)) return undefined
    return { failure: 'silent', detail: `its connection has been silent for ${Math.round(silentMilliseconds)} ms while new ones are answered` }
  }
}
