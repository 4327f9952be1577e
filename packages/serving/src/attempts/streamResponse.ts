/**
 * What is known of the response of one attempt on a stream route.
 *
 * @module
 */
import type { SplitEvents } from './eventSplitter.js'
import type { ResponseHeaders } from './upstreamProtocol.js'

const OK_STATUS = 200
const FIRST_REDIRECT_STATUS = 300
const EVENT_STREAM_TYPE = 'text/event-stream'

/** How the end of a response is known. */
export type ResponseFraming = 'length' | 'chunks' | 'connection-end'

/** Where a stream stands when an attempt begins. */
export interface StreamPosition {
  /** Id of the last event that the caller has; undefined when it has none. */
  lastEventId: number | undefined
  /** Whether another attempt, or the caller, may continue the stream. */
  isResumable: boolean
  /** Whether no event can follow those that the caller has. */
  isWhole: boolean
}

/** What an attempt that continues a stream has answered. */
export interface ContinuationSummary {
  /** Id of the last event that the caller had when the attempt began. */
  resumeAfter: number
  status: number
  framing: ResponseFraming
  /** Events that were added to the stream. */
  newEvents: number
  /** Events that the caller had already. */
  repeatedEvents: number
  /** Events, new ones included, that have no id. */
  unnumberedEvents: number
}

/** The response of one attempt. */
export class StreamResponse {
  private readonly _position: StreamPosition
  private _status: number | undefined
  private _framing: ResponseFraming = 'length'
  private _hasEventType = false
  private _newEvents = 0
  private _repeatedEvents = 0
  private _unnumberedEvents = 0

  private constructor (position: StreamPosition) {
    this._position = position
  }

  static create (position: StreamPosition): StreamResponse {
    return new StreamResponse(position)
  }

  /** Whether the response is a stream; a response without a type counts as one. */
  get isStream (): boolean {
    return this._hasEventType && this._status !== undefined && this._status < FIRST_REDIRECT_STATUS
  }

  /** Number of events that were added to the stream. */
  get newEvents (): number {
    return this._newEvents
  }

  /** Undefined when the attempt continues no stream, or has not been answered. */
  get continuation (): ContinuationSummary | undefined {
    const { lastEventId } = this._position
    if (lastEventId === undefined || this._status === undefined) return undefined
    return {
      resumeAfter: lastEventId,
      status: this._status,
      framing: this._framing,
      newEvents: this._newEvents,
      repeatedEvents: this._repeatedEvents,
      unnumberedEvents: this._unnumberedEvents
    }
  }

  recordHead (status: number, headers: ResponseHeaders): void {
    this._status = status
    this._framing = framingOf(headers)
    this._hasEventType = String(headers['content-type'] ?? EVENT_STREAM_TYPE).startsWith(EVENT_STREAM_TYPE)
  }

  recordEvents ({ count, repeatedCount, unnumberedCount }: SplitEvents): void {
    this._newEvents += count
    this._repeatedEvents += repeatedCount
    this._unnumberedEvents += unnumberedCount
  }

  /**
   * Returns why the response can't be forwarded after what the caller has; undefined if it can. An error or a redirect
   * can be forwarded as long as `isStarted`, whether the caller has received a part of the response, is false.
   */
  findHeadProblem (isStarted: boolean): string | undefined {
    if (this._status === OK_STATUS && this.isStream) return undefined
    const isSuccess = this._status !== undefined && this._status < FIRST_REDIRECT_STATUS
    return isStarted || (this._isContinuation && isSuccess) ? `the response with status ${this._status} does not continue the stream` : undefined
  }

  /** Returns why the end of the response can't be the end of the stream; undefined if it can. */
  findEndProblem (): string | undefined {
    if (this._newEvents > 0) return undefined
    const { lastEventId, isWhole } = this._position
    // The stream broke off before, so that events are missing as far as anyone knows.
    if (this._isContinuation) return isWhole ? undefined : `the response adds no event after event ${lastEventId}`
    // When a connection ends, an upstream that crashed before its first event looks like one that had none to send.
    return this._framing === 'connection-end' ? 'the connection ended before the first event' : undefined
  }

  private get _isContinuation (): boolean {
    return this._position.isResumable && this._position.lastEventId !== undefined
  }
}

function framingOf (headers: ResponseHeaders): ResponseFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks'
  return headers['content-length'] === undefined ? 'connection-end' : 'length'
}
