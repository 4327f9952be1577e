/**
 * Stand-in for a plain service, that is, any upstream other than a model engine, such as a wiki front end or a booking
 * application.
 *
 * @module
 */
import type { Server } from 'node:http'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import * as z from 'zod'
import { Listener } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import type { ExecutionLog } from '../executionLog.js'

export const plainServiceFaultsSchema = z.strictObject({
  /** Delays every response by this long after the request was executed. */
  delayMilliseconds: z.int().min(0).default(0),
  /** Executes requests and destroys the connection without a response. */
  cutAfterRun: z.boolean().default(false),
  /** Rejects requests with this status, after reading and before executing them; 0 means never. */
  refuseWithStatus: z.int().min(0).max(599).default(0),
  /** Declares a longer content-length than it sends, then destroys the connection. */
  halfAnswer: z.boolean().default(false)
})

export type PlainServiceFaultSettings = z.infer<typeof plainServiceFaultsSchema>

type PlainContext = Context<{ Bindings: HttpBindings }>

/** A running plain service. It counts how often each request was executed. */
export class PlainServiceStandin {
  /** Number of executions by method, path and body of the request. */
  readonly runs = new Map<string, number>()
  faults: PlainServiceFaultSettings = plainServiceFaultsSchema.parse({})
  private readonly _clock: Clock
  private readonly _executionLog: ExecutionLog | undefined
  private _listener: Listener | undefined

  private constructor (clock: Clock, executionLog: ExecutionLog | undefined) {
    this._clock = clock
    this._executionLog = executionLog
  }

  static async create (clock: Clock, listen: string, executionLog?: ExecutionLog): Promise<PlainServiceStandin> {
    const service = new PlainServiceStandin(clock, executionLog)
    const server = createAdaptorServer({ fetch: service._createRoutes().fetch }) as Server
    service._listener = await Listener.create(server, listen)
    return service
  }

  /** Address of the service, for example `127.0.0.1:9100`. */
  get address (): string {
    return this._listener!.address
  }

  /** Returns how often a request was executed. */
  countExecutions (method: string, path: string, body: string): number {
    return this.runs.get(`${method} ${path} ${body}`) ?? 0
  }

  async stop (): Promise<void> {
    await this._listener!.destroy()
  }

  private _createRoutes (): Hono<{ Bindings: HttpBindings }> {
    const routes = new Hono<{ Bindings: HttpBindings }>()
    routes.get('/standin/runs', context => context.json(Object.fromEntries(this.runs)))
    routes.post('/standin/faults', async context => {
      this.faults = plainServiceFaultsSchema.parse({ ...this.faults, ...(await context.req.json() as object) })
      return context.json(this.faults)
    })
    routes.all('*', async context => await this._handleRequest(context))
    return routes
  }

  private async _handleRequest (context: PlainContext): Promise<Response> {
    const body = await context.req.text()
    const path = context.req.path
    if (this.faults.refuseWithStatus > 0) return context.json({ refused: true }, this.faults.refuseWithStatus as 503)
    const request = `${context.req.method} ${path} ${body}`
    const executionCount = (this.runs.get(request) ?? 0) + 1
    this.runs.set(request, executionCount)
    this._executionLog?.append({ upstream: this.address, content: body, requestId: context.req.header('x-request-id') ?? '', startedAt: this._clock.now(), position: 0 })
    if (this.faults.delayMilliseconds > 0) await this._delay()
    if (this.faults.cutAfterRun) return this._destroyConnection(context)
    if (this.faults.halfAnswer) return this._sendPartialResponse(context)
    return context.json({ path, method: context.req.method, run: executionCount, content: body })
  }

  private async _delay (): Promise<void> {
    await new Promise<void>(resolve => this._clock.schedule(this._clock.now() + this.faults.delayMilliseconds, resolve))
  }

  private _destroyConnection (context: PlainContext): Response {
    context.env.incoming.socket.destroy()
    return RESPONSE_ALREADY_SENT
  }

  private _sendPartialResponse (context: PlainContext): Response {
    const half = '{"half":'
    context.env.outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': String(half.length * 2) })
    context.env.outgoing.write(half)
    setImmediate(() => context.env.incoming.socket.destroy())
    return RESPONSE_ALREADY_SENT
  }
}
