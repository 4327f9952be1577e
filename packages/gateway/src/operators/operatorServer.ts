/**
 * HTTP server for operators: health, metrics, status and explanations of routing, on a separate listener.
 *
 * @module
 */
import { timingSafeEqual } from 'node:crypto'
import type { Server } from 'node:http'
import { Hono } from 'hono'
import type { Context, Next } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import * as z from 'zod'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewayStatus } from './gatewayStatus.js'
import type { Explanation, RouteExplainer } from './routeExplainer.js'

const explainSchema = z.strictObject({
  model: z.string().optional(),
  method: z.string().default('GET'),
  path: z.string().optional(),
  prompt: z.string().default('')
})

/** Dependencies of the server. */
export interface OperatorServerOptions {
  token: string
  metrics: GatewayMetrics
  explainer: RouteExplainer
  status (): GatewayStatus
  /** Why the gateway does not accept requests now; undefined if it does. */
  notReadyReason (): string | undefined
}

/** Handles the requests of operators. */
export class OperatorServer {
  private readonly _options: OperatorServerOptions

  private constructor (options: OperatorServerOptions) {
    this._options = options
  }

  static create (options: OperatorServerOptions): OperatorServer {
    return new OperatorServer(options)
  }

  /** Returns the HTTP server; it does not listen yet. */
  createHttpServer (): Server {
    return createAdaptorServer({ fetch: this._createRoutes().fetch }) as Server
  }

  private _createRoutes (): Hono {
    const routes = new Hono()
    routes.get('/healthz', context => context.text('ok\n'))
    routes.get('/readyz', context => this._handleReadiness(context))
    routes.use('*', async (context, next) => await this._authorize(context, next))
    routes.get('/metrics', async context => context.text(await this._options.metrics.format(), 200, { 'content-type': this._options.metrics.contentType }))
    routes.get('/status', context => context.json(this._options.status()))
    routes.post('/explain', async context => await this._explain(context))
    return routes
  }

  private _handleReadiness (context: Context): Response {
    const reason = this._options.notReadyReason()
    return reason === undefined ? context.text('ready\n') : context.text(`not ready: ${reason}\n`, 503)
  }

  private async _authorize (context: Context, next: Next): Promise<Response | void> {
    const presented = Buffer.from(context.req.header('authorization') ?? '')
    const expected = Buffer.from(`Bearer ${this._options.token}`)
    if (presented.length === expected.length && timingSafeEqual(presented, expected)) return await next()
    return context.json({ error: { code: 'invalid_operator_token', message: 'The operator token is missing or wrong. Send `Authorization: Bearer TOKEN` with the value of --operator-token.' } }, 401)
  }

  private async _explain (context: Context): Promise<Response> {
    const query = explainSchema.safeParse(await context.req.json().catch(() => undefined))
    if (!query.success) return context.json({ error: { code: 'invalid_question', message: 'The body does not describe a request. Send a JSON object with model and prompt, or with method and path.' } }, 400)
    const explanation: Explanation = this._options.explainer.explain(query.data)
    return context.json(explanation)
  }
}
