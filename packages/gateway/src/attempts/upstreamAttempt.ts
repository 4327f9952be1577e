/**
 * One try of a request on one upstream. It owns its connection while it runs; bytes that arrive after it has ended go
 * nowhere.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import type { AttemptEnding, AttemptReport, DispatchState } from './attemptOutcome.js'

/** The call that is sent to the upstream. */
export interface UpstreamRequest {
  method: string
  path: string
  headers: Record<string, string>
  body: Buffer | undefined
  /** How long the upstream may be silent before the head of its answer, in milliseconds. */
  headersTimeoutMilliseconds: number
  /** How long the upstream may be silent within its answer, in milliseconds. */
  idleTimeoutMilliseconds: number
}

/** Headers of an upstream's answer, names in lower case. */
export type UpstreamResponseHeaders = Record<string, string | string[] | undefined>

/** What the receiver of an answer makes of its head. */
export type HeadDecision =
  | { kind: 'accept' }
  | { kind: 'end', ending: AttemptEnding, detail: string }

/** What the receiver of an answer makes of some of its bytes. */
export type ReceiveDecision =
  | { kind: 'continue' }
  /** The caller does not keep up; `resume` is called when it does. */
  | { kind: 'pause' }
  | { kind: 'end', ending: AttemptEnding, detail: string }

/** Receives the answer of one attempt. */
export interface ResponseReceiver {
  /** Whether bytes have reached the caller in a way that another attempt cannot continue. */
  readonly responseCommitted: boolean
  /** Position of the last token delivered to the caller. */
  readonly position: number
  receiveHead (status: number, headers: UpstreamResponseHeaders): HeadDecision
  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision
  /** The upstream has ended its answer; returns whether it was whole. */
  receiveEnd (): { ending: AttemptEnding, detail: string }
}

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

  start (client: HttpClient, call: UpstreamRequest): void {
    client.dispatch({
      method: call.method as HttpClient.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      idempotent: false,
      headersTimeout: call.headersTimeoutMilliseconds,
      bodyTimeout: call.idleTimeoutMilliseconds
    }, this)
  }

  /** Gives the attempt up. One that was not offered yet never will be. */
  abandon (detail: string): void {
    this._end('abandoned', detail)
  }

  /** The library is about to write the call to a connected upstream: from here on it may run. */
  onRequestStart (controller: HttpClient.DispatchController): void {
    if (this._ended) {
      controller.abort(new Error('The attempt was given up.'))
      return
    }
    this._controller = controller
    this._dispatch = 'offered'
  }

  onResponseStart (_controller: HttpClient.DispatchController, status: number, headers: UpstreamResponseHeaders): void {
    if (this._ended || status < 200) return
    this._status = status
    const verdict = this._receiver.receiveHead(status, headers)
    if (verdict.kind === 'end') this._end(verdict.ending, verdict.detail)
  }

  onResponseData (controller: HttpClient.DispatchController, chunk: Buffer): void {
    if (this._ended) return
    const verdict = this._receiver.receiveBytes(chunk, () => controller.resume())
    if (verdict.kind === 'pause') controller.pause()
    else if (verdict.kind === 'end') this._end(verdict.ending, verdict.detail)
  }

  onResponseEnd (): void {
    if (this._ended) return
    const { ending, detail } = this._receiver.receiveEnd()
    this._end(ending, detail)
  }

  onResponseError (_controller: HttpClient.DispatchController, error: Error & { code?: string }): void {
    // The library reports the abort of an attempt that has ended here, too.
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
