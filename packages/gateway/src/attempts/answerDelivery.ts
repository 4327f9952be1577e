/**
 * Brings the answer of one request to its caller, whichever attempts it comes from.
 *
 * @module
 */
import type { CallerResponse } from '../callers/callerResponse.js'
import { selectResponseHeaders } from '../callers/headerPolicy.js'
import type { KeptAnswer } from '../claims/claimRecord.js'
import { checkCompletion } from './callChecks.js'
import type { InboundCall } from './inboundCall.js'
import type { StreamDestination } from './streamReceiver.js'
import type { StreamedAnswer } from './streamedAnswer.js'
import type { AnswerHeaders } from './upstreamAttempt.js'
import type { WholeAnswer, WholeDestination } from './wholeReceiver.js'

const JSON_TYPE = 'application/json'
const EVENT_STREAM_TYPE = 'text/event-stream'
const FIRST_ERROR_STATUS = 400

/** The answer of one request on its way to the caller. */
export class AnswerDelivery implements StreamDestination, WholeDestination {
  private readonly _call: InboundCall
  private readonly _response: CallerResponse
  private readonly _answer: StreamedAnswer
  private readonly _onFirstBytes: () => void
  private _wholeAnswer: WholeAnswer | undefined
  private _begun = false
  /** Whether the answer went to the caller as it came, because it is large. */
  private _passedOn = false

  private constructor (call: InboundCall, response: CallerResponse, answer: StreamedAnswer, onFirstBytes: () => void) {
    this._call = call
    this._response = response
    this._answer = answer
    this._onFirstBytes = onFirstBytes
  }

  /** `onFirstBytes` is called once, when the first events arrive. */
  static create (call: InboundCall, response: CallerResponse, answer: StreamedAnswer, onFirstBytes: () => void): AnswerDelivery {
    return new AnswerDelivery(call, response, answer, onFirstBytes)
  }

  /** The name that the answer must have; undefined where engines do not take it from the request. */
  get expectedAnswerId (): string | undefined {
    if (!this._call.completion || !this._call.service.abilities.echoesRequestId) return undefined
    return `${this._call.completion.endpoint === 'chat' ? 'chatcmpl' : 'cmpl'}-${this._call.requestId}`
  }

  /** Whether the engine has ended the answer, although its end marker may be missing. */
  get isAnswerWhole (): boolean {
    return this._answer.position > 0 && this._call.service.abilities.resume && this._answer.readText().finishReason !== undefined
  }

  /** The answer in the form in which it is kept with a claim; undefined when it was too large to be held. */
  get keptAnswer (): KeptAnswer | undefined {
    if (this._passedOn) return undefined
    if (this._wholeAnswer) return { status: this._wholeAnswer.status, contentType: String(this._wholeAnswer.headers['content-type'] ?? ''), body: this._wholeAnswer.body }
    if (this._call.completion?.stream === false) return { status: 200, contentType: JSON_TYPE, body: Buffer.from(this._answer.assemble(this._call.completion.endpoint)) }
    return { status: 200, contentType: EVENT_STREAM_TYPE, body: Buffer.from(this._answer.readEvents()) }
  }

  deliver (bytes: Buffer): boolean {
    if (!this._begun) {
      this._begun = true
      this._onFirstBytes()
    }
    if (this._call.completion && !this._call.completion.stream) return true
    if (!this._response.started) this._response.startEventStream()
    return this._response.write(bytes)
  }

  onceDrained (callback: () => void): void {
    this._response.onceDrained(callback)
  }

  deliverError (status: number, contentType: string, body: Buffer): void {
    this._wholeAnswer = { status, headers: { 'content-type': contentType }, body }
  }

  deliverWhole (answer: WholeAnswer): void {
    this._wholeAnswer = answer
  }

  startLarge (status: number, headers: AnswerHeaders): void {
    this._passedOn = true
    this._response.startByteStream(status, selectResponseHeaders(headers))
  }

  check (answer: WholeAnswer): string | undefined {
    if (!this._call.completion || answer.status >= FIRST_ERROR_STATUS) return undefined
    return checkCompletion(answer.body, this.expectedAnswerId)
  }

  /** Adds the end marker that a lost upstream could not send. */
  addEnd (): void {
    const end = this._answer.addEnd()
    if (end) this.deliver(end)
  }

  /** Ends the response to the caller with the whole answer. */
  finish (): void {
    if (this._wholeAnswer) return this._response.sendComplete(this._wholeAnswer.status, selectResponseHeaders(this._wholeAnswer.headers), this._wholeAnswer.body, 'complete')
    if (this._call.completion?.stream === false) return this._response.sendComplete(200, { 'content-type': JSON_TYPE }, this._answer.assemble(this._call.completion.endpoint), 'complete')
    this._response.endStream('complete')
  }
}
