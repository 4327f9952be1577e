/**
 * Answers that a gateway gives itself.
 *
 * @module
 */

/** Why a request is answered by the gateway itself. */
export type RejectionKind =
  | 'malformed'
  | 'unauthenticated'
  | 'no-route'
  | 'head-too-large'
  | 'body-too-large'
  | 'body-too-slow'
  | 'quota-exceeded'
  | 'no-configuration'
  | 'no-upstream'
  | 'overloaded'
  | 'quarantined'
  | 'not-run'
  | 'timeout'
  | 'upstream-failed'

const STATUSES: Readonly<Record<RejectionKind, number>> = {
  malformed: 400,
  unauthenticated: 401,
  'no-route': 404,
  'head-too-large': 431,
  'body-too-large': 413,
  'body-too-slow': 408,
  'quota-exceeded': 429,
  'no-configuration': 503,
  'no-upstream': 503,
  overloaded: 503,
  quarantined: 503,
  'not-run': 503,
  timeout: 504,
  'upstream-failed': 502
}

/** A request that is not served. */
export interface Rejection {
  kind: RejectionKind
  status: number
  /** When the caller may come back; only where the request has not run. */
  retryAfterMilliseconds?: number
  /** What happened and what to do about it. */
  message: string
}

/** Creates a rejection with the status of its kind. */
export function createRejection (kind: RejectionKind, message: string, retryAfterMilliseconds?: number): Rejection {
  return { kind, status: STATUSES[kind], message, retryAfterMilliseconds }
}
