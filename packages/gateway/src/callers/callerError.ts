/**
 * Errors that are returned to callers: the error format of OpenAI with a stable code, a remedy and the outcome.
 *
 * @module
 */
import { PlumstageError } from '@plumstage/common'
import type { Outcome } from '../attempts/attemptOutcome.js'

/** Stable codes of the errors that are returned to callers. */
export type CallerErrorCode =
  | 'invalid_body' | 'body_too_large' | 'invalid_token' | 'model_not_found' | 'route_not_found' | 'invalid_idempotency_key'
  | 'overloaded' | 'start_deadline_passed' | 'no_upstream' | 'service_removed' | 'upstream_failed' | 'answer_deadline_passed'
  | 'claims_unavailable' | 'idempotency_key_reused' | 'request_in_progress' | 'request_outcome_unknown' | 'answer_not_kept'
  | 'request_quarantined' | 'configuration_missing' | 'request_not_found' | 'request_moved' | 'gateway_leaving' | 'internal_error'

const STATUS_BY_CODE: Readonly<Record<CallerErrorCode, number>> = {
  invalid_body: 400,
  body_too_large: 413,
  invalid_token: 401,
  model_not_found: 404,
  route_not_found: 404,
  invalid_idempotency_key: 400,
  overloaded: 429,
  start_deadline_passed: 503,
  no_upstream: 503,
  service_removed: 503,
  upstream_failed: 502,
  answer_deadline_passed: 504,
  claims_unavailable: 503,
  idempotency_key_reused: 422,
  request_in_progress: 409,
  request_outcome_unknown: 409,
  answer_not_kept: 409,
  request_quarantined: 422,
  configuration_missing: 503,
  request_not_found: 404,
  request_moved: 503,
  gateway_leaving: 503,
  internal_error: 500
}

const FIRST_SERVER_STATUS = 500

/** Details of an error in addition to its code and message. */
export interface CallerErrorDetails {
  outcome: Outcome
  /** Seconds that the caller should wait before it retries. */
  retryAfterSeconds?: number
}

/** Fields of a caller error in addition to those of every `PlumstageError`. */
export interface CallerErrorFields extends CallerErrorDetails {
  callerCode: CallerErrorCode
  status: number
}

const CallerErrorClass = PlumstageError.subclass('CallerError')

/** Error that ends a request and is returned to its caller. */
export type CallerError = InstanceType<typeof CallerErrorClass> & CallerErrorFields

export const CallerError = {
  /** Creates an error whose `message` says what happened and what to do about it. */
  create (code: CallerErrorCode, message: string, details: CallerErrorDetails = { outcome: 'not-run' }): CallerError {
    const props: CallerErrorFields = { callerCode: code, status: STATUS_BY_CODE[code], ...details }
    return new CallerErrorClass(message, { props }) as CallerError
  }
}

/** Formats the response body that reports an error to the caller. */
export function formatCallerError (error: CallerError, requestId: string): string {
  return JSON.stringify({
    error: {
      message: error.message,
      type: error.status < FIRST_SERVER_STATUS ? 'invalid_request_error' : 'server_error',
      code: error.callerCode,
      param: null,
      outcome: error.outcome,
      request_id: requestId
    }
  })
}
