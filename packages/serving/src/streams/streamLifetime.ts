/**
 * How long the beginning of a stream matters: as long as a caller may resume it.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Callers that state a longer time limit can't resume a stream after this time. */
export const MAXIMUM_STREAM_LIFETIME_MILLISECONDS = 600_000
const DEFAULT_STREAM_LIFETIME_MILLISECONDS = 60_000
/** Callers may resume a little later than their time limit says. */
const RESUME_MARGIN_MILLISECONDS = 5000

/** Returns when the caller of a stream can no longer resume it; `timeoutMilliseconds` is what it stated, if anything. */
export function streamExpiryOf (acceptedAt: Timestamp, timeoutMilliseconds: number | undefined): Timestamp {
  const lifetime = (timeoutMilliseconds ?? DEFAULT_STREAM_LIFETIME_MILLISECONDS) + RESUME_MARGIN_MILLISECONDS
  return acceptedAt + Math.min(MAXIMUM_STREAM_LIFETIME_MILLISECONDS, lifetime)
}
