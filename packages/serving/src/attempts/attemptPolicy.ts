/**
 * Decides what follows the end of an attempt.
 *
 * @module
 */
import type { RouteRecord } from '@plumstage/records'
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'

/** How an attempt ended without a whole answer. */
export type AttemptFailure =
  /** No connection came about; nothing was sent. */
  | 'unreachable'
  /** The upstream said that it did not run the request. */
  | 'not-run'
  /** Another instance has the address now; it did not run the request. */
  | 'other-instance'
  /** The request may have run, and its answer is missing or not whole. */
  | 'broken'
  /** The upstream answered with a server error of its own. */
  | 'server-error'

/** What is known of a request when an attempt has failed. */
export interface RequestProgress {
  route: RouteRecord
  /** Attempts that an upstream has taken or refused; unreachable ones do not count. */
  attempts: number
  /** Whether any attempt may have run. */
  mayHaveRun: boolean
  /** Whether part of the answer has gone to the caller. */
  started: boolean
}

/** What is to be done. */
export type AttemptDecision =
  | { kind: 'retry' }
  | { kind: 'reject', rejection: Rejection }
  /** The answer has started and can't be finished: the connection is cut, so that it does not look whole. */
  | { kind: 'cut' }

const RETRY_AFTER_REFUSED_MILLISECONDS = 300

/** Whether a request may run more than once. */
export function mayRepeat (route: RouteRecord): boolean {
  return route.idempotency === 'idempotent' || route.stream?.resumable === true
}

/** Whether an upstream's server error is worth another attempt; otherwise it is the answer. */
export function mayRetryServerError (progress: RequestProgress): boolean {
  return !progress.started && progress.route.idempotency === 'idempotent' && progress.route.stream === undefined && hasAttemptsLeft(progress)
}

/** Decides after a failed attempt. `tryTakeRetry` asks the retry budget, only when a retry is otherwise allowed. */
export function decideAfterFailure (failure: AttemptFailure, progress: RequestProgress, tryTakeRetry: () => boolean): AttemptDecision {
  if (isRetryAllowed(failure, progress) && tryTakeRetry()) return { kind: 'retry' }
  if (progress.started) return { kind: 'cut' }
  if (progress.mayHaveRun) return { kind: 'reject', rejection: createRejection('upstream-failed', 'The upstream broke off, and the request may have run. Check its effect before sending it again.') }
  return { kind: 'reject', rejection: createRejection('not-run', 'No upstream took the request, and it has not run. Send it again after the stated time.', RETRY_AFTER_REFUSED_MILLISECONDS) }
}

function isRetryAllowed (failure: AttemptFailure, progress: RequestProgress): boolean {
  if (progress.started && progress.route.stream?.resumable !== true) return false
  if (progress.mayHaveRun && !mayRepeat(progress.route)) return false
  if (failure === 'unreachable' || failure === 'other-instance') return true
  return hasAttemptsLeft(progress)
}

function hasAttemptsLeft (progress: RequestProgress): boolean {
  return progress.attempts < (progress.route.maximumAttempts ?? 1)
}
