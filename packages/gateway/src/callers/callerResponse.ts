/**
 * Writes the HTTP response to one caller.
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

/** The response to one caller: a complete response, a stream or an error. Only one of them may be started. */
export interface CallerResponse {
  readonly requestId: string
  /** Whether any part of the response has been written. */
  readonly started: boolean
  /** Calls `callback` once if the caller's connection closes before the response is finished. */
  onCallerDisconnected (callback: () => void): void
  /** Calls `callback` once when the caller has read enough that more can be written. */
  onceDrained (callback: () => void): void
  /** Starts a stream of server-sent events. Its outcome is sent as a trailer. */
  startEventStream (): void
  /** Starts a response of unknown length. Its outcome is sent as a trailer. */
  startByteStream (status: number, headers: ResponseHeaders): void
  /** Writes bytes to a started stream; returns false when the caller reads too slowly (backpressure). */
  write (bytes: Buffer): boolean
  /** Ends a started stream. */
  endStream (outcome: Outcome): void
  /** Sends a complete response. */
  sendComplete (status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome): void
  /** Sends an error: as a response, or as the last event of a started event stream. A started byte stream is aborted. */
  sendError (error: CallerError): void
  /** Tells the caller that another gateway continues its request and that the response is available at `location`. */
  sendRedirect (location: string): void
  /** Closes the connection at once: the only way to signal that a started response is incomplete. */
  abort (): void
}

/** Writes the response to a caller over HTTP. */
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
    const { 'content-length': _length, ...remaining } = headers
    this._response.writeHead(status, { ...remaining, [REQUEST_ID_HEADER]: this.requestId, trailer: OUTCOME_HEADER })
    this._response.flushHeaders()
  }

  /**
   * Writes directly to the socket, because Node's own chunk encoding costs four buffers and a vectored write for each
   * token.
   */
  write (bytes: Buffer): boolean {
    const socket = this._response.socket
    // A pipelined response has no socket until the responses before it are finished; Node buffers its bytes until then.
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
    // Node joins head and body into one write only if both are strings; latin1 preserves every byte.
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
    const error = CallerError.create('request_moved', `The instance of this gateway is being reclaimed and another gateway continues the request. Send GET ${location} with the header Last-Event-ID to receive the rest of the response.`, { outcome: 'unknown' })
    this.sendError(error)
  }

  abort (): void {
    this._response.destroy()
  }
}

/** Encodes bytes as one chunk of a chunked body, so that they are sent in one write instead of four. */
function frameChunk (bytes: Buffer): Buffer {
  const head = bytes.length.toString(HEXADECIMAL_RADIX) + LINE_END
  const frame = Buffer.allocUnsafe(head.length + bytes.length + LINE_END.length)
  frame.write(head, 0, 'latin1')
  bytes.copy(frame, head.length)
  frame.write(LINE_END, head.length + bytes.length, 'latin1')
  return frame
}
