/**
 * Records what a simulated caller sent and received.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { formatCallerError } from '@plumstage/gateway'
import type { CallerError, CallerResponse, Outcome } from '@plumstage/gateway'

/** Kinds of requests: chat completions with a streamed or buffered (`whole`) response, and plain reads and writes. */
export type RequestKind = 'stream' | 'whole' | 'read' | 'write'

/** One request of a simulated caller and its response. */
export interface RequestRecord {
  /** Label of the scenario step that sent the request. */
  label: string
  kind: RequestKind
  gateway: string
  /** Text of the chat message, or body of the plain request. */
  content: string
  /** Requested number of tokens, for chat completions. */
  tokens: number
  idempotencyKey?: string
  requestId: string
  sentAt: Timestamp
  endedAt?: Timestamp
  status?: number
  text: string
  /** Outcome that the caller received; undefined if its connection was lost. */
  outcome?: Outcome
  errorCode?: string
  retryAfterSeconds?: number
  /** Whether the caller was told that its request continues on another gateway. */
  migrated?: boolean
  /** Whether the gateway accepted the request. */
  accepted: boolean
}

/** The response side of a simulated connection; writes what the caller receives to a record. */
export class RecordedResponse implements CallerResponse {
  readonly requestId: string
  started = false
  private _ended = false
  private readonly _record: RequestRecord
  private readonly _now: () => Timestamp

  private constructor (record: RequestRecord, now: () => Timestamp) {
    this.requestId = record.requestId
    this._record = record
    this._now = now
  }

  static create (record: RequestRecord, now: () => Timestamp): RecordedResponse {
    return new RecordedResponse(record, now)
  }

  onCallerDisconnected (): void {}

  onceDrained (callback: () => void): void {
    callback()
  }

  startEventStream (): void {
    this._start(200)
  }

  startByteStream (status: number): void {
    this._start(status)
  }

  write (bytes: Buffer): boolean {
    this._record.text += bytes.toString()
    return true
  }

  endStream (outcome: Outcome): void {
    this._end(outcome)
  }

  sendComplete (status: number, _headers: object, body: Buffer | string, outcome: Outcome): void {
    this._start(status)
    this._record.text = body.toString()
    this._end(outcome)
  }

  sendError (error: CallerError): void {
    this._record.errorCode = error.callerCode
    this._record.retryAfterSeconds = error.retryAfterSeconds
    if (!this.started) return this.sendComplete(error.status, {}, formatCallerError(error, this.requestId), error.outcome)
    this._end(error.outcome)
  }

  sendRedirect (): void {
    this._record.migrated = true
  }

  abort (): void {
    this._record.endedAt = this._now()
  }

  private _start (status: number): void {
    if (this.started || this._ended) throw new Error(`the response to ${this.requestId} was started twice`)
    this.started = true
    this._record.status = status
  }

  private _end (outcome: Outcome): void {
    if (this._ended) throw new Error(`the response to ${this.requestId} was ended twice`)
    this._ended = true
    this._record.endedAt = this._now()
    this._record.outcome = outcome
  }
}
