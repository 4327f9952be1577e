/**
 * A checked call of a caller, ready to be admitted.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { PriorityRecord, RouteRecord, ServiceRecord, WorkspaceRecord } from '@plumstage/records'
import type { CompletionEndpoint } from './streamedAnswer.js'

/** The part of a call that is meant for a model engine. */
export interface CompletionCall {
  endpoint: CompletionEndpoint
  /** The body as it was parsed. */
  body: { [field: string]: unknown }
  /** Whether the caller wants the answer as a stream of events. */
  stream: boolean
}

/** One call of a caller. */
export interface InboundCall {
  requestId: string
  workspace: WorkspaceRecord
  route: RouteRecord
  service: ServiceRecord
  priority: PriorityRecord
  method: string
  /** Path with its query. */
  path: string
  /** Headers to pass on, names in lower case. */
  headers: Record<string, string>
  body: Buffer
  /** Only for calls of the OpenAI-compatible interface. */
  completion?: CompletionCall
  idempotencyKey?: string
  promptTokens: number
  prefixBlocks: readonly string[]
  acceptedAt: Timestamp
}

/** Returns when the call must have started. */
export function startDeadlineOf (call: InboundCall): Timestamp {
  return call.acceptedAt + call.priority.startWithinMilliseconds
}

/** Returns when the call must have ended. */
export function answerDeadlineOf (call: InboundCall): Timestamp {
  return call.acceptedAt + call.priority.answerWithinMilliseconds
}
