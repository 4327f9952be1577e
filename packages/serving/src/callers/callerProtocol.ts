/**
 * The format of requests from callers; each platform has an adapter that decodes it.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Result } from 'neverthrow'
import type { Rejection } from './rejection.js'

/** A segment of a prompt. Prompts that begin with the same segments can share cached prefill work. */
export interface PromptSegment {
  id: string
  tokens: number
}

/** The work that a request requires of a model engine. */
export interface GenerationDemand {
  model: string
  promptTokens: number
  maximumOutputTokens: number
  /** The caller's estimate of the number of output tokens. */
  expectedOutputTokens?: number
  /** Segments of the prompt in order; the last one is not shared with other requests. */
  segments: readonly PromptSegment[]
}

/** The decoded head of a request. */
export interface CallerHead {
  /** Id that the caller gave the request. */
  requestId: string
  method: string
  host: string
  /** Path and query as the caller sent them. */
  target: string
  /** Path without the query. */
  path: string
  token?: string
  /** How long the caller waits for the response, counted from when the head was read. */
  timeoutMilliseconds?: number
  /** Id of the last event that the caller has received of a stream. */
  lastEventId?: number
  /** Id of the request that brought the first event of the stream that the caller resumes. */
  resumedRequestId?: string
  generation?: GenerationDemand
  /** Alternating names and values of the headers to forward to an upstream. */
  forwardedHeaders: readonly string[]
  /** Size of the head, which the configuration limits. */
  headBytes: number
}

/** Decodes the heads of callers' requests and encodes rejections. */
export interface CallerProtocol {
  readHead (incoming: IncomingMessage): Result<CallerHead, Rejection>
  /** Returns the headers of a rejection, alternating names and values. */
  encodeRejection (rejection: Rejection): string[]
  /** Path of the platform's readiness probe. */
  readonly readinessPath: string
}
