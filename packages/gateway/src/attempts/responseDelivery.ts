/**
 * Delivers the response of one request to its caller, across all of its attempts.
 *
 * @module
 */
import type { CallerResponse } from '../callers/callerResponse.js'
import { selectResponseHeaders } from '../callers/headerPolicy.js'
import type { StoredResponse } from '../claims/claimRecord.js'
import { validateCompletion } from './requestChecks.js'
import type { InboundRequest } from './inboundRequest.js'
import type { StreamDestination } from './streamReceiver.js'
import type { StreamedResponse } from './streamedResponse.js'
import type { UpstreamResponseHeaders } from './upstreamAttempt.js'
import type { BufferedResponse, BufferedDestination } from './bufferedReceiver.js'

const JSON_TYPE = 'application/json'
const EVENT_STREAM_TYPE = 'text/event-stream'
const FIRST_ERROR_STATUS = 400

/** Forwards streamed events at once; assembles or buffers the response if the caller did not ask for a stream. */
export class ResponseDelivery implements StreamDestination, BufferedDestination {
  private readonly _request: InboundRequest
  private readonly _callerResponse: CallerResponse
  private readonly _streamedResponse: StreamedResponse
  private readonly _onFirstBytes: () => void
  private _bufferedResponse: BufferedResponse | undefined
  private _firstBytesReceived = false
  /** Whether the response was passed through unbuffered because it exceeds the buffer limit. */
  private _passedThrough = false

  private constructor (request: InboundRequest, callerResponse: CallerResponse, streamedResponse: StreamedResponse, onFirstBytes: () => void) {
    this._request = request
    this._callerResponse = callerResponse
    this._streamedResponse = streamedResponse
    this._onFirstBytes = onFirstBytes
  }

  /** `onFirstBytes` is called once, when the first bytes arrive. */
  static create (request: InboundRequest, callerResponse: CallerResponse, streamedResponse: StreamedResponse, onFirstBytes: () => void): ResponseDelivery {
    return new ResponseDelivery(request, callerResponse, streamedResponse, onFirstBytes)
  }

  /** The `id` that the completion must have; undefined if the engines do not derive it from the request id. */
  get expectedResponseId (): string | undefined {
    if (!this._request.completion || !this._request.service.abilities.echoesRequestId) return undefined
    return `${this._request.completion.endpoint === 'chat' ? 'chatcmpl' : 'cmpl'}-${this._request.requestId}`
  }

  /** Whether the engine has sent a finish reason. The `[DONE]` event may still be missing. */
  get isResponseComplete (): boolean {
    return this._streamedResponse.position > 0 && this._request.service.abilities.resume && this._streamedResponse.readText().finishReason !== undefined
  }

  /** The response as stored with a claim; undefined if it was too large to be buffered. */
  get responseForClaim (): StoredResponse | undefined {
    if (this._passedThrough) return undefined
    if (this._bufferedResponse) return { status: this._bufferedResponse.status, contentType: String(this._bufferedResponse.headers['content-type'] ?? ''), body: this._bufferedResponse.body }
    if (this._request.completion?.stream === false) return { status: 200, contentType: JSON_TYPE, body: Buffer.from(this._streamedResponse.assemble(this._request.completion.endpoint)) }
    return { status: 200, contentType: EVENT_STREAM_TYPE, body: Buffer.from(this._streamedResponse.readEvents()) }
  }

  deliver (bytes: Buffer): boolean {
    if (!this._firstBytesReceived) {
      this._firstBytesReceived = true
      this._onFirstBytes()
    }
    if (this._request.completion && !this._request.completion.stream) return true
    if (!this._callerResponse.started) this._callerResponse.startEventStream()
    return this._callerResponse.write(bytes)
  }

  onceDrained (callback: () => void): void {
    this._callerResponse.onceDrained(callback)
  }

  deliverError (status: number, contentType: string, body: Buffer): void {
    this._bufferedResponse = { status, headers: { 'content-type': contentType }, body }
  }

  deliverBuffered (response: BufferedResponse): void {
    this._bufferedResponse = response
  }

  startPassThrough (status: number, headers: UpstreamResponseHeaders): void {
    this._passedThrough = true
    this._callerResponse.startByteStream(status, selectResponseHeaders(headers))
  }

  validate (response: BufferedResponse): string | undefined {
    if (!this._request.completion || response.status >= FIRST_ERROR_STATUS) return undefined
    return validateCompletion(response.body, this.expectedResponseId)
  }

  /** Delivers the `[DONE]` event in place of an upstream that was lost before it sent it. */
  appendDoneEvent (): void {
    const end = this._streamedResponse.appendDoneEvent()
    if (end) this.deliver(end)
  }

  /** Completes the response to the caller. */
  finish (): void {
    if (this._bufferedResponse) return this._callerResponse.sendComplete(this._bufferedResponse.status, selectResponseHeaders(this._bufferedResponse.headers), this._bufferedResponse.body, 'complete')
    if (this._request.completion?.stream === false) return this._callerResponse.sendComplete(200, { 'content-type': JSON_TYPE }, this._streamedResponse.assemble(this._request.completion.endpoint), 'complete')
    this._callerResponse.endStream('complete')
  }
}
