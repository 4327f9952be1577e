/**
 * Checks calls and turns them into inbound calls.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { digestPrefixBlocks, estimateTokens } from '@plumstage/common/promptBlocks'
import type { Clock } from '@plumstage/common'
import type { ChatMessage } from '@plumstage/common/promptBlocks'
import type { Configuration, RouteRecord, WorkspaceRecord } from '@plumstage/records'
import { COMPLETION_PATHS, renderPrompt } from '../attempts/inboundRequest.js'
import type { CompletionRequest, InboundRequest } from '../attempts/inboundRequest.js'
import type { CompletionEndpoint } from '../attempts/streamedResponse.js'
import { readBody } from './bodyReader.js'
import { CallerError } from './callerError.js'
import { selectRequestHeaders } from './headerPolicy.js'

const BEARER_PREFIX = 'Bearer '
const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255

/** What the reader depends on. */
export interface RequestReaderOptions {
  clock: Clock
  maximumBodyBytes: number
  configuration (): Configuration
}

/** Reads and checks the calls of callers. */
export class RequestReader {
  private readonly _options: RequestReaderOptions

  private constructor (options: RequestReaderOptions) {
    this._options = options
  }

  static create (options: RequestReaderOptions): RequestReader {
    return new RequestReader(options)
  }

  /** Returns the workspace whose token the call carries. */
  authenticate (incoming: IncomingMessage): Result<WorkspaceRecord, CallerError> {
    const configuration = this._options.configuration()
    if (configuration.revision === 0) return err(CallerError.create('configuration_missing', 'This gateway has no configuration yet. Try again in a moment; if it stays so, the operator has to apply one.', { outcome: 'not-run', retryAfterSeconds: 1 }))
    const header = incoming.headers.authorization ?? ''
    const workspace = header.startsWith(BEARER_PREFIX) ? configuration.findWorkspaceByToken(header.slice(BEARER_PREFIX.length).trim()) : undefined
    if (!workspace) return err(CallerError.create('invalid_token', 'The bearer token is missing or belongs to no workspace. Send `Authorization: Bearer TOKEN` with the token of your workspace.'))
    return ok(workspace)
  }

  /** Reads a call of the OpenAI-compatible interface. */
  async readCompletion (requestId: string, incoming: IncomingMessage, endpoint: CompletionEndpoint): Promise<Result<InboundRequest, CallerError>> {
    const workspace = this.authenticate(incoming)
    if (workspace.isErr()) return err(workspace.error)
    const body = await readBody(incoming, this._options.maximumBodyBytes)
    if (body.isErr()) return err(body.error)
    const completion = parseCompletion(body.value, endpoint)
    if (completion.isErr()) return err(completion.error)
    const model = String(completion.value.body.model)
    const route = this._options.configuration().findRouteByModel(model)
    if (!route) return err(CallerError.create('model_not_found', `There is no model ${model}. GET /v1/models lists the models.`))
    const prompt = renderPrompt(completion.value)
    return this._createRequest(requestId, incoming, workspace.value, route, body.value).map(call => ({
      ...call,
      path: COMPLETION_PATHS[endpoint],
      headers: selectCompletionHeaders(call.headers),
      completion: completion.value,
      promptTokens: estimateTokens(prompt),
      prefixBlocks: digestPrefixBlocks(prompt)
    }))
  }

  /** Reads a call for a plain service. */
  async readPlain (requestId: string, incoming: IncomingMessage): Promise<Result<InboundRequest, CallerError>> {
    const workspace = this.authenticate(incoming)
    if (workspace.isErr()) return err(workspace.error)
    const method = incoming.method ?? 'GET'
    const path = incoming.url ?? '/'
    const route = this._options.configuration().findRouteByPath(method, path)
    if (!route) return err(CallerError.create('route_not_found', `No route takes ${method} ${path.split('?')[0]}. Correct the path, or ask the operator for a route.`))
    const body = await readBody(incoming, this._options.maximumBodyBytes)
    if (body.isErr()) return err(body.error)
    return this._createRequest(requestId, incoming, workspace.value, route, body.value)
  }

  private _createRequest (requestId: string, incoming: IncomingMessage, workspace: WorkspaceRecord, route: RouteRecord, body: Buffer): Result<InboundRequest, CallerError> {
    const configuration = this._options.configuration()
    const service = configuration.services.get(route.service)
    const priority = configuration.priorities.get(route.priority)
    if (!service || !priority) return err(CallerError.create('service_removed', `Route ${route.name} names a service or a priority that is not configured. The operator has to correct the route.`))
    const idempotencyKey = readIdempotencyKey(incoming)
    if (idempotencyKey.isErr()) return err(idempotencyKey.error)
    return ok({
      requestId,
      workspace,
      route,
      service,
      priority,
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: selectRequestHeaders(incoming.headers),
      body,
      idempotencyKey: idempotencyKey.value,
      promptTokens: 0,
      prefixBlocks: [],
      acceptedAt: this._options.clock.now()
    })
  }
}

function readIdempotencyKey (incoming: IncomingMessage): Result<string | undefined, CallerError> {
  const header = incoming.headers['idempotency-key']
  if (header === undefined) return ok(undefined)
  const key = String(header).trim().replace(/^"(.*)"$/, '$1')
  if (key.length > 0 && key.length <= MAXIMUM_IDEMPOTENCY_KEY_LENGTH) return ok(key)
  return err(CallerError.create('invalid_idempotency_key', `The Idempotency-Key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters. Send a unique one, for example a UUID.`))
}

function parseCompletion (bytes: Buffer, endpoint: CompletionEndpoint): Result<CompletionRequest, CallerError> {
  const body = parseObject(bytes)
  if (!body) return err(CallerError.create('invalid_body', 'The body is not a JSON object. Send one with at least model and messages or prompt.'))
  if (typeof body.model !== 'string') return err(CallerError.create('invalid_body', 'The field model is missing or not a string. GET /v1/models lists the models.'))
  if (endpoint === 'chat' && !isMessageList(body.messages)) return err(CallerError.create('invalid_body', 'The field messages is missing or not a list of messages. Send objects with role and content.'))
  if (endpoint === 'text' && typeof body.prompt !== 'string') return err(CallerError.create('invalid_body', 'The field prompt is missing or not a string. Send the text to complete.'))
  if (body.stream !== undefined && typeof body.stream !== 'boolean') return err(CallerError.create('invalid_body', 'The field stream is not true or false. Correct or remove it.'))
  return ok({ endpoint, body, stream: body.stream === true })
}

function parseObject (bytes: Buffer): { [field: string]: unknown } | undefined {
  try {
    const parsed: unknown = JSON.parse(bytes.toString())
    return typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed) ? parsed as { [field: string]: unknown } : undefined
  } catch {
    return undefined
  }
}

function isMessageList (value: unknown): value is ChatMessage[] {
  return Array.isArray(value) && value.length > 0 && value.every(message => typeof message === 'object' && message !== null)
}

/** Engines get only headers that do not change the form of their answer. */
function selectCompletionHeaders (headers: Record<string, string>): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const name of ['traceparent', 'tracestate', 'idempotency-key']) if (headers[name] !== undefined) selected[name] = headers[name]
  return selected
}
