/**
 * Decides how a request with an idempotency key proceeds, given the stored claim for its key.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { CallerError } from '../callers/callerError.js'
import type { ClaimRecord, StoredResponse } from './claimRecord.js'

/** How a request with an idempotency key proceeds. */
export type ClaimDecision =
  /** No claim exists: create one. */
  | { kind: 'create' }
  /** The claim was released before its request was executed: replace it. */
  | { kind: 'replace' }
  /** The first request is complete: return its stored response. */
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'refuse', error: CallerError }

const IN_PROGRESS_RETRY_AFTER_SECONDS = 2

/** Decides based on the claim that is stored under the request's key; `existing` is undefined when there is none. */
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
    return { kind: 'refuse', error: CallerError.create('answer_not_kept', 'The request with this idempotency key is complete, but its response was too large to store. Read the result from the service itself.', { outcome: 'complete' }) }
  }
  const { status, contentType, bodyBase64 } = existing.answer
  return { kind: 'replay', response: { status, contentType, body: Buffer.from(bodyBase64, 'base64') } }
}

function refuseReusedKey (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('idempotency_key_reused', 'The idempotency key was already used for a request with different content. This request was not executed; send it with a new key.') }
}

function refuseInProgress (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('request_in_progress', 'The request with this idempotency key is still running. Retry with the same key to get its response.', { outcome: 'unknown', retryAfterSeconds: IN_PROGRESS_RETRY_AFTER_SECONDS }) }
}

function refuseUnknown (): ClaimDecision {
  return { kind: 'refuse', error: CallerError.create('request_outcome_unknown', 'The request with this idempotency key was sent to an upstream, but its response was lost. It is not executed again; check with the service whether it took effect.', { outcome: 'unknown' }) }
}
