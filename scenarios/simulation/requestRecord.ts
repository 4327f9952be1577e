/**
 * What a simulated caller sent and saw.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { formatCallerError } from '@plumstage/gateway'
import type { CallerError, CallerResponse, Outcome } from '@plumstage/gateway'

/** Kinds of calls that scenarios send. */
export type RequestKind = 'stream' | 'whole' | 'read' | 'write'

/** One call of a caller. */
export interface RequestRecord {
  /** Name of the group of calls in the scenario. */
  label: string
  kind: RequestKind
  gateway: string
  /** The text of the chat, or the body of the plain call. */
  content: string
  /** Length of the answer, for chats. */
  tokens: number
  idempotencyKey?: string
  requestId: string
  sentAt: Timestamp
  endedAt?: Timestamp
  status?: number
  text: string
  /** What the caller was told; undefined when its connection was cut. */
  outcome?: Outcome
  errorCode?: string
  retryAfterSeconds?: number
  /** Whether the caller was told that its request goes on elsewhere. */
  migrated?: boolean
  /** Whether the gateway accepted the call as a request. */
  accepted: boolean
}

/** Collects the response to one simulated caller. */
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
