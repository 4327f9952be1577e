/**
 * Digests of calls and checks of their answers.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { Timestamp } from '@plumstage/common'
import { STATIC_INCARNATION } from '../upstreams/upstream.js'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { InboundRequest } from './inboundRequest.js'

const STATIC_CRASH_WINDOW_MILLISECONDS = 10_000

/** Returns the digest of a call's method, path and body. */
export function digestRequest (call: InboundRequest): string {
  return createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body).digest('hex')
}

/** Names the crash of one run of an upstream. Runs at a static address are told apart by time. */
export function crashIdOf (upstream: UpstreamIdentity, now: Timestamp): string {
  const run = upstream.incarnation === STATIC_INCARNATION ? Math.floor(now / STATIC_CRASH_WINDOW_MILLISECONDS) : upstream.incarnation
  return `${upstream.address} ${run}`
}

/** Returns what is wrong with a whole completion; undefined when it is the one with the expected id. */
export function validateCompletion (body: Buffer, expectedId: string | undefined): string | undefined {
  try {
    const answer = JSON.parse(body.toString()) as { id?: unknown }
    if (expectedId !== undefined && answer.id !== expectedId) return 'the upstream answered another request'
    return undefined
  } catch {
    return 'the upstream sent an answer that is not JSON'
  }
}
