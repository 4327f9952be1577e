/**
 * Decides what to do after a failed attempt.
 *
 * @module
 */
import type { RouteRecord } from '@plumstage/records'
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
  /** No connection could be established; nothing was sent. */
  | 'unreachable'
  /** The request can't be sent, at whichever upstream; nothing was sent. */
  | 'unsendable'
  /** The peer that was to carry the attempt opened no tunnel; nothing was sent. */
  | 'peer-unavailable'
  /** This gateway's links to the upstreams were lost. The request may have executed if it was sent. */
  | 'links-lost'
  /** The connection went silent while new ones to upstreams work. The request may have executed. */
  | 'silent'
  /** The upstream stated that it did not execute the request. */
  | 'not-run'
  /** The address now belongs to another instance, which did not execute the request. */
  | 'other-instance'
  /** The request may have executed, and its response is missing, incomplete or invalid. */
  | 'broken'
  /** The upstream itself returned a server error. */
  | 'server-error'

/** Progress of a request when an attempt has failed. */
export interface RequestProgress {
  route: RouteRecord
  /** Attempts that an upstream has accepted or refused; those that did not reach their instance do not count. */
  attempts: number
  /** Whether the request may have executed in any attempt. */
  mayHaveRun: boolean
  /** Whether part of the response has been sent to the caller. */
  started: boolean
}

/** What to do after a failed attempt. */
export type AttemptDecision =
  | { kind: 'retry' }
  | { kind: 'reject', rejection: Rejection }
  /** A started response can't be completed: the connection is cut, so that the response does not look complete. */
  | { kind: 'cut' }

const RETRY_AFTER_REFUSED_MILLISECONDS = 300
/** Attempts that failed so did not reach their upstream, or were cut off from it; they do not count. */
const UNCOUNTED_FAILURES: ReadonlySet<AttemptFailure> = new Set(['unreachable', 'unsendable', 'peer-unavailable', 'links-lost', 'other-instance'])

/** Whether a request may be executed more than once. */
export function mayRepeat (route: RouteRecord): boolean {
  return route.idempotency === 'idempotent' || route.stream?.resumable === true
}

/** Whether an attempt with this failure does not count towards the attempts of its request. */
export function isUncounted (failure: AttemptFailure): boolean {
  return UNCOUNTED_FAILURES.has(failure)
}

/** Whether a server error allows another attempt; otherwise it is forwarded to the caller. */
export function mayRetryServerError (progress: RequestProgress): boolean {
  return !progress.started && progress.route.idempotency === 'idempotent' && progress.route.stream === undefined && hasAttemptsLeft(progress)
}

/** Decides after a failed attempt. `tryTakeRetry` charges the retry budget; called only if a retry is otherwise allowed. */
export function decideAfterFailure (failure: AttemptFailure, progress: RequestProgress, tryTakeRetry: () => boolean): AttemptDecision {
  if (isRetryAllowed(failure, progress) && tryTakeRetry()) return { kind: 'retry' }
  if (progress.started) return { kind: 'cut' }
  if (failure === 'unsendable' && !progress.mayHaveRun) return { kind: 'reject', rejection: createRejection('internal-error', 'The request can\'t be sent to an upstream, and it was not executed. The operator finds the reason in the log and has to correct the name of the workspace or the headers.') }
  if (progress.mayHaveRun) return { kind: 'reject', rejection: createRejection('upstream-failed', 'The upstream failed before its response was complete, and the request may have been executed. Check its effect before sending it again.') }
  return { kind: 'reject', rejection: createRejection('not-run', 'No upstream accepted the request, and it was not executed. Send it again after the indicated delay.', RETRY_AFTER_REFUSED_MILLISECONDS) }
}

function isRetryAllowed (failure: AttemptFailure, progress: RequestProgress): boolean {
  if (failure === 'unsendable') return false
  if (progress.started && progress.route.stream?.resumable !== true) return false
  if (progress.mayHaveRun && !mayRepeat(progress.route)) return false
  if (isUncounted(failure)) return true
  return hasAttemptsLeft(progress)
}

/** Whether the route allows another attempt after those that are counted. */
export function hasAttemptsLeft (progress: Pick<RequestProgress, 'route' | 'attempts'>): boolean {
  return progress.attempts < (progress.route.maximumAttempts ?? 1)
}
