/**
 * Forwards the response of one request to its caller, also when several attempts contribute to it.
 *
 * @module
 */
import type { RouteRecord } from '@plumstage/records'
import type { CallerExchange } from '../callers/callerExchange.js'
import type { CallerHead } from '../callers/callerProtocol.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { ByteAccumulator } from './byteAccumulator.js'
import { EventSplitter } from './eventSplitter.js'
import type { ResponseMemory, ResponseShare } from './responseMemory.js'
import { StreamResponse } from './streamResponse.js'
import type { ContinuationSummary } from './streamResponse.js'
import type { ResponseHeaders, UpstreamProtocol } from './upstreamProtocol.js'
import { CONTINUE, PAUSE } from './upstreamAttempt.js'
import type { ReceiveDecision } from './upstreamAttempt.js'

/** A response up to this size is buffered until it is complete, so that the request can be retried if it breaks off. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024

/** How the response reaches the caller: not known yet, by complete events, in one piece, or as its bytes arrive. */
type DeliveryMode = 'none' | 'events' | 'buffered' | 'streamed'

/** What the response depends on. */
export type RelayedRequest = Pick<AcceptedRequest, 'route' | 'generation'> & { head: Pick<CallerHead, 'lastEventId'> }

/** Forwards the response of one request to its caller. */
export class ResponseRelay {
  private readonly _exchange: CallerExchange
  private readonly _protocol: UpstreamProtocol
  private readonly _route: RouteRecord
  /** Number of events that the caller had received before this request. */
  private readonly _earlierEventCount: number
  /** Each event holds at least one token. */
  private readonly _maximumEventCount: number
  private readonly _onAttemptBegan: () => void
  private _mode: DeliveryMode = 'none'
  private _status = 0
  private _headers: string[] = []
  private _buffered = ByteAccumulator.create()
  /** Whether the current attempt has brought any part of a body that is no stream. */
  private _hasBody = false
  /** What the response holds of the memory for all of them. */
  private readonly _share: ResponseShare
  private _splitter: EventSplitter
  private _response: StreamResponse
  private _eventCount = 0

  private constructor (exchange: CallerExchange, protocol: UpstreamProtocol, { route, head, generation }: RelayedRequest, memory: ResponseMemory, onAttemptBegan: () => void) {
    this._exchange = exchange
    this._share = memory.createShare()
    this._protocol = protocol
    this._route = route
    this._earlierEventCount = head.lastEventId ?? 0
    this._maximumEventCount = generation?.maximumOutputTokens || Number.POSITIVE_INFINITY
    this._splitter = EventSplitter.create(head.lastEventId, this._isResumable)
    this._response = this._createResponse()
    this._onAttemptBegan = onAttemptBegan
  }

  /** `onAttemptBegan` is called before the first new event of each attempt is forwarded. */
  static create (exchange: CallerExchange, protocol: UpstreamProtocol, request: RelayedRequest, memory: ResponseMemory, onAttemptBegan: () => void): ResponseRelay {
    return new ResponseRelay(exchange, protocol, request, memory, onAttemptBegan)
  }

  /** Whether any part of the response has been sent to the caller. */
  get started (): boolean {
    return this._exchange.started
  }

  /** Id of the last event that the caller has received; undefined when there is none. */
  get lastEventId (): number | undefined {
    return this._splitter.lastId
  }

  get eventCount (): number {
    return this._eventCount
  }

  /** Whether the current attempt has brought any new event, or any part of a body that is no stream. */
  get attemptHasBegun (): boolean {
    return this._response.newEvents > 0 || this._hasBody
  }

  /** What the current attempt has answered, if it continues a stream. */
  get continuation (): ContinuationSummary | undefined {
    return this._route.stream ? this._response.continuation : undefined
  }

  get status (): number {
    return this._status
  }

  private get _isResumable (): boolean {
    return this._route.stream?.resumable === true
  }

  /** Prepares for the response of another attempt; a stream continues after the last complete event. */
  beginAttempt (): void {
    this._splitter = EventSplitter.create(this._splitter.lastId, this._isResumable)
    this._response = this._createResponse()
    this._hasBody = false
    this._clearBuffer()
    if (!this.started) this._mode = 'none'
  }

  receiveHead (status: number, headers: ResponseHeaders): ReceiveDecision {
    this._response.recordHead(status, headers)
    const problem = this._response.findHeadProblem(this.started)
    if (problem !== undefined) return fail(problem)
    if (this.started) return this._mode === 'events' ? CONTINUE : fail('a body that is no stream can\'t be continued')
    this._status = status
    this._headers = this._protocol.selectResponseHeaders(headers)
    this._mode = this._route.stream && this._response.isStream ? 'events' : 'buffered'
    return CONTINUE
  }

  receiveBytes (chunk: Buffer, resume: () => void): ReceiveDecision {
    if (this._mode === 'events') return this._receiveEvents(chunk, resume)
    if (this._mode === 'streamed') return this._forward(chunk, resume)
    this._hasBody = true
    this._buffered.append(chunk)
    if (this._share.hold(this._buffered.capacity) && this._buffered.length <= MAXIMUM_BUFFERED_BYTES) return CONTINUE
    this._mode = 'streamed'
    this._exchange.start(this._status, this._headers)
    const { bytes } = this._buffered
    this._clearBuffer()
    return this._forward(bytes, resume)
  }

  receiveEnd (): ReceiveDecision {
    if (this._mode !== 'events') return CONTINUE
    if (this._splitter.endsInsideEvent) return fail('the stream ended inside an event')
    const problem = this._response.findEndProblem()
    return problem === undefined ? CONTINUE : fail(problem)
  }

  /** Ends the response to the caller; the upstream's response is complete. */
  finish (): void {
    if (this._mode === 'buffered') return this._exchange.sendComplete(this._status, this._headers, this._buffered.bytes)
    if (!this.started) this._exchange.start(this._status, this._headers)
    this._exchange.end()
  }

  /** Gives back the memory of what is held; the request has ended. */
  release (): void {
    this._share.release()
  }

  private _clearBuffer (): void {
    this._buffered = ByteAccumulator.create()
    this._share.release()
  }

  private _receiveEvents (chunk: Buffer, resume: () => void): ReceiveDecision {
    const split = this._splitter.split(chunk)
    const { bytes, count } = split
    const hasRoom = this._share.hold(this._splitter.heldBytes)
    const problem = split.problem ?? (hasRoom ? undefined : 'an event is long, and there is no memory left for such events of all streams')
    const isFirst = this._response.newEvents === 0
    this._response.recordEvents(split)
    if (count > 0 && isFirst) this._onAttemptBegan()
    this._eventCount += count
    if (bytes.length > 0 && !this.started) this._exchange.start(this._status, this._headers)
    if (problem !== undefined) {
      if (bytes.length > 0) this._exchange.write(bytes)
      return fail(problem)
    }
    return bytes.length > 0 ? this._forward(bytes, resume) : CONTINUE
  }

  private _forward (bytes: Buffer, resume: () => void): ReceiveDecision {
    if (this._exchange.write(bytes)) return CONTINUE
    this._exchange.onceDrained(resume)
    return PAUSE
  }

  private _createResponse (): StreamResponse {
    return StreamResponse.create({
      lastEventId: this._splitter.lastId,
      isResumable: this._isResumable,
      isWhole: this._earlierEventCount + this._eventCount >= this._maximumEventCount
    })
  }
}

function fail (detail: string): ReceiveDecision {
  return { kind: 'fail', failure: 'broken', detail }
}
