/**
 * Creates the errors for requests that ended without a complete response.
 *
 * @module
 */
import type { Outcome } from '../attempts/attemptOutcome.js'
import type { FailureReason } from '../attempts/requestLifecycle.js'
import { CallerError } from './callerError.js'
import type { CallerErrorCode } from './callerError.js'

const DEFAULT_RETRY_AFTER_SECONDS = 1

/** How a request failed. */
export interface RequestFailure {
  outcome: Outcome
  reason?: FailureReason
  retryAfterSeconds?: number
  detail?: string
}

interface FailureMessage {
  code: CallerErrorCode
  text: string
}

const MESSAGE_BY_REASON: Readonly<Record<FailureReason, FailureMessage>> = {
  'no-upstream': { code: 'no_upstream', text: 'No upstream of this service is running.' },
  overloaded: { code: 'overloaded', text: 'All upstreams of this service are busy, and the request could not be started in time.' },
  'start-deadline': { code: 'start_deadline_passed', text: 'The request could not be started within the time that its priority allows.' },
  'service-removed': { code: 'service_removed', text: 'The service of this route is not configured.' },
  'attempts-failed': { code: 'upstream_failed', text: 'None of the upstreams that were tried returned a complete response.' },
  'answer-deadline': { code: 'answer_deadline_passed', text: 'The response was not complete within the time that the priority of the request allows.' },
  'caller-gone': { code: 'answer_deadline_passed', text: 'The caller closed its connection.' },
  'claim-refused': { code: 'claims_unavailable', text: 'The claim of the request was not granted.' },
  quarantined: { code: 'request_quarantined', text: 'Two upstreams crashed while they executed this request, so it is quarantined for half an hour. Change its content.' },
  'gateway-leaving': { code: 'gateway_leaving', text: 'The instance of this gateway is being reclaimed, and the request had not started.' },
  'handed-over': { code: 'upstream_failed', text: 'The instance of this gateway is being reclaimed, and no other gateway accepted the request.' },
  'claim-expired': { code: 'start_deadline_passed', text: 'The claim of the request expired before the request could start.' }
}

const REMEDY_BY_OUTCOME: Readonly<Record<Outcome, string>> = {
  complete: '',
  'not-run': ' The request was not executed; send it again.',
  unknown: ' The request may have been executed, completely or in part; send it again only if it is safe to execute it twice.'
}

/** Creates the error that reports a failed request to its caller. */
export function createFailureError (failure: RequestFailure): CallerError {
  const message = MESSAGE_BY_REASON[failure.reason ?? 'attempts-failed']
  const detail = failure.detail ? ` Last failure: ${failure.detail}.` : ''
  const retryAfterSeconds = failure.retryAfterSeconds ?? (failure.outcome === 'not-run' ? DEFAULT_RETRY_AFTER_SECONDS : undefined)
  return CallerError.create(message.code, message.text + REMEDY_BY_OUTCOME[failure.outcome] + detail, { outcome: failure.outcome, retryAfterSeconds })
}
