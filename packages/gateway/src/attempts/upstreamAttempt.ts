/**
 * One attempt to execute a request on one upstream. It owns the HTTP exchange until it ends; bytes that arrive later
 * are discarded.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { AttemptEnding, AttemptReport, DispatchState } from './attemptOutcome.js'

/** The HTTP request that is sent to the upstream. */
export interface UpstreamRequest {
  method: string
  path: string
  headers: Record<string, string>
  body: Buffer | undefined
  /** Maximum time until the upstream sends the response headers. */
  headersTimeoutMilliseconds: number
  /** Maximum time without data while the upstream sends the response body. */
  idleTimeoutMilliseconds: number
}

/** Headers of an upstream's response; names are in lower case. */
export type UpstreamResponseHeaders = Record<string, string | string[] | undefined>

/** Decision of a receiver on the status and headers of a response. */
export type HeadDecision =
  | { kind: 'accept' }
  | { kind: 'end', ending: AttemptEnding, detail: string }

/** Decision of a receiver on a chunk of the response body. */
export type ReceiveDecision =
  | { kind: 'continue' }
  /** The caller reads too slowly; `resume` is called once it accepts more bytes. */
  | { kind: 'pause' }
  | { kind: 'end', ending: AttemptEnding, detail: string }

/** Receives the response of one attempt. */
export interface ResponseReceiver {
  /** Whether the caller has received bytes that another attempt cannot continue from. */
  readonly responseCommitted: boolean
  /** Position of the last token delivered to the caller. */
  readonly position: number
  receiveHead (status: number, headers: UpstreamResponseHeaders): HeadDecision
  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision
  /** Called when the upstream has ended its response; returns whether it was complete. */
  receiveEnd (): { ending: AttemptEnding, detail: string }
}

const FIRST_FINAL_STATUS = 200
/** HTTP knows no statuses beyond this one. */
const LAST_STATUS = 599
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])

/** Called once when an attempt has ended. */
export type AttemptListener = (report: AttemptReport) => void

const CONTINUE: ReceiveDecision = { kind: 'continue' }
const PAUSE: ReceiveDecision = { kind: 'pause' }

export { CONTINUE as CONTINUE_RECEIVING, PAUSE as PAUSE_RECEIVING }

/** A running or ended attempt. */
export class UpstreamAttempt implements HttpClient.DispatchHandler {
  readonly id: string
  readonly upstream: UpstreamIdentity
  private readonly _receiver: ResponseReceiver
  private readonly _onEnded: AttemptListener
  private _dispatch: DispatchState = 'not-offered'
  private _status: number | undefined
  private _ended = false
  private _connectionLost = false
  private _controller: HttpClient.DispatchController | undefined

  private constructor (id: string, upstream: UpstreamIdentity, receiver: ResponseReceiver, onEnded: AttemptListener) {
    this.id = id
    this.upstream = upstream
    this._receiver = receiver
    this._onEnded = onEnded
  }

  static create (id: string, upstream: UpstreamIdentity, receiver: ResponseReceiver, onEnded: AttemptListener): UpstreamAttempt {
    return new UpstreamAttempt(id, upstream, receiver, onEnded)
  }

  get dispatch (): DispatchState {
    return this._dispatch
  }

  start (client: HttpClient, request: UpstreamRequest): void {
    client.dispatch({
      method: request.method as HttpClient.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body,
      idempotent: false,
      headersTimeout: request.headersTimeoutMilliseconds,
      bodyTimeout: request.idleTimeoutMilliseconds
    }, this)
  }

  /** Cancels the attempt. If it is not dispatched yet, it never will be. */
  abandon (detail: string): void {
    this._end('abandoned', detail)
  }

  /** undici is about to write the request to a connected upstream: from now on it may be executed. */
  onRequestStart (controller: HttpClient.DispatchController): void {
    if (this._ended) {
      controller.abort(new Error('The attempt was cancelled before it was dispatched.'))
      return
    }
    this._controller = controller
    this._dispatch = 'offered'
  }

  onResponseStart (_controller: HttpClient.DispatchController, status: number, headers: UpstreamResponseHeaders): void {
    if (this._ended || status < FIRST_FINAL_STATUS) return
    if (status > LAST_STATUS) return this._end('broken', `the response has the status ${status}, which HTTP does not know`)
    this._status = status
    const decision = this._receiver.receiveHead(status, headers)
    if (decision.kind === 'end') this._end(decision.ending, decision.detail)
  }

  onResponseData (controller: HttpClient.DispatchController, chunk: Buffer): void {
    if (this._ended) return
    const decision = this._receiver.receiveBytes(chunk, () => controller.resume())
    if (decision.kind === 'pause') controller.pause()
    else if (decision.kind === 'end') this._end(decision.ending, decision.detail)
  }

  onResponseEnd (): void {
    if (this._ended) return
    const { ending, detail } = this._receiver.receiveEnd()
    this._end(ending, detail)
  }

  onResponseError (_controller: HttpClient.DispatchController, error: Error & { code?: string }): void {
    // undici also reports here that an attempt which has already ended was aborted.
    if (this._ended) return
    if (this._dispatch === 'offered' && !TIMEOUT_CODES.has(error.code ?? '')) this._connectionLost = true
    this._end('broken', error.message)
  }

  private _end (ending: AttemptEnding, detail: string): void {
    if (this._ended) return
    this._ended = true
    if (ending !== 'complete') this._controller?.abort(new Error('The attempt has ended.'))
    this._onEnded({
      dispatch: this._dispatch,
      ending,
      status: this._status,
      responseCommitted: this._receiver.responseCommitted,
      connectionLost: this._connectionLost,
      position: this._receiver.position,
      detail
    })
  }
}
