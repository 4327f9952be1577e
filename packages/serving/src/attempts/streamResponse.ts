/**
 * What is known of the response of one attempt on a stream route.
 *
 * @module
 */
import type { SplitEvents } from './eventSplitter.js'
import type { ResponseHeaders } from './upstreamProtocol.js'

/** How the end of a response is known. */
export type ResponseFraming = 'length' | 'chunks' | 'connection-end'

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
  private readonly _resumeAfter: number | undefined
  private _status: number | undefined
  private _framing: ResponseFraming = 'length'
  private _newEvents = 0
  private _repeatedEvents = 0
  private _unnumberedEvents = 0

  private constructor (resumeAfter: number | undefined) {
    this._resumeAfter = resumeAfter
  }

  /** `resumeAfter` is the id of the last event that the caller has; undefined when it has none. */
  static create (resumeAfter: number | undefined): StreamResponse {
    return new StreamResponse(resumeAfter)
  }

  /** Whether the end of the response is only known by the end of its connection. */
  get endsWithConnection (): boolean {
    return this._framing === 'connection-end'
  }

  /** Number of events that were added to the stream. */
  get newEvents (): number {
    return this._newEvents
  }

  /** Undefined when the attempt continues no stream, or has not been answered. */
  get continuation (): ContinuationSummary | undefined {
    if (this._resumeAfter === undefined || this._status === undefined) return undefined
    return {
      resumeAfter: this._resumeAfter,
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
  }

  recordEvents ({ count, repeatedCount, unnumberedCount }: SplitEvents): void {
    this._newEvents += count
    this._repeatedEvents += repeatedCount
    this._unnumberedEvents += unnumberedCount
  }
}

function framingOf (headers: ResponseHeaders): ResponseFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks'
  return headers['content-length'] === undefined ? 'connection-end' : 'length'
}
