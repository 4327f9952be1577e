/**
 * Receives the event stream of one attempt and adds it to the answer of its request.
 *
 * @module
 */
import { EventScanner } from './eventScanner.js'
import type { StreamedResponse } from './streamedResponse.js'
import { CONTINUE_RECEIVING, PAUSE_RECEIVING } from './upstreamAttempt.js'
import type { UpstreamResponseHeaders, ResponseReceiver, ReceiveDecision, HeadDecision } from './upstreamAttempt.js'
import type { AttemptEnding } from './attemptOutcome.js'

const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500
const MAXIMUM_ERROR_BYTES = 64 * 1024

/** Where the events of an answer go as they arrive. */
export interface StreamDestination {
  /** Takes whole events; false when the caller does not keep up. */
  deliver (bytes: Buffer): boolean
  /** Calls back once when the caller keeps up again. */
  onceDrained (callback: () => void): void
  /** Takes the whole answer of an upstream that answered with an error status. */
  deliverError (status: number, contentType: string, body: Buffer): void
}

/** What a stream receiver has to know about its attempt. */
export interface StreamReceiverOptions {
  response: StreamedResponse
  destination: StreamDestination
  numbered: boolean
  responseId?: string
  /** Whether an answer with a server error status is passed on to the caller. */
  serverErrorsAreFinal: boolean
  notRunStatuses: readonly number[]
}

/** Receives a server-sent event stream. */
export class StreamReceiver implements ResponseReceiver {
  private readonly _options: StreamReceiverOptions
  private readonly _scanner: EventScanner
  private _errorStatus: number | undefined
  private _errorContentType = ''
  private _errorBody: Buffer[] = []

  private constructor (options: StreamReceiverOptions) {
    this._options = options
    this._scanner = EventScanner.create({ position: options.response.position, numbered: options.numbered, responseId: options.responseId })
  }

  static create (options: StreamReceiverOptions): StreamReceiver {
    return new StreamReceiver(options)
  }

  /** Only an engine that numbers its tokens can continue an answer. */
  get responseCommitted (): boolean {
    return !this._options.numbered && this._options.response.position > 0
  }

  get position (): number {
    return this._options.response.position
  }

  receiveHead (status: number, headers: UpstreamResponseHeaders): HeadDecision {
    const contentType = String(headers['content-type'] ?? '')
    if (status >= FIRST_ERROR_STATUS) return this._receiveErrorHead(status, contentType)
    if (!contentType.startsWith('text/event-stream')) return { kind: 'end', ending: 'invalid', detail: `the upstream answered with ${contentType || 'no content type'} instead of an event stream` }
    return { kind: 'accept' }
  }

  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision {
    if (this._errorStatus !== undefined) return this._receiveErrorBytes(chunk)
    const { bytes, problem } = this._scanner.scan(chunk)
    const keepsUp = this._deliver(bytes)
    if (problem !== undefined) return { kind: 'end', ending: 'invalid', detail: problem }
    if (this._options.response.byteLength > MAXIMUM_RESPONSE_BYTES) return { kind: 'end', ending: 'invalid', detail: 'the answer is larger than 32 megabytes' }
    if (keepsUp) return CONTINUE_RECEIVING
    this._options.destination.onceDrained(resume)
    return PAUSE_RECEIVING
  }

  receiveEnd (): { ending: AttemptEnding, detail: string } {
    if (this._errorStatus !== undefined) {
      this._options.destination.deliverError(this._errorStatus, this._errorContentType, Buffer.concat(this._errorBody))
      return { ending: 'complete', detail: `the upstream answered with status ${this._errorStatus}` }
    }
    if (this._scanner.done) return { ending: 'complete', detail: '' }
    return { ending: 'broken', detail: 'the upstream ended its answer before the last event' }
  }

  private _deliver (bytes: readonly Buffer[]): boolean {
    let keepsUp = true
    for (const part of bytes) {
      this._options.response.append(part)
      keepsUp = this._options.destination.deliver(part) && keepsUp
    }
    this._options.response.position = this._scanner.position
    return keepsUp
  }

  private _receiveErrorHead (status: number, contentType: string): HeadDecision {
    const refused = this._options.notRunStatuses.includes(status)
    const final = !refused && (status < FIRST_SERVER_ERROR_STATUS || this._options.serverErrorsAreFinal)
    if (!final || this._options.response.position > 0) return { kind: 'end', ending: 'refused', detail: `the upstream answered with status ${status}` }
    this._errorStatus = status
    this._errorContentType = contentType
    return { kind: 'accept' }
  }

  private _receiveErrorBytes (chunk: Buffer): ReceiveDecision {
    this._errorBody.push(chunk)
    const length = this._errorBody.reduce((sum, part) => sum + part.length, 0)
    if (length > MAXIMUM_ERROR_BYTES) return { kind: 'end', ending: 'invalid', detail: `the upstream answered with status ${this._errorStatus} and more than 64 kilobytes` }
    return CONTINUE_RECEIVING
  }
}
