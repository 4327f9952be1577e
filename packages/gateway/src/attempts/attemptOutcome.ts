/**
 * The one place that decides what a failed attempt means for the caller: whether it ran, and whether it may be tried
 * again.
 *
 * @module
 */
import type { Idempotency, UpstreamAbilities } from '@plumstage/records'

/** What became of a request or of one attempt, as the caller is told. */
export type Outcome =
  /** The whole answer of an upstream was delivered. */
  | 'complete'
  /** No upstream has run any part of it. */
  | 'not-run'
  /** An upstream may have run it, in whole or in part. */
  | 'unknown'

/** Whether any byte of the attempt was offered to a connected upstream. */
export type DispatchState = 'not-offered' | 'offered'

/** How an attempt ended. */
export type AttemptEnding =
  /** The whole answer was received. */
  | 'complete'
  /** The upstream answered with a status that may mean that it refused the call. */
  | 'refused'
  /** The connection could not be made or ended before the whole answer. */
  | 'broken'
  /** The answer was not the one to this request, or not one of the interface. */
  | 'invalid'
  /** The gateway gave the attempt up. */
  | 'abandoned'

/** How one attempt ended. */
export interface AttemptReport {
  dispatch: DispatchState
  ending: AttemptEnding
  /** Status of the upstream's answer, when there was one. */
  status?: number
  /** Whether bytes of this attempt's answer have reached the caller in a way that cannot be continued. */
  responseCommitted: boolean
  /** Whether the connection ended by itself after the call was offered, as it does when an upstream crashes. */
  connectionLost: boolean
  /** Position of the last token delivered to the caller in all attempts. */
  position: number
  /** What happened, for logs and for the caller. */
  detail: string
}

/** Decides the outcome of one attempt. */
export function decideAttemptOutcome (report: AttemptReport, abilities: UpstreamAbilities): Outcome {
  if (report.ending === 'complete') return 'complete'
  if (report.dispatch === 'not-offered') return 'not-run'
  if (report.ending === 'refused' && report.status !== undefined && abilities.notRunStatuses.includes(report.status)) return 'not-run'
  return 'unknown'
}

/** Decides the outcome of a request from those of its attempts: it is `not-run` only if all of them were. */
export function decideRequestOutcome (attempts: readonly Outcome[]): Outcome {
  if (attempts.includes('complete')) return 'complete'
  return attempts.every(outcome => outcome === 'not-run') ? 'not-run' : 'unknown'
}

/** Whether a request may be sent to an upstream again after an attempt with this outcome. */
export function isSafeToRetry (outcome: Outcome, idempotency: Idempotency, hasIdempotencyKey: boolean): boolean {
  if (outcome === 'complete') return false
  if (outcome === 'not-run') return true
  if (idempotency === 'idempotent') return true
  return idempotency === 'idempotent-with-key' && hasIdempotencyKey
}
