/**
 * Builds the call that is sent to an upstream.
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

/** Fields of a completion request that only the gateway sets. */
const GATEWAY_FIELDS = ['priority', 'continue_from', 'cache_from']

/** The engine from which the next one may fetch the state that it has computed for the request. */
export interface CacheSource {
  address: string
  request_id: string
}

/** Whether the engines of a call's service answer it as a stream that another engine can continue. */
export function isResumable (call: InboundRequest): boolean {
  return call.completion !== undefined && call.service.abilities.resume
}

/** Builds the call of the next attempt, which continues `answer`; `cacheSource` is left out where fetching does not pay. */
export function buildUpstreamRequest (call: InboundRequest, answer: StreamedResponse, cacheSource: CacheSource | undefined, now: Timestamp): UpstreamRequest {
  const body = call.completion ? buildCompletionBody(call, answer, cacheSource) : call.body
  const headers: Record<string, string> = { ...call.headers, [REQUEST_ID_HEADER]: call.requestId }
  if (call.completion) headers['content-type'] = JSON_TYPE
  return {
    method: call.method,
    path: call.path,
    headers,
    body: body.length > 0 ? body : undefined,
    headersTimeoutMilliseconds: Math.max(1, answerDeadlineOf(call) - now),
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS
  }
}

function buildCompletionBody (call: InboundRequest, answer: StreamedResponse, cacheSource: CacheSource | undefined): Buffer {
  const { body, stream } = call.completion!
  const streamUpstream = stream || isResumable(call)
  const unchanged = answer.position === 0 && streamUpstream === stream && !GATEWAY_FIELDS.some(field => field in body)
  if (unchanged) return insertPriority(call.body, call.priority.rank)
  const continuation = answer.position === 0 ? undefined : { position: answer.position, text: answer.readText().text }
  return Buffer.from(JSON.stringify({ ...body, stream: streamUpstream, priority: call.priority.rank, continue_from: continuation, cache_from: continuation && cacheSource }))
}

/** Adds the priority to a JSON object without writing all of it again. */
function insertPriority (body: Buffer, rank: number): Buffer {
  const brace = body.indexOf(OPENING_BRACE)
  const field = Buffer.from(`{"priority":${rank},`)
  return Buffer.concat([field, body.subarray(brace + 1)])
}
