/**
 * One try of a request on one upstream. Bytes that arrive after it has ended go nowhere.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { AttemptFailure } from './attemptPolicy.js'
import type { ResponseHeaders } from './upstreamProtocol.js'

const FIRST_FINAL_STATUS = 200

/** What the receiver of an answer makes of a part of it. */
export type ReceiveDecision =
  | { kind: 'continue' }
  /** The caller does not keep up; the receiver resumes the attempt when it does. */
  | { kind: 'pause' }
  | { kind: 'fail', failure: AttemptFailure, detail: string }

export const CONTINUE: ReceiveDecision = { kind: 'continue' }
export const PAUSE: ReceiveDecision = { kind: 'pause' }

/** Receives the answer of one attempt. */
export interface AttemptReceiver {
  receiveHead (status: number, headers: ResponseHeaders): ReceiveDecision
  receiveBytes (chunk: Buffer): ReceiveDecision
  /** The upstream has ended its answer in good order. */
  receiveEnd (): ReceiveDecision
  /** Called once, after an answer that was received whole or a failure. */
  onEnded (outcome: AttemptOutcome): void
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { kind: 'complete' }
  | { kind: 'failed', failure: AttemptFailure, detail: string, connectionLost: boolean }

/** The call that is sent. */
export interface UpstreamRequest {
  method: string
  path: string
  /** Names and values in turn. */
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

  /** Whether the request was handed to a connected upstream, which may have run it. */
  get dispatched (): boolean {
    return this._dispatched
  }

  start (client: HttpClient, call: UpstreamRequest): void {
    client.dispatch({
      method: call.method as HttpClient.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      idempotent: false
    }, this)
  }

  /** Gives the attempt up and closes its connection. One that was not offered yet never will be. */
  abandon (): void {
    this._ended = true
    this._controller?.abort(new Error('The attempt was given up.'))
  }

  resume (): void {
    this._controller?.resume()
  }

  onRequestStart (controller: HttpClient.DispatchController): void {
    if (this._ended) return controller.abort(new Error('The attempt was given up.'))
    this._controller = controller
    this._dispatched = true
  }

  onResponseStart (_controller: HttpClient.DispatchController, status: number, headers: ResponseHeaders): void {
    if (this._ended || status < FIRST_FINAL_STATUS) return
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
    // The library reports the abort of an attempt that has ended here, too.
    if (this._ended) return
    const failure = this._dispatched ? 'broken' : 'unreachable'
    this._end({ kind: 'failed', failure, detail: error.message, connectionLost: this._dispatched })
  }

  private _applyDecision (verdict: ReceiveDecision): void {
    if (verdict.kind === 'pause') this._controller?.pause()
    if (verdict.kind !== 'fail') return
    this._ended = true
    // An answer in good order is read to its end, so that its connection can be used again.
    if (verdict.failure === 'broken') this._controller?.abort(new Error(verdict.detail))
    this._end({ kind: 'failed', failure: verdict.failure, detail: verdict.detail, connectionLost: false })
  }

  private _end (outcome: AttemptOutcome): void {
    this._ended = true
    this._receiver.onEnded(outcome)
  }
}
