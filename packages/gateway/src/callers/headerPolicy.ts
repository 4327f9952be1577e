/**
 * Which headers pass through the gateway.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { HOP_BY_HOP_HEADERS } from '@plumstage/common'
import type { UpstreamResponseHeaders } from '../attempts/upstreamAttempt.js'
import { OUTCOME_HEADER, REQUEST_ID_HEADER } from './callerResponse.js'
import type { ResponseHeaders } from './callerResponse.js'

/** Headers that belong to one connection, and those that the gateway sets itself. */
const NOT_FORWARDED = new Set([
  ...HOP_BY_HOP_HEADERS, 'host', 'content-length', 'authorization', 'expect', REQUEST_ID_HEADER, OUTCOME_HEADER
])

/** Returns the headers of a call that its upstream is given. The workspace's token is not among them. */
export function selectRequestHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue
    selected[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return selected
}

/** Returns the headers of an answer that the caller is given. */
export function selectResponseHeaders (headers: UpstreamResponseHeaders): ResponseHeaders {
  const selected: ResponseHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue
    selected[name] = value
  }
  return selected
}
