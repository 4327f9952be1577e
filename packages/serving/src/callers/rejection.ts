/**
 * Rejections: responses that the gateway sends itself, in place of an upstream's.
 *
 * @module
 */

/** Why the gateway rejects a request. */
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
  | 'upstreams-limited'
  | 'upstreams-busy'
  /** It is not known which software began the stream that the caller resumes. */
  | 'stream-origin-unknown'
  /** No upstream runs the software that began the stream that the caller resumes. */
  | 'stream-software-gone'
  | 'quarantined'
  | 'not-run'
  /** This gateway shuts down and starts no further requests. */
  | 'stopping'
  | 'timeout'
  | 'upstream-failed'
  /** This gateway shuts down before the upstream has responded; the request may have been executed. */
  | 'interrupted'
  /** This gateway has a fault. */
  | 'internal-error'

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
  'upstreams-limited': 503,
  'upstreams-busy': 503,
  'stream-origin-unknown': 503,
  'stream-software-gone': 503,
  quarantined: 503,
  'not-run': 503,
  stopping: 503,
  timeout: 504,
  'upstream-failed': 502,
  interrupted: 502,
  'internal-error': 500
}

/** What a request would have used of a quota that had not enough left, and the limits of the quota. */
export interface QuotaExcess {
  units: number
  unitsPerSecond: number
  burstUnits: number
}

/** The response to a rejected request. */
export interface Rejection {
  kind: RejectionKind
  status: number
  /** Delay before the caller may retry; only set if the request was not executed. */
  retryAfterMilliseconds?: number
  /** What happened and what to do about it. */
  message: string
  /** Only set if a quota was exceeded. */
  quota?: QuotaExcess
}

/** Another gateway can take the request at once. */
const RETRY_AFTER_STOPPING_MILLISECONDS = 50
const RETRY_AFTER_EXPIRY_MILLISECONDS = 500
const MAXIMUM_RETRY_AFTER_QUARANTINE_MILLISECONDS = 30_000

/** Creates a rejection with the status of its kind. */
export function createRejection (kind: RejectionKind, message: string, retryAfterMilliseconds?: number): Rejection {
  return { kind, status: STATUSES[kind], message, retryAfterMilliseconds }
}

/** Creates the rejection of a request that no upstream has got, by a gateway that shuts down. */
export function createStopRejection (): Rejection {
  return createRejection('stopping', 'The gateway is shutting down, and the request was not executed. Send it again on a new connection, which leads to another gateway.', RETRY_AFTER_STOPPING_MILLISECONDS)
}

/** Creates the rejection of a request during which upstreams crashed, and which may be sent again when it may be tried. */
export function createQuarantineRejection (trialInMilliseconds: number): Rejection {
  const retryAfterMilliseconds = Math.min(MAXIMUM_RETRY_AFTER_QUARANTINE_MILLISECONDS, trialInMilliseconds)
  return createRejection('quarantined', 'Upstreams crashed while they executed this request, and it was not executed again. Change it, or send it again after the indicated delay.', retryAfterMilliseconds)
}

/** Creates the rejection of a request whose deadline has passed before an upstream accepted it. */
export function createExpiredRejection (): Rejection {
  return createRejection('not-run', 'The deadline of the request passed before an upstream accepted it, and it was not executed. Send it again after the indicated delay.', RETRY_AFTER_EXPIRY_MILLISECONDS)
}
