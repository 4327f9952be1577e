/**
 * Brings the answer of one request to its caller, whichever attempts it comes from.
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

/** The answer of one request on its way to the caller. */
export class ResponseDelivery implements StreamDestination, BufferedDestination {
  private readonly _request: InboundRequest
  private readonly _callerResponse: CallerResponse
  private readonly _streamedResponse: StreamedResponse
  private readonly _onFirstBytes: () => void
  private _bufferedResponse: BufferedResponse | undefined
  private _firstBytesReceived = false
  /** Whether the answer went to the caller as it came, because it is large. */
  private _passedThrough = false

  private constructor (call: InboundRequest, response: CallerResponse, answer: StreamedResponse, onFirstBytes: () => void) {
    this._request = call
    this._callerResponse = response
    this._streamedResponse = answer
    this._onFirstBytes = onFirstBytes
  }

  /** `onFirstBytes` is called once, when the first events arrive. */
  static create (call: InboundRequest, response: CallerResponse, answer: StreamedResponse, onFirstBytes: () => void): ResponseDelivery {
    return new ResponseDelivery(call, response, answer, onFirstBytes)
  }

  /** The name that the answer must have; undefined where engines do not take it from the request. */
  get expectedResponseId (): string | undefined {
    if (!this._request.completion || !this._request.service.abilities.echoesRequestId) return undefined
    return `${this._request.completion.endpoint === 'chat' ? 'chatcmpl' : 'cmpl'}-${this._request.requestId}`
  }

  /** Whether the engine has ended the answer, although its end marker may be missing. */
  get isResponseComplete (): boolean {
    return this._streamedResponse.position > 0 && this._request.service.abilities.resume && this._streamedResponse.readText().finishReason !== undefined
  }

  /** The answer in the form in which it is kept with a claim; undefined when it was too large to be held. */
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

  deliverBuffered (answer: BufferedResponse): void {
    this._bufferedResponse = answer
  }

  startPassThrough (status: number, headers: UpstreamResponseHeaders): void {
    this._passedThrough = true
    this._callerResponse.startByteStream(status, selectResponseHeaders(headers))
  }

  validate (answer: BufferedResponse): string | undefined {
    if (!this._request.completion || answer.status >= FIRST_ERROR_STATUS) return undefined
    return validateCompletion(answer.body, this.expectedResponseId)
  }

  /** Adds the end marker that a lost upstream could not send. */
  appendDoneEvent (): void {
    const end = this._streamedResponse.appendDoneEvent()
    if (end) this.deliver(end)
  }

  /** Ends the response to the caller with the whole answer. */
  finish (): void {
    if (this._bufferedResponse) return this._callerResponse.sendComplete(this._bufferedResponse.status, selectResponseHeaders(this._bufferedResponse.headers), this._bufferedResponse.body, 'complete')
    if (this._request.completion?.stream === false) return this._callerResponse.sendComplete(200, { 'content-type': JSON_TYPE }, this._streamedResponse.assemble(this._request.completion.endpoint), 'complete')
    this._callerResponse.endStream('complete')
  }
}
