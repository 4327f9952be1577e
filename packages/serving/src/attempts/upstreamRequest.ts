/**
 * Creates the HTTP request of one attempt.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { UpstreamRequest } from './upstreamAttempt.js'
import type { UpstreamProtocol } from './upstreamProtocol.js'

/** Maximum of a request's urgency; lower values are more urgent. */
const MAXIMUM_URGENCY = 9
const MINIMUM_REMAINING_MILLISECONDS = 1

/** What an attempt adds to its request. */
export interface AttemptTarget {
  upstreamId: string
  /** Id of the event after which a stream goes on; undefined if it begins. */
  resumeAfter: number | undefined
}

/** Returns the request as it is sent to an upstream at `now`. */
export function createUpstreamRequest ({ head, body, workspace, rank, deadline }: AcceptedRequest, { upstreamId, resumeAfter }: AttemptTarget, protocol: UpstreamProtocol, now: Timestamp): UpstreamRequest {
  const remainingMilliseconds = Math.max(MINIMUM_REMAINING_MILLISECONDS, Math.floor(deadline - now))
  const urgency = Math.min(MAXIMUM_URGENCY, rank * 2)
  return {
    method: head.method,
    path: head.target,
    headers: protocol.encodeHeaders({ head, workspace, upstreamId, remainingMilliseconds, urgency, resumeAfter }),
    body: body.length > 0 ? body : undefined
  }
}
