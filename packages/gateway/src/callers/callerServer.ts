/**
 * HTTP server for callers: the OpenAI-compatible API for models, and plain HTTP for all other services.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Result } from 'neverthrow'
import { describeError, getLogger } from '@plumstage/common'
import type { IdGenerator, Instrumentation } from '@plumstage/common'
import type { Configuration } from '@plumstage/records'
import type { InboundRequest } from '../attempts/inboundRequest.js'
import { CallerError } from './callerError.js'
import { HttpCallerResponse } from './callerResponse.js'
import type { CallerResponse } from './callerResponse.js'
import type { RequestReader } from './requestReader.js'

const MAXIMUM_HEADER_BYTES = 16 * 1024
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 60_000
const KEEP_ALIVE_MILLISECONDS = 65_000

type CallerContext = Context<{ Bindings: HttpBindings }>
type ReadRequest = (requestId: string, incoming: IncomingMessage) => Promise<Result<InboundRequest, CallerError>>

/** Dependencies of the server. */
export interface CallerServerOptions {
  instrumentation: Instrumentation
  /** Starts to process a validated request. */
  accept (request: InboundRequest, response: CallerResponse): void
  /** Sends the rest of a handed-over response, after event `lastPosition`. Returns false if no gateway holds it. */
  resume (requestId: string, workspace: string, response: CallerResponse, lastPosition: number): Promise<boolean>
  reader: RequestReader
  requestIds: IdGenerator
  configuration (): Configuration
  /** Whether the gateway is stopping, so that every connection is closed after its current request. */
  stopping (): boolean
}

/** Handles the requests of callers. */
export class CallerServer {
  private readonly _options: CallerServerOptions
  private readonly _log = getLogger('callers')

  private constructor (options: CallerServerOptions) {
    this._options = options
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  /** Returns the HTTP server; it does not listen yet. */
  createHttpServer (): Server {
    const server = createAdaptorServer({
      fetch: this._createRoutes().fetch,
      serverOptions: { maxHeaderSize: MAXIMUM_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MILLISECONDS, requestTimeout: REQUEST_TIMEOUT_MILLISECONDS, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS }
    }) as Server
    server.on('connection', socket => socket.setNoDelay(true))
    return server
  }

  private _createRoutes (): Hono<{ Bindings: HttpBindings }> {
    const { reader } = this._options
    const routes = new Hono<{ Bindings: HttpBindings }>()
    routes.post('/v1/chat/completions', async context => await this._serve(context, async (id, incoming) => await reader.readCompletion(id, incoming, 'chat')))
    routes.post('/v1/completions', async context => await this._serve(context, async (id, incoming) => await reader.readCompletion(id, incoming, 'text')))
    routes.get('/v1/requests/:id', async context => await this._resume(context))
    routes.get('/v1/models', context => this._listModels(context))
    routes.all('*', async context => await this._serve(context, async (id, incoming) => await reader.readPlain(id, incoming)))
    return routes
  }

  private async _serve (context: CallerContext, read: ReadRequest): Promise<Response> {
    const outgoing = context.env.outgoing as ServerResponse
    const requestId = this._options.requestIds.next()
    const response = HttpCallerResponse.create(requestId, outgoing)
    if (this._options.stopping()) outgoing.setHeader('connection', 'close')
    try {
      const request = await read(requestId, context.env.incoming as IncomingMessage)
      if (request.isErr()) this._refuse(response, request.error)
      else this._options.accept(request.value, response)
    } catch (error) {
      this._log.error(`Request ${requestId} failed: ${describeError(error)}`)
      if (!response.started) response.sendError(CallerError.create('internal_error', 'The gateway failed with an internal error. The request may have been executed; report its id to the operator.', { outcome: 'unknown' }))
      else response.abort()
    }
    return RESPONSE_ALREADY_SENT
  }

  private async _resume (context: CallerContext): Promise<Response> {
    const requestId = context.req.param('id') ?? ''
    const response = HttpCallerResponse.create(requestId, context.env.outgoing as ServerResponse)
    const workspace = this._options.reader.authenticate(context.env.incoming as IncomingMessage)
    const lastPosition = Number(context.req.header('last-event-id') ?? 0)
    if (workspace.isErr()) this._refuse(response, workspace.error)
    else if (!Number.isSafeInteger(lastPosition) || lastPosition < 0) this._refuse(response, CallerError.create('invalid_body', 'The header Last-Event-ID is not the id of an event. Send the id of the last event that you received, or omit the header.'))
    else if (!await this._options.resume(requestId, workspace.value.name, response, lastPosition)) this._refuse(response, CallerError.create('request_not_found', 'No gateway holds this request for your workspace. Send it again only if it is safe to execute it twice.', { outcome: 'unknown' }))
    return RESPONSE_ALREADY_SENT
  }

  private _refuse (response: CallerResponse, error: CallerError): void {
    this._options.instrumentation.emit('request-refused', { code: error.callerCode }, response.requestId)
    response.sendError(error)
  }

  private _listModels (context: CallerContext): Response {
    const response = HttpCallerResponse.create(this._options.requestIds.next(), context.env.outgoing as ServerResponse)
    const workspace = this._options.reader.authenticate(context.env.incoming as IncomingMessage)
    if (workspace.isErr()) {
      this._refuse(response, workspace.error)
      return RESPONSE_ALREADY_SENT
    }
    const data = this._options.configuration().listModels().map(id => ({ id, object: 'model', created: 0, owned_by: 'plumstage' }))
    response.sendComplete(200, { 'content-type': 'application/json' }, JSON.stringify({ object: 'list', data }), 'complete')
    return RESPONSE_ALREADY_SENT
  }
}
