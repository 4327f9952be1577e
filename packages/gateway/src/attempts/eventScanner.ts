/**
 * Checks the server-sent events of one attempt without parsing them: each must belong to the request, and token
 * positions must follow each other without gap or repeat.
 *
 * @module
 */

const EVENT_END = Buffer.from('\n\n')
const ID_FIELD = Buffer.from('id: ')
const DONE_EVENT = Buffer.from('data: [DONE]')
const RESPONSE_ID_FIELD = Buffer.from('"id":"')
const QUOTE = 0x22
const COLON = 0x3a
const LINE_FEED = 0x0a
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39
const MAXIMUM_EVENT_BYTES = 1024 * 1024

/** What the events of an engine look like. */
export interface EventExpectation {
  /** Position of the last token that the caller has; events up to it are dropped. */
  position: number
  /** Whether the engine numbers its events by token position. */
  numbered: boolean
  /** The answer's own name, if it is known beforehand; else the first event decides it. */
  responseId?: string
}

/** What was found in some bytes. */
export interface ScannedEvents {
  /** Whole events that are to be delivered; empty when there are none. */
  bytes: readonly Buffer[]
  /** Why the events are not this request's answer. */
  problem?: string
}

const NO_EVENTS: ScannedEvents = { bytes: [] }

/** Scans the events of one attempt. */
export class EventScanner {
  private readonly _numbered: boolean
  private _responseId: Buffer | undefined
  private _position: number
  private _partialEvent: Buffer | undefined
  private _done = false

  private constructor (expectation: EventExpectation) {
    this._numbered = expectation.numbered
    this._position = expectation.position
    if (expectation.responseId !== undefined) this._responseId = Buffer.from(`"id":"${expectation.responseId}"`)
  }

  static create (expectation: EventExpectation): EventScanner {
    return new EventScanner(expectation)
  }

  /** Position of the last token found. */
  get position (): number {
    return this._position
  }

  /** Whether the event that ends the answer was found. */
  get done (): boolean {
    return this._done
  }

  scan (chunk: Buffer): ScannedEvents {
    const data = this._partialEvent ? Buffer.concat([this._partialEvent, chunk]) : chunk
    this._partialEvent = undefined
    const bytes: Buffer[] = []
    let start = 0
    let deliverFrom = 0
    while (!this._done) {
      const end = data.indexOf(EVENT_END, start)
      if (end === -1) break
      const next = end + EVENT_END.length
      const verdict = this._classifyEvent(data, start, end)
      if (verdict === 'repeated') {
        if (start > deliverFrom) bytes.push(data.subarray(deliverFrom, start))
        deliverFrom = next
      } else if (verdict !== 'expected') {
        if (start > deliverFrom) bytes.push(data.subarray(deliverFrom, start))
        return { bytes, problem: verdict }
      }
      start = next
    }
    if (start > deliverFrom) bytes.push(data.subarray(deliverFrom, start))
    if (!this._done && start < data.length) return this._bufferPartialEvent(data.subarray(start), bytes)
    return bytes.length === 0 ? NO_EVENTS : { bytes }
  }

  private _bufferPartialEvent (tail: Buffer, bytes: readonly Buffer[]): ScannedEvents {
    this._partialEvent = tail
    if (tail.length > MAXIMUM_EVENT_BYTES) return { bytes, problem: 'the upstream sent an event of more than one megabyte' }
    return { bytes }
  }

  /** Returns what an event is, or what is wrong with it. */
  private _classifyEvent (data: Buffer, start: number, end: number): 'expected' | 'repeated' | string {
    if (data[start] === COLON) return 'expected'
    if (startsWith(data, start, DONE_EVENT)) {
      this._done = true
      return 'expected'
    }
    const position = this._readPosition(data, start)
    if (position === undefined) return 'the upstream sent an event without a token position'
    if (position <= this._position) return 'repeated'
    if (position > this._position + 1) return `the upstream left out the tokens from ${this._position + 1} to ${position - 1}`
    if (!this._belongsToRequest(data, start, end)) return 'the upstream sent an event of another answer'
    this._position = position
    return 'expected'
  }

  private _readPosition (data: Buffer, start: number): number | undefined {
    if (!this._numbered) return this._position + 1
    if (!startsWith(data, start, ID_FIELD)) return undefined
    let position = 0
    let index = start + ID_FIELD.length
    while (data[index] >= DIGIT_ZERO && data[index] <= DIGIT_NINE) position = position * 10 + data[index++] - DIGIT_ZERO
    return data[index] === LINE_FEED && index > start + ID_FIELD.length ? position : undefined
  }

  private _belongsToRequest (data: Buffer, start: number, end: number): boolean {
    this._responseId ??= readResponseId(data, start, end)
    if (!this._responseId) return false
    const found = data.indexOf(this._responseId, start)
    return found !== -1 && found < end
  }
}

function readResponseId (data: Buffer, start: number, end: number): Buffer | undefined {
  const field = data.indexOf(RESPONSE_ID_FIELD, start)
  if (field === -1 || field >= end) return undefined
  const close = data.indexOf(QUOTE, field + RESPONSE_ID_FIELD.length)
  if (close === -1 || close >= end) return undefined
  return Buffer.from(data.subarray(field, close + 1))
}

function startsWith (data: Buffer, start: number, expected: Buffer): boolean {
  for (let index = 0; index < expected.length; index++) if (data[start + index] !== expected[index]) return false
  return true
}
