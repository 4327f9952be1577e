/**
 * Builds the HTTP request that is sent to an upstream.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { REQUEST_ID_HEADER } from '../callers/callerResponse.js'
import { answerDeadlineOf } from './inboundRequest.js'
import type { InboundRequest } from './inboundRequest.js'
import type { StreamedResponse } from './streamedResponse.js'
import type { UpstreamRequest } from './upstreamAttempt.js'

const IDLE_TIMEOUT_MILLISECONDS = 20_000
const OPENING_BRACE = 0x7b
const JSON_TYPE = 'application/json'

/** Fields of a completion request that only the gateway may set; those sent by a caller are overwritten or removed. */
const GATEWAY_FIELDS = ['priority', 'continue_from', 'cache_from']

/** The engine from which the next one may fetch the cache that it has computed for the request. */
export interface CacheSource {
  address: string
  request_id: string
}

/** Whether the engines of the service stream their response so that another engine can continue it. */
export function isResumable (request: InboundRequest): boolean {
  return request.completion !== undefined && request.service.abilities.resume
}

/** Builds the request of the next attempt, which continues `response` and may fetch the cache from `cacheSource`. */
export function buildUpstreamRequest (request: InboundRequest, response: StreamedResponse, cacheSource: CacheSource | undefined, now: Timestamp): UpstreamRequest {
  const body = request.completion ? buildCompletionBody(request, response, cacheSource) : request.body
  const headers: Record<string, string> = { ...request.headers, [REQUEST_ID_HEADER]: request.requestId }
  if (request.completion) headers['content-type'] = JSON_TYPE
  return {
    method: request.method,
    path: request.path,
    headers,
    body: body.length > 0 ? body : undefined,
    headersTimeoutMilliseconds: Math.max(1, answerDeadlineOf(request) - now),
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS
  }
}

function buildCompletionBody (request: InboundRequest, response: StreamedResponse, cacheSource: CacheSource | undefined): Buffer {
  const { body, stream } = request.completion!
  const streamUpstream = stream || isResumable(request)
  const unchanged = response.position === 0 && streamUpstream === stream && !GATEWAY_FIELDS.some(field => field in body)
  if (unchanged) return insertPriority(request.body, request.priority.rank)
  const continuation = response.position === 0 ? undefined : { position: response.position, text: response.readText().text }
  return Buffer.from(JSON.stringify({ ...body, stream: streamUpstream, priority: request.priority.rank, continue_from: continuation, cache_from: continuation && cacheSource }))
}

/** Inserts the priority into a serialized, non-empty JSON object without serializing it again. */
function insertPriority (body: Buffer, rank: number): Buffer {
  const brace = body.indexOf(OPENING_BRACE)
  const field = Buffer.from(`{"priority":${rank},`)
  return Buffer.concat([field, body.subarray(brace + 1)])
}
