/**
 * Stand-in for a model engine: the OpenAI-compatible API with continuous batching, a prefix cache, resume at a token
 * position, load reports and fault injection.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import * as z from 'zod'
import { digestPrefixBlocks, estimateTokens, renderChat } from '@plumstage/common/promptBlocks'
import { Listener } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { BatchScheduler } from './batchScheduler.js'
import { CompletionFormat } from './completionFormat.js'
import type { CompletionEndpoint } from './completionFormat.js'
import type { EngineCounts } from './engineCounts.js'
import { EngineSequence } from './engineSequence.js'
import type { EngineRequest } from './engineSequence.js'
import { engineFaultsSchema } from './engineFaults.js'
import type { EngineFaultSettings } from './engineFaults.js'
import type { ExecutionLog } from '../executionLog.js'
import { PrefixCache } from './prefixCache.js'
import { TokenSource } from './tokenSource.js'

const DEFAULT_RESPONSE_TOKENS = 32
const MAXIMUM_RESPONSE_TOKENS = 100_000
const MILLISECONDS_PER_SECOND = 1000
const COMPUTED_TOKENS_RETENTION_MILLISECONDS = 10_000

/** Capacity and speed of an engine stand-in. */
export interface EngineOptions {
  models: readonly string[]
  /** Time between two tokens of a sequence, in milliseconds. */
  stepMilliseconds: number
  maximumRunning: number
  prefillTokensPerSecond: number
  cacheBlocks: number
  /** Whether orders are rejected when their fencing number is lower than that of the last accepted order. */
  enforcesFencing: boolean
  /** Tokens of KV cache fetched from another engine per second. */
  cacheTransferTokensPerSecond: number
  /** Log of started requests that outlives the process. */
  executionLog?: ExecutionLog
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  models: ['quetzal-8b'],
  stepMilliseconds: 10,
  maximumRunning: 16,
  prefillTokensPerSecond: 8000,
  cacheBlocks: 2048,
  enforcesFencing: true,
  cacheTransferTokensPerSecond: 100_000
}

const completionSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).optional(),
  prompt: z.string().optional(),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(MAXIMUM_RESPONSE_TOKENS).default(DEFAULT_RESPONSE_TOKENS),
  priority: z.int().default(0),
  cache_from: z.object({ address: z.string(), request_id: z.string() }).optional(),
  continue_from: z.object({ position: z.int().min(0), text: z.string() }).optional()
})

const orderSchema = z.object({ adapter: z.string(), fencingNumber: z.number() })

type EngineContext = Context<{ Bindings: HttpBindings }>

/** A running engine stand-in. */
export class EngineStandin {
  readonly counts: EngineCounts = { started: 0, generatedTokens: 0, prefilledTokens: 0, recomputedTokens: 0, importedTokens: 0, cancelled: 0 }
  /** Ids of the accepted completion requests, in the order of acceptance. */
  readonly startedRequests: string[] = []
  /** The last order that was accepted. */
  lastOrder = { adapter: '', fencingNumber: 0 }
  faults: EngineFaultSettings = engineFaultsSchema.parse({})
  private readonly _clock: Clock
  private readonly _options: EngineOptions
  private readonly _scheduler: BatchScheduler
  private readonly _cache: PrefixCache
  private readonly _onCrash: () => void
  /** Tokens in the KV cache by request id, retained for some time after the response has closed. */
  private readonly _computedTokensByRequest = new Map<string, number>()
  private _listener: Listener | undefined
  private _stepTimer: NodeJS.Timeout | undefined

  private constructor (clock: Clock, options: EngineOptions, onCrash: () => void) {
    this._clock = clock
    this._options = options
    this._onCrash = onCrash
    this._cache = PrefixCache.create(options.cacheBlocks)
    this._scheduler = BatchScheduler.create({
      maximumRunning: options.maximumRunning,
      prefillTokensPerStep: Math.max(1, Math.round(options.prefillTokensPerSecond * options.stepMilliseconds / MILLISECONDS_PER_SECOND))
    })
  }

  /** Starts an engine; `onCrash` is called when `crashOnText` crashes it. */
  static async create (clock: Clock, listen: string, options: Partial<EngineOptions> = {}, onCrash: () => void = () => {}): Promise<EngineStandin> {
    const engine = new EngineStandin(clock, { ...DEFAULT_ENGINE_OPTIONS, ...options }, onCrash)
    const server = createAdaptorServer({ fetch: engine._createRoutes().fetch }) as Server
    engine._listener = await Listener.create(server, listen)
    return engine
  }

  /** Address of the engine, for example `127.0.0.1:9000`. */
  get address (): string {
    return this._listener!.address
  }

  /** Destroys every connection, as when the instance is reclaimed. */
  async stop (): Promise<void> {
    clearInterval(this._stepTimer)
    await this._listener!.destroy()
  }

  private _createRoutes (): Hono<{ Bindings: HttpBindings }> {
    const routes = new Hono<{ Bindings: HttpBindings }>()
    routes.post('/v1/chat/completions', async context => await this._handleCompletion(context, 'chat'))
    routes.post('/v1/completions', async context => await this._handleCompletion(context, 'text'))
    routes.get('/v1/models', context => context.json({ object: 'list', data: this._options.models.map(id => ({ id, object: 'model' })) }))
    routes.get('/kv-cache/:id', context => this._exportCache(context))
    routes.get('/orders', context => context.json({ adapter: this.lastOrder.adapter }))
    routes.post('/orders', async context => this._acceptOrder(context, orderSchema.parse(await context.req.json())))
    routes.get('/load', context => context.json({ running: this._scheduler.runningCount, waiting: this._scheduler.waitingCount, maximumRunning: this._options.maximumRunning }))
    routes.get('/cache-events', context => context.json({ events: this._cache.eventsAfter(Number(context.req.query('after') ?? 0)) }))
    routes.get('/standin/counts', context => context.json({ ...this.counts, startedRequests: this.startedRequests }))
    routes.post('/standin/faults', async context => {
      this.faults = engineFaultsSchema.parse({ ...this.faults, ...(await context.req.json() as object) })
      return context.json(this.faults)
    })
    return routes
  }

  /** Reports how many tokens of KV cache are retained for a request that has recently ended. */
  private _exportCache (context: EngineContext): Response {
    const tokens = this._computedTokensByRequest.get(context.req.param('id') ?? '')
    return tokens === undefined ? createErrorResponse(context, 404, 'no_cache', 'the engine has no KV cache for this request') : context.json({ tokens })
  }

  /** Fetches KV cache from another engine. Returns the number of tokens that need no prefill. */
  private async _importCache (source: { address: string, request_id: string } | undefined): Promise<number> {
    if (!source) return 0
    const response = await fetch(`http://${source.address}/kv-cache/${source.request_id}`).catch(() => undefined)
    if (response?.status !== 200) return 0
    const { tokens } = await response.json() as { tokens: number }
    this.counts.importedTokens += tokens
    await new Promise(resolve => setTimeout(resolve, tokens / this._options.cacheTransferTokensPerSecond * MILLISECONDS_PER_SECOND))
    return tokens
  }

  private _acceptOrder (context: EngineContext, order: z.infer<typeof orderSchema>): Response {
    if (this._options.enforcesFencing && order.fencingNumber < this.lastOrder.fencingNumber) return createErrorResponse(context, 409, 'old_fencing_number', 'an order with a higher fencing number was already accepted')
    this.lastOrder = order
    return context.json({})
  }

  private async _handleCompletion (context: EngineContext, endpoint: CompletionEndpoint): Promise<Response> {
    const parsed = completionSchema.safeParse(await context.req.json().catch(() => undefined))
    if (!parsed.success) return createErrorResponse(context, 400, 'invalid_request_error', 'the body is not a completion request')
    const body = parsed.data
    if (!this._options.models.includes(body.model)) return createErrorResponse(context, 404, 'model_not_found', `the model ${body.model} is not loaded`)
    if (this.faults.refuseWithStatus > 0) return createErrorResponse(context, this.faults.refuseWithStatus, 'refused', 'the engine is not accepting requests')
    if (this.faults.rubbish) return context.body('<<rubbish>>', 200, { 'content-type': body.stream ? 'text/event-stream' : 'application/json' })
    const prompt = endpoint === 'chat' ? renderChat(body.messages ?? []) : body.prompt ?? ''
    if (this.faults.crashOnText !== '' && prompt.includes(this.faults.crashOnText)) return this._crash(context)
    const source = TokenSource.create(prompt)
    if (body.continue_from && body.continue_from.text !== source.textUpTo(body.continue_from.position)) return createErrorResponse(context, 409, 'wrong_continuation', 'the text to continue is not a prefix of the response')
    const importedTokens = await this._importCache(body.cache_from)
    this._start(context.env.outgoing as ServerResponse<IncomingMessage>, this._createRequest(context, endpoint, body, prompt), source, importedTokens)
    return RESPONSE_ALREADY_SENT
  }

  private _createRequest (context: EngineContext, endpoint: CompletionEndpoint, body: z.infer<typeof completionSchema>, prompt: string): EngineRequest {
    const requestId = context.req.header('x-request-id') ?? `engine-${this.counts.started + 1}`
    const id = `${endpoint === 'chat' ? 'chatcmpl' : 'cmpl'}-${this.faults.foreignId ? 'foreign' : requestId}`
    const position = body.continue_from?.position ?? 0
    return {
      requestId,
      format: CompletionFormat.create(endpoint, id, body.model, this._clock.now()),
      stream: body.stream,
      priority: body.priority,
      prompt,
      content: String(body.messages?.[0]?.content ?? body.prompt ?? ''),
      promptTokens: estimateTokens(prompt),
      startPosition: position,
      responseTokens: body.max_tokens
    }
  }

  private _start (response: ServerResponse, request: EngineRequest, source: TokenSource, importedTokens: number): void {
    this.counts.started++
    this.startedRequests.push(request.requestId)
    this._options.executionLog?.append({ upstream: this.address, content: request.content, requestId: request.requestId, startedAt: this._clock.now(), position: request.startPosition })
    if (this.faults.frozen) return
    const cachedTokens = Math.max(importedTokens, this._cache.matchAndStore(digestPrefixBlocks(request.prompt)))
    const sequence = EngineSequence.create(request, source, response, this, cachedTokens)
    response.once('close', () => {
      this._recordComputedTokens(request.requestId, request.promptTokens + sequence.position)
      if (sequence.ended) return
      this.counts.cancelled++
      this._scheduler.remove(sequence)
    })
    this._scheduler.add(sequence)
    this._stepTimer ??= setInterval(() => this._step(), this._options.stepMilliseconds)
  }

  private _recordComputedTokens (requestId: string, tokens: number): void {
    this._computedTokensByRequest.set(requestId, tokens)
    setTimeout(() => this._computedTokensByRequest.delete(requestId), COMPUTED_TOKENS_RETENTION_MILLISECONDS).unref()
  }

  private _step (): void {
    this._scheduler.step()
    if (!this._scheduler.idle) return
    clearInterval(this._stepTimer)
    this._stepTimer = undefined
  }

  private _crash (context: EngineContext): Response {
    context.env.incoming.socket.destroy()
    void this.stop()
    this._onCrash()
    return RESPONSE_ALREADY_SENT
  }
}

function createErrorResponse (context: EngineContext, status: number, code: string, message: string): Response {
  return context.json({ error: { message, type: 'engine_error', code } }, status as 400)
}
