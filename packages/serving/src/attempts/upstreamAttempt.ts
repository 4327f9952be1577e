/**
 * One attempt to execute a request at one upstream. Bytes that arrive after the attempt has ended are ignored.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { AttemptFailure } from './attemptPolicy.js'
import type { ResponseHeaders } from './upstreamProtocol.js'

const FIRST_FINAL_STATUS = 200
/** HTTP knows no statuses beyond this one. */
const LAST_STATUS = 599
/** Code of the HTTP client for a request that it can't write, for example for the characters of a header. */
const INVALID_REQUEST_CODE = 'UND_ERR_INVALID_ARG'

/** How to proceed after the receiver has processed part of a response. */
export type ReceiveDecision =
  | { kind: 'continue' }
  /** The caller can't keep up; the receiver resumes the attempt when it can. */
  | { kind: 'pause' }
  | { kind: 'fail', failure: AttemptFailure, detail: string }

export const CONTINUE: ReceiveDecision = { kind: 'continue' }
export const PAUSE: ReceiveDecision = { kind: 'pause' }

/** Receives the response of one attempt. */
export interface AttemptReceiver {
  receiveHead (status: number, headers: ResponseHeaders): ReceiveDecision
  receiveBytes (chunk: Buffer): ReceiveDecision
  /** Called when the upstream has ended its response without a connection error. */
  receiveEnd (): ReceiveDecision
  /** Called once, after a complete response or a failure. */
  onEnded (outcome: AttemptOutcome): void
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { kind: 'complete' }
  | { kind: 'failed', failure: AttemptFailure, detail: string, connectionLost: boolean, error?: Error }

/** The HTTP request that is sent to an upstream. */
export interface UpstreamRequest {
  method: string
  path: string
  /** Alternating names and values. */
  headers: string[]
  body: Buffer | undefined
}

/** A running or ended attempt. */
export class UpstreamAttempt implements HttpClient.DispatchHandler {
  private readonly _receiver: AttemptReceiver
  private _controller: HttpClient.DispatchController | undefined
  private _dispatched = false
  private _ended = false

  private constructor (receiver: AttemptReceiver) {
    this._receiver = receiver
  }

  static create (receiver: AttemptReceiver): UpstreamAttempt {
    return new UpstreamAttempt(receiver)
  }

  /** Whether the request was passed to a connected upstream, which may have executed it. */
  get dispatched (): boolean {
    return this._dispatched
  }

  start (client: HttpClient, request: UpstreamRequest): void {
    client.dispatch({
      method: request.method as HttpClient.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body,
      idempotent: false
    }, this)
  }

  /** Abandons the attempt and closes its connection. An attempt that was not dispatched yet never will be. */
  abandon (): void {
    this._ended = true
    this._controller?.abort(new Error('The attempt was abandoned.'))
  }

  resume (): void {
    this._controller?.resume()
  }

  onRequestStart (controller: HttpClient.DispatchController): void {
    if (this._ended) return controller.abort(new Error('The attempt was abandoned.'))
    this._controller = controller
    this._dispatched = true
  }

  onResponseStart (_controller: HttpClient.DispatchController, status: number, headers: ResponseHeaders): void {
    if (this._ended || status < FIRST_FINAL_STATUS) return
    if (status > LAST_STATUS) return this._applyDecision({ kind: 'fail', failure: 'broken', detail: `the response has the status ${status}, which HTTP does not know` })
    this._applyDecision(this._receiver.receiveHead(status, headers))
  }

  onResponseData (_controller: HttpClient.DispatchController, chunk: Buffer): void {
    if (!this._ended) this._applyDecision(this._receiver.receiveBytes(chunk))
  }

  onResponseEnd (): void {
    if (this._ended) return
    this._applyDecision(this._receiver.receiveEnd())
    if (!this._ended) this._end({ kind: 'complete' })
  }

  onResponseError (_controller: HttpClient.DispatchController, error: Error): void {
    // undici also reports the abort of an attempt that has already ended.
    if (this._ended) return
    this._end({ kind: 'failed', failure: this._failureOf(error), detail: error.message, connectionLost: this._dispatched, error })
  }

  private _failureOf (error: Error): AttemptFailure {
    if (this._dispatched) return 'broken'
    return (error as NodeJS.ErrnoException).code === INVALID_REQUEST_CODE ? 'unsendable' : 'unreachable'
  }

  private _applyDecision (decision: ReceiveDecision): void {
    if (decision.kind === 'pause') this._controller?.pause()
    if (decision.kind !== 'fail') return
    this._ended = true
    // A valid response is read to its end even if it is not used, so that its connection can be reused.
    if (decision.failure === 'broken' || decision.failure === 'other-instance') this._controller?.abort(new Error(decision.detail))
    this._end({ kind: 'failed', failure: decision.failure, detail: decision.detail, connectionLost: false })
  }

  private _end (outcome: AttemptOutcome): void {
    this._ended = true
    this._receiver.onEnded(outcome)
  }
}
