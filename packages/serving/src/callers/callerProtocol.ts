/**
 * How callers state their requests; each platform has an adapter that reads them.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Result } from 'neverthrow'
import type { Rejection } from './rejection.js'

/** A part of a prompt that requests may share. */
export interface PromptSegment {
  id: string
  tokens: number
}

/** The work that a request asks of a model engine. */
export interface GenerationDemand {
  model: string
  promptTokens: number
  maximumOutputTokens: number
  /** The caller's own estimate of the output. */
  expectedOutputTokens?: number
  /** Parts of the prompt in order; the last one is the request's own. */
  segments: readonly PromptSegment[]
}

/** Everything that the head of a request says. */
export interface CallerHead {
  /** Identity that the caller gave the request. */
  requestId: string
  method: string
  host: string
  /** Path and query as the caller sent them. */
  target: string
  /** Path without the query. */
  path: string
  token?: string
  /** How long the caller waits, from the moment its head was read. */
  timeoutMilliseconds?: number
  /** Id of the last event that the caller has of a stream. */
  lastEventId?: number
  generation?: GenerationDemand
  /** Names and values in turn, as they go to an upstream. */
  forwardedHeaders: readonly string[]
  /** Length of the head, for the limit of the configuration. */
  headBytes: number
}

/** Reads callers' requests and writes what a gateway answers itself. */
export interface CallerProtocol {
  readHead (incoming: IncomingMessage): Result<CallerHead, Rejection>
  /** Returns the headers of a rejection, names and values in turn. */
  encodeRejection (rejection: Rejection): string[]
  /** Path under which the platform asks whether the gateway is ready. */
  readonly readinessPath: string
}
