/**
 * Decides which headers are forwarded between callers and upstreams.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { HOP_BY_HOP_HEADERS } from '@plumstage/common'
import type { UpstreamResponseHeaders } from '../attempts/upstreamAttempt.js'
import { OUTCOME_HEADER, REQUEST_ID_HEADER } from './callerResponse.js'
import type { ResponseHeaders } from './callerResponse.js'

/** Headers that apply to a single connection only, and headers that are meant for the gateway or set by it. */
const NOT_FORWARDED = new Set([
  ...HOP_BY_HOP_HEADERS, 'host', 'content-length', 'authorization', 'expect', REQUEST_ID_HEADER, OUTCOME_HEADER
])

/** Returns the request headers that are forwarded to the upstream. The bearer token of the workspace is not forwarded. */
export function selectRequestHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue
    selected[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return selected
}

/** Returns the response headers that are forwarded to the caller. */
export function selectResponseHeaders (headers: UpstreamResponseHeaders): ResponseHeaders {
  const selected: ResponseHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue
    selected[name] = value
  }
  return selected
}
