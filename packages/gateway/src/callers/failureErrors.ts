/**
 * Words the errors of requests that ended without a whole answer.
 *
 * @module
 */
import type { Outcome } from '../attempts/attemptOutcome.js'
import type { FailureReason } from '../attempts/requestLifecycle.js'
import { CallerError } from './callerError.js'
import type { CallerErrorCode } from './callerError.js'

const DEFAULT_RETRY_AFTER_SECONDS = 1

/** How a request ended. */
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
  overloaded: { code: 'overloaded', text: 'All upstreams of this service are busy, and the request could not have started in time.' },
  'start-deadline': { code: 'start_deadline_passed', text: 'The request could not be started in the time that its priority allows.' },
  'service-removed': { code: 'service_removed', text: 'The service of this route is not configured.' },
  'attempts-failed': { code: 'upstream_failed', text: 'The upstreams that were tried did not give a whole answer.' },
  'answer-deadline': { code: 'answer_deadline_passed', text: 'The answer was not whole in the time that the priority of the request allows.' },
  'caller-gone': { code: 'answer_deadline_passed', text: 'The caller closed its connection.' },
  'claim-refused': { code: 'claims_unavailable', text: 'The claim of the request was not granted.' },
  quarantined: { code: 'request_quarantined', text: 'Two upstreams crashed while they ran this request, so it is kept from running again for half an hour. Change its content.' },
  'gateway-leaving': { code: 'gateway_leaving', text: 'This gateway is being taken away and the request had not started.' },
  'handed-over': { code: 'upstream_failed', text: 'The gateway was taken away, and no other took the request.' },
  'claim-expired': { code: 'start_deadline_passed', text: 'The claim of the request ended before the request could start.' }
}

const REMEDY_BY_OUTCOME: Readonly<Record<Outcome, string>> = {
  complete: '',
  'not-run': ' It was not run; send it again.',
  unknown: ' It may have run, in whole or in part; send it again only if it may run twice.'
}

/** Returns the error that tells the caller of a failure. */
export function createFailureError (failure: RequestFailure): CallerError {
  const wording = MESSAGE_BY_REASON[failure.reason ?? 'attempts-failed']
  const detail = failure.detail ? ` Last failure: ${failure.detail}.` : ''
  const retryAfterSeconds = failure.retryAfterSeconds ?? (failure.outcome === 'not-run' ? DEFAULT_RETRY_AFTER_SECONDS : undefined)
  return CallerError.create(wording.code, wording.text + REMEDY_BY_OUTCOME[failure.outcome] + detail, { outcome: failure.outcome, retryAfterSeconds })
}
