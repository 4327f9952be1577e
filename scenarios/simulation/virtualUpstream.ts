/**
 * Simulated upstreams on the virtual clock: model engines and plain services.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import { renderChat } from '@plumstage/common/promptBlocks'
import type { VirtualClock } from '@plumstage/common'
import { CompletionFormat, TokenSource } from '@plumstage/standins'
import type { UpstreamExecution } from '@plumstage/standins'

const CONNECT_MILLISECONDS = 1
const TOKEN_INTERVAL_MILLISECONDS = 20
const PLAIN_RESPONSE_MILLISECONDS = 15

/** Kind of a simulated upstream. */
export type UpstreamKind = 'engine' | 'plain'

/** Faults of a simulated upstream. */
export interface UpstreamFaults {
  /** Accepts requests, but sends nothing more. */
  frozen?: boolean
  /** Closes the connection after this many tokens; a plain service closes it after it has executed the request. */
  cutAfter?: number
  /** Rejects requests with this status without executing them. */
  refuseWith?: number
  /** Continues to send after the client has aborted the request. */
  sendsLate?: boolean
  /** Omits every third token. */
  skipsTokens?: boolean
  /** Sends the id of another request in the events of a completion. */
  foreignId?: boolean
}

interface Connection {
  handler: HttpClient.DispatchHandler
  aborted: boolean
  ended: boolean
}

interface CompletionBody {
  messages: Array<{ role: string, content: string }>
  max_tokens: number
  stream: boolean
  continue_from?: { position: number, text: string }
}

/** One simulated upstream. */
export class VirtualUpstream {
  readonly address: string
  readonly kind: UpstreamKind
  readonly failureDomain: string
  readonly incarnation: string
  faults: UpstreamFaults = {}
  /** The last order that was applied. */
  lastOrder = { adapter: '', fencingNumber: 0 }
  enforcesFencing = true
  isAlive = true
  private readonly _clock: VirtualClock
  private readonly _executions: UpstreamExecution[]
  private readonly _onCrash: () => void
  private readonly _connections = new Set<Connection>()

  private constructor (clock: VirtualClock, kind: UpstreamKind, address: string, failureDomain: string, incarnation: string, executions: UpstreamExecution[], onCrash: () => void) {
    this._onCrash = onCrash
    this._clock = clock
    this.kind = kind
    this.address = address
    this.failureDomain = failureDomain
    this.incarnation = incarnation
    this._executions = executions
  }

  /** All upstreams add to the same `executions`; `onCrash` is called when a request crashes the upstream. */
  static create (clock: VirtualClock, kind: UpstreamKind, address: string, failureDomain: string, incarnation: string, executions: UpstreamExecution[], onCrash: () => void): VirtualUpstream {
    return new VirtualUpstream(clock, kind, address, failureDomain, incarnation, executions, onCrash)
  }

  /** Kills the upstream and closes its connections. */
  kill (): void {
    this.isAlive = false
    for (const connection of [...this._connections]) this._fail(connection, 'other side closed')
  }

  /** Applies an order; returns false if it is rejected for its old fencing number. */
  applyOrder (adapter: string, fencingNumber: number): boolean {
    if (this.enforcesFencing && fencingNumber < this.lastOrder.fencingNumber) return false
    this.lastOrder = { adapter, fencingNumber }
    return true
  }

  /** Handles a request dispatched through the HTTP client; `deliver` runs callbacks in the client's process. */
  dispatch (options: HttpClient.DispatchOptions, handler: HttpClient.DispatchHandler, deliver: (callback: () => void) => void): void {
    const connection: Connection = { handler: wrapHandler(handler, deliver), aborted: false, ended: false }
    this._scheduleAfter(CONNECT_MILLISECONDS, () => {
      if (!this.isAlive) return connection.handler.onResponseError?.(createController(connection), new Error('connect ECONNREFUSED'))
      this._connections.add(connection)
      connection.handler.onRequestStart?.(createController(connection), undefined)
      this._scheduleAfter(CONNECT_MILLISECONDS, () => { if (!connection.aborted && this.isAlive) this._receive(options, connection) })
    })
  }

  private _receive (options: HttpClient.DispatchOptions, connection: Connection): void {
    const headers = options.headers as Record<string, string>
    if (this.faults.refuseWith !== undefined) return this._sendResponse(connection, this.faults.refuseWith, '{"refused":true}')
    if (this.kind === 'plain') return this._executePlain(String(options.body ?? ''), headers['x-request-id'], connection)
    const body = JSON.parse(String(options.body)) as CompletionBody
    this._executeCompletion(body, headers['x-request-id'], connection)
  }

  private _executePlain (content: string, requestId: string, connection: Connection): void {
    this._recordExecution(content, requestId, 0)
    if (this.faults.frozen) return
    if (this.faults.cutAfter !== undefined) return this._fail(connection, 'other side closed')
    this._scheduleAfter(PLAIN_RESPONSE_MILLISECONDS, () => this._sendResponse(connection, 200, JSON.stringify({ content })))
  }

  private _executeCompletion (body: CompletionBody, requestId: string, connection: Connection): void {
    const content = body.messages[0].content
    const source = TokenSource.create(renderChat(body.messages))
    const position = body.continue_from?.position ?? 0
    if (body.continue_from && body.continue_from.text !== source.textUpTo(position)) return this._sendResponse(connection, 409, '{"error":{"code":"wrong_continuation"}}')
    this._recordExecution(content, requestId, position)
    if (this.faults.frozen) return
    if (content.startsWith('crash')) return this._crash()
    const format = CompletionFormat.create('chat', `chatcmpl-${this.faults.foreignId ? 'foreign' : requestId}`, 'model-a', this._clock.now())
    this._startStream(connection)
    this._generate(connection, format, source, position, position, body.max_tokens)
  }

  private _crash (): void {
    this._onCrash()
    this.kill()
  }

  private _startStream (connection: Connection): void {
    connection.handler.onResponseStart?.(createController(connection), 200, { 'content-type': 'text/event-stream' })
  }

  private _generate (connection: Connection, format: CompletionFormat, source: TokenSource, start: number, position: number, tokens: number): void {
    this._scheduleAfter(TOKEN_INTERVAL_MILLISECONDS, () => {
      if (!this.isAlive || this.faults.frozen || (connection.aborted && !this.faults.sendsLate)) return
      if (this.faults.cutAfter !== undefined && position - start >= this.faults.cutAfter) return this._fail(connection, 'other side closed')
      if (position >= tokens) return this._finishStream(connection, format, position, tokens)
      const next = position + (this.faults.skipsTokens && position % 3 === 2 ? 2 : 1)
      connection.handler.onResponseData?.(createController(connection), Buffer.from(format.tokenEvent(next, source.tokenAt(next))))
      this._generate(connection, format, source, start, next, tokens)
    })
  }

  private _finishStream (connection: Connection, format: CompletionFormat, position: number, tokens: number): void {
    const usage = { promptTokens: 0, cachedTokens: 0, completionTokens: tokens }
    connection.handler.onResponseData?.(createController(connection), Buffer.from(format.lastEvents(position + 1, usage)))
    this._finish(connection)
  }

  private _sendResponse (connection: Connection, status: number, body: string): void {
    if (!this.isAlive || (connection.aborted && !this.faults.sendsLate)) return
    connection.handler.onResponseStart?.(createController(connection), status, { 'content-type': 'application/json' })
    connection.handler.onResponseData?.(createController(connection), Buffer.from(body))
    this._finish(connection)
  }

  private _finish (connection: Connection): void {
    connection.ended = true
    this._connections.delete(connection)
    connection.handler.onResponseEnd?.(createController(connection), {})
  }

  private _fail (connection: Connection, message: string): void {
    this._connections.delete(connection)
    if (connection.ended) return
    connection.ended = true
    connection.handler.onResponseError?.(createController(connection), new Error(message))
  }

  private _recordExecution (content: string, requestId: string, position: number): void {
    this._executions.push({ upstream: this.address, content, requestId, startedAt: this._clock.now(), position })
  }

  private _scheduleAfter (milliseconds: number, callback: () => void): void {
    this._clock.schedule(this._clock.now() + milliseconds, callback)
  }
}

function createController (connection: Connection): HttpClient.DispatchController {
  // As in undici, abort reports its reason to the handler like any other error, before it returns.
  const abort = (reason: Error): void => {
    if (connection.aborted) return
    connection.aborted = true
    if (!connection.ended) connection.handler.onResponseError?.(controller, reason)
  }
  const controller = { abort, pause: () => {}, resume: () => {}, get aborted () { return connection.aborted }, paused: false, reason: null } as HttpClient.DispatchController
  return controller
}

function wrapHandler (handler: HttpClient.DispatchHandler, deliver: (callback: () => void) => void): HttpClient.DispatchHandler {
  return {
    onRequestStart: (controller, context) => deliver(() => handler.onRequestStart?.(controller, context)),
    onResponseStart: (controller, status, headers) => deliver(() => handler.onResponseStart?.(controller, status, headers)),
    onResponseData: (controller, chunk) => deliver(() => handler.onResponseData?.(controller, chunk)),
    onResponseEnd: (controller, trailers) => deliver(() => handler.onResponseEnd?.(controller, trailers)),
    onResponseError: (controller, error) => deliver(() => handler.onResponseError?.(controller, error))
  }
}
