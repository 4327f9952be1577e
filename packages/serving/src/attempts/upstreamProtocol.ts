/**
 * How requests are handed to upstreams; each platform has an adapter that writes them.
 *
 * @module
 */
import type { CallerHead } from '../callers/callerProtocol.js'

/** Headers of an upstream's answer, names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>

/** What one attempt is to say to its upstream. */
export interface OutboundRequest {
  head: CallerHead
  /** Workspace that the caller's token belongs to. */
  workspace?: string
  /** The instance that may run the request; any other refuses it. */
  upstreamId: string
  /** Time that is left, in milliseconds. */
  remainingMilliseconds: number
  /** Order among the requests of an upstream; 0 goes first. */
  urgency: number
  /** Id of the last event that the caller has. */
  resumeAfter?: number
}

/** What the head of an answer says about the attempt. */
export interface ResponseHead {
  /** Identity of the request that the answer belongs to; undefined when the upstream did not say. */
  requestId?: string
  /** Whether the upstream says that it did not run the request. */
  notRun: boolean
  /** Whether another instance has the address now. */
  otherInstance: boolean
  /** Whether the upstream has signed its answer. */
  signed: boolean
}

/** Writes requests to upstreams and reads the heads of their answers. */
export interface UpstreamProtocol {
  /** Returns header names and values in turn. */
  encodeHeaders (call: OutboundRequest): string[]
  readHead (status: number, headers: ResponseHeaders): ResponseHead
  /** Returns the headers that the caller is given, names and values in turn. */
  selectResponseHeaders (headers: ResponseHeaders): string[]
}
