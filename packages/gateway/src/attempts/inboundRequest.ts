/**
 * A checked call of a caller, ready to be admitted.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { digestPrefixBlocks, estimateTokens, renderChat } from '@plumstage/common/promptBlocks'
import type { ChatMessage } from '@plumstage/common/promptBlocks'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { Configuration, PriorityRecord, RouteRecord, ServiceRecord, WorkspaceRecord } from '@plumstage/records'
import type { CompletionEndpoint } from './streamedResponse.js'

/** The part of a call that is meant for a model engine. */
export interface CompletionRequest {
  endpoint: CompletionEndpoint
  /** The body as it was parsed. */
  body: { [field: string]: unknown }
  /** Whether the caller wants the answer as a stream of events. */
  stream: boolean
}

/** One call of a caller. */
export interface InboundRequest {
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
  completion?: CompletionRequest
  idempotencyKey?: string
  promptTokens: number
  prefixBlocks: readonly string[]
  acceptedAt: Timestamp
  /** What another gateway says that had accepted the call; undefined when this one did. */
  handedOver?: { mayHaveRun: boolean }
}

/** Returns when the call must have started. */
export function startDeadlineOf (call: InboundRequest): Timestamp {
  return call.acceptedAt + call.priority.startWithinMilliseconds
}

/** Returns when the call must have ended. */
export function answerDeadlineOf (call: InboundRequest): Timestamp {
  return call.acceptedAt + call.priority.answerWithinMilliseconds
}

/** Paths of the two completion endpoints. */
export const COMPLETION_PATHS: Readonly<Record<CompletionEndpoint, string>> = { chat: '/v1/chat/completions', text: '/v1/completions' }

/** Returns the text that an engine prefills for a completion call. */
export function renderPrompt (completion: CompletionRequest): string {
  return completion.endpoint === 'chat' ? renderChat(completion.body.messages as ChatMessage[]) : completion.body.prompt as string
}

/** Makes the call of a request that another gateway had accepted; undefined when its route no longer exists. */
export function createHandedOverRequest (handed: HandedRequest, configuration: Configuration): InboundRequest | undefined {
  const workspace = configuration.workspaces.get(handed.workspace)
  const route = configuration.routes.get(handed.route)
  const service = route && configuration.services.get(route.service)
  const priority = route && configuration.priorities.get(route.priority)
  if (!workspace || !route || !service || !priority) return undefined
  const body = JSON.parse(handed.body.toString()) as { [field: string]: unknown }
  const completion = { endpoint: handed.endpoint, body, stream: body.stream === true }
  const prompt = renderPrompt(completion)
  return {
    requestId: handed.requestId,
    workspace,
    route,
    service,
    priority,
    method: 'POST',
    path: COMPLETION_PATHS[handed.endpoint],
    headers: {},
    body: handed.body,
    completion,
    promptTokens: estimateTokens(prompt),
    prefixBlocks: digestPrefixBlocks(prompt),
    acceptedAt: handed.acceptedAt,
    handedOver: { mayHaveRun: handed.mayHaveRun }
  }
}
