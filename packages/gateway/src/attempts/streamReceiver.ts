/**
 * Receives the event stream of one attempt and appends it to the response of its request.
 *
 * @module
 */
import { ByteCollector } from '@plumstage/common'
import { EventScanner } from './eventScanner.js'
import type { StreamedResponse } from './streamedResponse.js'
import { CONTINUE_RECEIVING, PAUSE_RECEIVING } from './upstreamAttempt.js'
import type { UpstreamResponseHeaders, ResponseReceiver, ReceiveDecision, HeadDecision } from './upstreamAttempt.js'
import type { AttemptEnding } from './attemptOutcome.js'

const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500
const MAXIMUM_ERROR_BYTES = 64 * 1024

/** Consumer of the events as they arrive. */
export interface StreamDestination {
  /** Accepts complete events; returns false if the caller reads too slowly to accept more. */
  deliver (bytes: Buffer): boolean
  /** Calls back once when the caller accepts more bytes. */
  onceDrained (callback: () => void): void
  /** Accepts the complete response of an upstream that responded with an error status. */
  deliverError (status: number, contentType: string, body: Buffer): void
}

/** Options of one attempt's receiver. */
export interface StreamReceiverOptions {
  response: StreamedResponse
  destination: StreamDestination
  /** Whether the `id` field of each event holds its token position. */
  numbered: boolean
  /** The `id` of the completion, if known in advance. */
  responseId?: string
  /** Whether a response with a 5xx status is passed on to the caller instead of being retried. */
  serverErrorsAreFinal: boolean
  /** Statuses by which the upstream states that it has not executed the request. */
  notRunStatuses: readonly number[]
}

/** Receives a server-sent event stream, or the error response sent in its place. */
export class StreamReceiver implements ResponseReceiver {
  private readonly _options: StreamReceiverOptions
  private readonly _scanner: EventScanner
  private _errorStatus: number | undefined
  private _errorContentType = ''
  private readonly _errorBody = ByteCollector.create()

  private constructor (options: StreamReceiverOptions) {
    this._options = options
    this._scanner = EventScanner.create({ position: options.response.position, numbered: options.numbered, responseId: options.responseId })
  }

  static create (options: StreamReceiverOptions): StreamReceiver {
    return new StreamReceiver(options)
  }

  /** Once a token has arrived, only engines that number their tokens can continue the response. */
  get responseCommitted (): boolean {
    return !this._options.numbered && this._options.response.position > 0
  }

  get position (): number {
    return this._options.response.position
  }

  receiveHead (status: number, headers: UpstreamResponseHeaders): HeadDecision {
    const contentType = String(headers['content-type'] ?? '')
    if (status >= FIRST_ERROR_STATUS) return this._receiveErrorHead(status, contentType)
    if (!contentType.startsWith('text/event-stream')) return { kind: 'end', ending: 'invalid', detail: `the upstream responded with ${contentType || 'no content type'} instead of an event stream` }
    return { kind: 'accept' }
  }

  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision {
    if (this._errorStatus !== undefined) return this._receiveErrorBytes(chunk)
    const { bytes, problem } = this._scanner.scan(chunk)
    const accepted = this._deliver(bytes)
    if (problem !== undefined) return { kind: 'end', ending: 'invalid', detail: problem }
    if (this._options.response.byteLength > MAXIMUM_RESPONSE_BYTES) return { kind: 'end', ending: 'invalid', detail: 'the response is larger than 32 megabytes' }
    if (accepted) return CONTINUE_RECEIVING
    this._options.destination.onceDrained(resume)
    return PAUSE_RECEIVING
  }

  receiveEnd (): { ending: AttemptEnding, detail: string } {
    if (this._errorStatus !== undefined) {
      this._options.destination.deliverError(this._errorStatus, this._errorContentType, this._errorBody.concat())
      return { ending: 'complete', detail: `the upstream responded with status ${this._errorStatus}` }
    }
    if (this._scanner.done) return { ending: 'complete', detail: '' }
    return { ending: 'broken', detail: 'the upstream ended its response before the last event' }
  }

  private _deliver (bytes: readonly Buffer[]): boolean {
    let accepted = true
    for (const events of bytes) {
      this._options.response.append(events)
      accepted = this._options.destination.deliver(events) && accepted
    }
    this._options.response.position = this._scanner.position
    return accepted
  }

  private _receiveErrorHead (status: number, contentType: string): HeadDecision {
    const refused = this._options.notRunStatuses.includes(status)
    const final = !refused && (status < FIRST_SERVER_ERROR_STATUS || this._options.serverErrorsAreFinal)
    if (!final || this._options.response.position > 0) return { kind: 'end', ending: 'refused', detail: `the upstream responded with status ${status}` }
    this._errorStatus = status
    this._errorContentType = contentType
    return { kind: 'accept' }
  }

  private _receiveErrorBytes (chunk: Buffer): ReceiveDecision {
    this._errorBody.append(chunk)
    if (this._errorBody.length > MAXIMUM_ERROR_BYTES) return { kind: 'end', ending: 'invalid', detail: `the upstream responded with status ${this._errorStatus} and more than 64 kilobytes` }
    return CONTINUE_RECEIVING
  }
}
