/**
 * Decides what a failed attempt means for the caller: whether an upstream may have executed it, and whether it is safe
 * to retry. No other module decides this.
 *
 * @module
 */
import type { Idempotency, UpstreamAbilities } from '@plumstage/records'

/** Outcome of a request or of one attempt, as reported to the caller. */
export type Outcome =
  /** The complete response of an upstream was delivered. */
  | 'complete'
  /** No upstream has executed any part of it. */
  | 'not-run'
  /** An upstream may have executed it, completely or in part. */
  | 'unknown'

/** Whether any byte of the attempt may have been written to a connected upstream (`offered`). */
export type DispatchState = 'not-offered' | 'offered'

/** How the exchange with the upstream ended. */
export type AttemptEnding =
  /** The complete response was received. */
  | 'complete'
  /** The upstream responded with a status that may mean that it refused the request. */
  | 'refused'
  /** The connection could not be established, or ended before the response was complete. */
  | 'broken'
  /** The response belongs to another request or violates the protocol. */
  | 'invalid'
  /** The gateway cancelled the attempt. */
  | 'abandoned'

/** Result of one attempt. */
export interface AttemptReport {
  dispatch: DispatchState
  ending: AttemptEnding
  /** HTTP status of the response; undefined if none was received. */
  status?: number
  /** Whether the caller has received bytes of this attempt that another attempt cannot continue from. */
  responseCommitted: boolean
  /** Whether the connection was lost after the request was dispatched, as happens when an upstream crashes. */
  connectionLost: boolean
  /** Position of the last token delivered to the caller, over all attempts. */
  position: number
  /** Description of what happened, for logs and the error sent to the caller. */
  detail: string
}

/** Returns the outcome of one attempt. */
export function decideAttemptOutcome (report: AttemptReport, abilities: UpstreamAbilities): Outcome {
  if (report.ending === 'complete') return 'complete'
  if (report.dispatch === 'not-offered') return 'not-run'
  if (report.ending === 'refused' && report.status !== undefined && abilities.notRunStatuses.includes(report.status)) return 'not-run'
  return 'unknown'
}

/** Returns the outcome of a request from the outcomes of its attempts: `not-run` only if all attempts were. */
export function decideRequestOutcome (attempts: readonly Outcome[]): Outcome {
  if (attempts.includes('complete')) return 'complete'
  return attempts.every(outcome => outcome === 'not-run') ? 'not-run' : 'unknown'
}

/** Whether a request may be sent to an upstream again after an attempt with this outcome, given its idempotency. */
export function isSafeToRetry (outcome: Outcome, idempotency: Idempotency, hasIdempotencyKey: boolean): boolean {
  if (outcome === 'complete') return false
  if (outcome === 'not-run') return true
  if (idempotency === 'idempotent') return true
  return idempotency === 'idempotent-with-key' && hasIdempotencyKey
}
