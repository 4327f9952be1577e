/**
 * Receives an answer that is not an event stream. Small answers are held until they are whole, so that a broken one
 * can be fetched again; larger ones are passed on as they arrive.
 *
 * @module
 */
import type { AttemptEnding } from './attemptOutcome.js'
import { CONTINUE_RECEIVING, PAUSE_RECEIVING } from './upstreamAttempt.js'
import type { UpstreamResponseHeaders, ResponseReceiver, ReceiveDecision, HeadDecision } from './upstreamAttempt.js'

const MAXIMUM_BUFFERED_BYTES = 256 * 1024
const FIRST_SERVER_ERROR_STATUS = 500

/** A whole answer. */
export interface BufferedResponse {
  status: number
  headers: UpstreamResponseHeaders
  body: Buffer
}

/** Where the answer goes. */
export interface BufferedDestination {
  /** Takes a whole answer. */
  deliverBuffered (answer: BufferedResponse): void
  /** Starts an answer that is too large to be held. */
  startPassThrough (status: number, headers: UpstreamResponseHeaders): void
  /** Takes bytes of a started answer; false when the caller does not keep up. */
  deliver (bytes: Buffer): boolean
  onceDrained (callback: () => void): void
  /** Returns what is wrong with a whole answer; undefined when it is this request's. */
  validate (answer: BufferedResponse): string | undefined
}

/** What the receiver has to know about its attempt. */
export interface BufferedReceiverOptions {
  destination: BufferedDestination
  serverErrorsAreFinal: boolean
  notRunStatuses: readonly number[]
}

/** Receives one answer as a whole. */
export class BufferedReceiver implements ResponseReceiver {
  readonly position = 0
  private readonly _options: BufferedReceiverOptions
  private _status = 0
  private _headers: UpstreamResponseHeaders = {}
  private _buffered: Buffer[] = []
  private _bufferedBytes = 0
  private _passThroughStarted = false

  private constructor (options: BufferedReceiverOptions) {
    this._options = options
  }

  static create (options: BufferedReceiverOptions): BufferedReceiver {
    return new BufferedReceiver(options)
  }

  get responseCommitted (): boolean {
    return this._passThroughStarted
  }

  receiveHead (status: number, headers: UpstreamResponseHeaders): HeadDecision {
    const refused = this._options.notRunStatuses.includes(status)
    const retried = status >= FIRST_SERVER_ERROR_STATUS && !this._options.serverErrorsAreFinal
    if (refused || retried) return { kind: 'end', ending: 'refused', detail: `the upstream answered with status ${status}` }
    this._status = status
    this._headers = headers
    return { kind: 'accept' }
  }

  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision {
    if (!this._passThroughStarted && this._bufferedBytes + chunk.length <= MAXIMUM_BUFFERED_BYTES) {
      this._buffered.push(chunk)
      this._bufferedBytes += chunk.length
      return CONTINUE_RECEIVING
    }
    if (!this._passThroughStarted) this._startPassThrough()
    if (this._options.destination.deliver(chunk)) return CONTINUE_RECEIVING
    this._options.destination.onceDrained(resume)
    return PAUSE_RECEIVING
  }

  receiveEnd (): { ending: AttemptEnding, detail: string } {
    if (this._passThroughStarted) return { ending: 'complete', detail: '' }
    const answer = { status: this._status, headers: this._headers, body: Buffer.concat(this._buffered) }
    const problem = this._options.destination.validate(answer)
    if (problem !== undefined) return { ending: 'invalid', detail: problem }
    this._options.destination.deliverBuffered(answer)
    return { ending: 'complete', detail: '' }
  }

  private _startPassThrough (): void {
    this._passThroughStarted = true
    this._options.destination.startPassThrough(this._status, this._headers)
    for (const bytes of this._buffered) this._options.destination.deliver(bytes)
    this._buffered = []
  }
}
