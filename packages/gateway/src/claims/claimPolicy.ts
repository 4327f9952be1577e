/**
 * Decides what a request with an idempotency key may do, given the claim that exists for its key.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { CallerError } from '../callers/callerError.js'
import type { ClaimRecord, StoredResponse } from './claimRecord.js'

/** What a request does next. */
export type ClaimDecision =
  /** No claim is in force: make one. */
  | { kind: 'create' }
  /** The claim was released before anything ran: take its place. */
  | { kind: 'replace' }
  /** The first request has its answer: give the same one. */
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'refuse', error: CallerError }

const IN_PROGRESS_RETRY_AFTER_SECONDS = 2

/** Decides on the claim found under the request's key; undefined when there is none. */
export function decideOnClaim (existing: ClaimRecord | undefined, requestDigest: string, now: Timestamp): ClaimDecision {
  if (!existing) return { kind: 'create' }
  if (existing.state === 'released') return { kind: 'replace' }
  if (existing.requestDigest !== requestDigest) return refuseReusedKey()
  if (existing.state === 'complete') return replay(existing)
  if (existing.state === 'claimed' && now < existing.answerDeadline) return refuseInProgress()
  return refuseUnknown()
}

function replay (existing: ClaimRecord): ClaimDecision {
  if (!existing.answer) {
    return { kind: 'refuse', error: CallerError.create('answer_not_kept', 'The request with this idempotency key has run and was answered, but its answer was too large to be kept. Read the result from the service itself.', { outcome: 'complete' }) }
  }
  const { status, contentType, bodyBase64 } = existing.answer
  return { kind: 'replay', response: { status, contentType, body: Buffer.from(bodyBase64, 'base64') } }
}

function refuseReusedKey (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('idempotency_key_reused', 'The idempotency key was used for a request with other content. This request was not run; send it with a key of its own.') }
}

function refuseInProgress (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('request_in_progress', 'The request with this idempotency key is still running. Ask again with the same key to get its answer.', { outcome: 'unknown', retryAfterSeconds: IN_PROGRESS_RETRY_AFTER_SECONDS }) }
}

function refuseUnknown (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('request_outcome_unknown', 'The request with this idempotency key was sent to an upstream and its answer was lost. It is not run again; check with the service whether it took effect.', { outcome: 'unknown' }) }
}
