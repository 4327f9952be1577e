/**
 * The format of requests to upstreams and of their responses; each platform has an adapter for it.
 *
 * @module
 */
import type { CallerHead } from '../callers/callerProtocol.js'
import type { LimitStatement } from '../limits/statedLimit.js'

/** Headers of an upstream's response, names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>

/** What the headers of one attempt convey to its upstream. */
export interface OutboundRequest {
  head: CallerHead
  /** Workspace that the caller's token belongs to. */
  workspace?: string
  /** The instance that may execute the request; any other refuses it. */
  upstreamId: string
  /** Time until the deadline of the request, in milliseconds. */
  remainingMilliseconds: number
  /** Order among the requests of an upstream; 0 goes first. */
  urgency: number
  /** Id of the last event that the caller has received; the upstream continues the stream after it. */
  resumeAfter?: number
}

/** What the head of a response states about the attempt. */
export interface ResponseHead {
  /** Id of the request that the response belongs to; undefined when the upstream did not state it. */
  requestId?: string
  /** Whether the upstream states that it did not execute the request. */
  notRun: boolean
  /** The instance that responds, if it is stated. */
  instanceId?: string
  /** Whether the address now belongs to another instance. */
  otherInstance: boolean
  /** Whether the upstream has signed its response. */
  signed: boolean
  /** What the upstream states about the requests per second that it accepts from all gateways together. */
  limit: LimitStatement
  /** Whether the upstream states that it is leaving and wants no new requests. */
  leaving: boolean
  /** Time for which the upstream, which has refused the request, wants no others from this gateway; undefined if it names none. */
  retryAfterMilliseconds?: number
}

/** Encodes requests to upstreams and decodes the heads of their responses. */
export interface UpstreamProtocol {
  /** Returns alternating header names and values. */
  encodeHeaders (request: OutboundRequest): string[]
  readHead (status: number, headers: ResponseHeaders): ResponseHead
  /** Returns the headers to forward to the caller, alternating names and values. */
  selectResponseHeaders (headers: ResponseHeaders): string[]
}
