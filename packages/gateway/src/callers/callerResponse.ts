/**
 * The response to one caller.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Outcome } from '../attempts/attemptOutcome.js'
import { CallerError, formatCallerError } from './callerError.js'

export const REQUEST_ID_HEADER = 'x-request-id'
export const OUTCOME_HEADER = 'plumstage-outcome'

const EVENT_STREAM_TYPE = 'text/event-stream'
const JSON_TYPE = 'application/json'

const MAXIMUM_JOINED_BYTES = 16 * 1024
const HEXADECIMAL_RADIX = 16
const LINE_END = '\r\n'

/** Headers of a response. */
export type ResponseHeaders = Record<string, string | string[]>

/** The response to one caller: a whole answer, a stream, or an error, and never more than one of them. */
export interface CallerResponse {
  readonly requestId: string
  /** Whether any part of the response was written. */
  readonly started: boolean
  /** Calls back once when the caller's connection ends before the response does. */
  onCallerDisconnected (callback: () => void): void
  /** Calls back once when the caller has read enough to be sent more. */
  onceDrained (callback: () => void): void
  /** Starts a stream of events. Its outcome follows as a trailer. */
  startEventStream (): void
  /** Starts an answer whose length is not known to the gateway. Its outcome follows as a trailer. */
  startByteStream (status: number, headers: ResponseHeaders): void
  /** Writes bytes of a started stream; false when the caller does not keep up. */
  write (bytes: Buffer): boolean
  /** Ends a started stream. */
  endStream (outcome: Outcome): void
  /** Sends a whole answer. */
  sendComplete (status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome): void
  /** Sends an error: as a response, or as the last event of a stream that has started. */
  sendError (error: CallerError): void
  /** Tells the caller that its request goes on, and that it is picked up at `location`. */
  sendRedirect (location: string): void
  /** Cuts the connection: the only way to say that a started answer is not whole. */
  abort (): void
}

/** Writes the response to a caller of the HTTP interface. */
export class HttpCallerResponse implements CallerResponse {
  readonly requestId: string
  private readonly _response: ServerResponse
  private _streamKind: 'none' | 'events' | 'bytes' = 'none'

  private constructor (requestId: string, response: ServerResponse) {
    this.requestId = requestId
    this._response = response
  }

  static create (requestId: string, response: ServerResponse): HttpCallerResponse {
    return new HttpCallerResponse(requestId, response)
  }

  get started (): boolean {
    return this._response.headersSent
  }

  onCallerDisconnected (callback: () => void): void {
    this._response.once('close', () => { if (!this._response.writableFinished) callback() })
  }

  onceDrained (callback: () => void): void {
    this._response.socket?.once('drain', callback)
  }

  startEventStream (): void {
    this._streamKind = 'events'
    this._response.writeHead(200, { 'content-type': EVENT_STREAM_TYPE, 'cache-control': 'no-store', [REQUEST_ID_HEADER]: this.requestId, trailer: OUTCOME_HEADER })
    this._response.flushHeaders()
  }

  startByteStream (status: number, headers: ResponseHeaders): void {
    this._streamKind = 'bytes'
    const { 'content-length': _length, ...others } = headers
    this._response.writeHead(status, { ...others, [REQUEST_ID_HEADER]: this.requestId, trailer: OUTCOME_HEADER })
    this._response.flushHeaders()
  }

  /**
   * The bytes go straight to the socket: Node's own writing of chunks costs four buffers and a vectored write for each
   * token.
   */
  write (bytes: Buffer): boolean {
    const socket = this._response.socket
    // A pipelined response has no socket before its turn; Node keeps its bytes until then.
    if (!socket) return this._response.write(bytes)
    return socket.write(frameChunk(bytes))
  }

  endStream (outcome: Outcome): void {
    this._response.addTrailers({ [OUTCOME_HEADER]: outcome })
    this._response.end()
  }

  sendComplete (status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome): void {
    headers['content-length'] = String(typeof body === 'string' ? Buffer.byteLength(body) : body.length)
    headers[REQUEST_ID_HEADER] = this.requestId
    headers[OUTCOME_HEADER] = outcome
    this._response.writeHead(status, headers)
    // Node joins head and body to one write only where both are strings; latin1 keeps every byte as it is.
    if (typeof body === 'string' || body.length > MAXIMUM_JOINED_BYTES) this._response.end(body)
    else this._response.end(body.toString('latin1'), 'latin1')
  }

  sendError (error: CallerError): void {
    const body = formatCallerError(error, this.requestId)
    if (!this.started) {
      const headers: ResponseHeaders = { 'content-type': JSON_TYPE, ...(error.retryAfterSeconds === undefined ? {} : { 'retry-after': String(error.retryAfterSeconds) }) }
      this.sendComplete(error.status, headers, body, error.outcome)
      return
    }
    if (this._streamKind !== 'events') return this.abort()
    this.write(Buffer.from(`data: ${body}\n\n`))
    this.endStream(error.outcome)
  }

  sendRedirect (location: string): void {
    if (!this.started) {
      this._response.writeHead(303, { location, [REQUEST_ID_HEADER]: this.requestId, 'content-length': '0', connection: 'close' })
      this._response.end()
      return
    }
    const error = CallerError.create('request_moved', `This gateway is being taken away and another goes on with the request. GET ${location} with the header Last-Event-ID continues the answer.`, { outcome: 'unknown' })
    this.sendError(error)
  }

  abort (): void {
    this._response.destroy()
  }
}

/** Frames bytes as one chunk of a chunked body, so that they go out in one write instead of four. */
function frameChunk (bytes: Buffer): Buffer {
  const head = bytes.length.toString(HEXADECIMAL_RADIX) + LINE_END
  const frame = Buffer.allocUnsafe(head.length + bytes.length + LINE_END.length)
  frame.write(head, 0, 'latin1')
  bytes.copy(frame, head.length)
  frame.write(LINE_END, head.length + bytes.length, 'latin1')
  return frame
}
