/**
 * A validated request of a caller, ready for admission.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { digestPrefixBlocks, estimateTokens, renderChat } from '@plumstage/common/promptBlocks'
import type { ChatMessage } from '@plumstage/common/promptBlocks'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { Configuration, PriorityRecord, RouteRecord, ServiceRecord, WorkspaceRecord } from '@plumstage/records'
import type { CompletionEndpoint } from './streamedResponse.js'

/** The parsed body of a completion request, for a model engine. */
export interface CompletionRequest {
  endpoint: CompletionEndpoint
  /** The parsed JSON body. */
  body: { [field: string]: unknown }
  /** Whether the caller asked for an event stream. */
  stream: boolean
}

/** One HTTP request of a caller, with the records that it resolved to. */
export interface InboundRequest {
  requestId: string
  workspace: WorkspaceRecord
  route: RouteRecord
  service: ServiceRecord
  priority: PriorityRecord
  method: string
  /** Path including the query string. */
  path: string
  /** Headers to forward; names are in lower case. */
  headers: Record<string, string>
  body: Buffer
  /** Set only for requests of the OpenAI-compatible API. */
  completion?: CompletionRequest
  idempotencyKey?: string
  /** Estimated number of prompt tokens; 0 for a plain service. */
  promptTokens: number
  /** Digests of the prompt's prefix blocks; empty for a plain service. */
  prefixBlocks: readonly string[]
  acceptedAt: Timestamp
  /** Set if another gateway handed the request over; `mayHaveRun`: whether it may have been executed before that. */
  handedOver?: { mayHaveRun: boolean }
}

/** Returns the time by which the request must have been dispatched to an upstream. */
export function startDeadlineOf (request: InboundRequest): Timestamp {
  return request.acceptedAt + request.priority.startWithinMilliseconds
}

/** Returns the time by which the response must be complete. */
export function answerDeadlineOf (request: InboundRequest): Timestamp {
  return request.acceptedAt + request.priority.answerWithinMilliseconds
}

/** Request paths of the completion endpoints. */
export const COMPLETION_PATHS: Readonly<Record<CompletionEndpoint, string>> = { chat: '/v1/chat/completions', text: '/v1/completions' }

/** Returns the prompt text that an engine prefills for a completion request. */
export function renderPrompt (completion: CompletionRequest): string {
  return completion.endpoint === 'chat' ? renderChat(completion.body.messages as ChatMessage[]) : completion.body.prompt as string
}

/**
 * Restores a request that another gateway handed over; undefined if its workspace or route, or the service or priority
 * of the route, is no longer configured.
 */
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
