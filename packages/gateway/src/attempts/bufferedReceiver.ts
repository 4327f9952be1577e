/**
 * Receives a response that is not an event stream. Small responses are buffered until they are complete, so that a
 * broken one can be retried; larger ones are passed through as they arrive.
 *
 * @module
 */
import { ByteCollector } from '@plumstage/common'
import type { AttemptEnding } from './attemptOutcome.js'
import { CONTINUE_RECEIVING, PAUSE_RECEIVING } from './upstreamAttempt.js'
import type { UpstreamResponseHeaders, ResponseReceiver, ReceiveDecision, HeadDecision } from './upstreamAttempt.js'

const MAXIMUM_BUFFERED_BYTES = 256 * 1024
const FIRST_SERVER_ERROR_STATUS = 500

/** A completely received response. */
export interface BufferedResponse {
  status: number
  headers: UpstreamResponseHeaders
  body: Buffer
}

/** Consumer of the response. */
export interface BufferedDestination {
  /** Accepts a complete response. */
  deliverBuffered (response: BufferedResponse): void
  /** Starts a response that exceeds the buffer limit; its bytes follow by `deliver`. */
  startPassThrough (status: number, headers: UpstreamResponseHeaders): void
  /** Accepts bytes of a started response; returns false if the caller reads too slowly to accept more. */
  deliver (bytes: Buffer): boolean
  /** Calls back once when the caller accepts more bytes. */
  onceDrained (callback: () => void): void
  /** Returns what is wrong with a complete response; undefined if it is a valid response to this request. */
  validate (response: BufferedResponse): string | undefined
}

/** Options of one attempt's receiver. */
export interface BufferedReceiverOptions {
  destination: BufferedDestination
  /** Whether a response with a 5xx status is passed on to the caller instead of being retried. */
  serverErrorsAreFinal: boolean
  /** Statuses by which the upstream states that it has not executed the request. */
  notRunStatuses: readonly number[]
}

/** Buffers a response up to `MAXIMUM_BUFFERED_BYTES`, then passes it through. */
export class BufferedReceiver implements ResponseReceiver {
  readonly position = 0
  private readonly _options: BufferedReceiverOptions
  private _status = 0
  private _headers: UpstreamResponseHeaders = {}
  private _buffered = ByteCollector.create()
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
    if (refused || retried) return { kind: 'end', ending: 'refused', detail: `the upstream responded with status ${status}` }
    this._status = status
    this._headers = headers
    return { kind: 'accept' }
  }

  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision {
    if (!this._passThroughStarted && this._buffered.length + chunk.length <= MAXIMUM_BUFFERED_BYTES) {
      this._buffered.append(chunk)
      return CONTINUE_RECEIVING
    }
    if (!this._passThroughStarted) this._startPassThrough()
    if (this._options.destination.deliver(chunk)) return CONTINUE_RECEIVING
    this._options.destination.onceDrained(resume)
    return PAUSE_RECEIVING
  }

  receiveEnd (): { ending: AttemptEnding, detail: string } {
    if (this._passThroughStarted) return { ending: 'complete', detail: '' }
    const response = { status: this._status, headers: this._headers, body: this._buffered.concat() }
    const problem = this._options.destination.validate(response)
    if (problem !== undefined) return { ending: 'invalid', detail: problem }
    this._options.destination.deliverBuffered(response)
    return { ending: 'complete', detail: '' }
  }

  private _startPassThrough (): void {
    this._passThroughStarted = true
    this._options.destination.startPassThrough(this._status, this._headers)
    if (this._buffered.length > 0) this._options.destination.deliver(this._buffered.concat())
    this._buffered = ByteCollector.create()
  }
}
