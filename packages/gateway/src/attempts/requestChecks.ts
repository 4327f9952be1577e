/**
 * Digests of requests, ids of upstream crashes, and validation of completions.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { Timestamp } from '@plumstage/common'
import { STATIC_INCARNATION } from '../upstreams/upstream.js'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { InboundRequest } from './inboundRequest.js'

/** Connections lost within one window count as one crash of an upstream at a static address. */
const STATIC_CRASH_WINDOW_MILLISECONDS = 10_000

/** Returns the SHA-256 digest of a request's method, path and body. */
export function digestRequest (request: InboundRequest): string {
  return createHash('sha256').update(`${request.method} ${request.path}\n`).update(request.body).digest('hex')
}

/** Returns the id of an upstream's crash. A static address has no incarnation; its crashes are distinguished by time. */
export function crashIdOf (upstream: UpstreamIdentity, now: Timestamp): string {
  const incarnation = upstream.incarnation === STATIC_INCARNATION ? Math.floor(now / STATIC_CRASH_WINDOW_MILLISECONDS) : upstream.incarnation
  return `${upstream.address} ${incarnation}`
}

/** Returns what is wrong with a complete completion; undefined if it is valid JSON with the expected `id`. */
export function validateCompletion (body: Buffer, expectedId: string | undefined): string | undefined {
  try {
    const completion = JSON.parse(body.toString()) as { id?: unknown }
    if (expectedId !== undefined && completion.id !== expectedId) return 'the upstream sent the response to another request'
    return undefined
  } catch {
    return 'the upstream sent a response that is not valid JSON'
  }
}
