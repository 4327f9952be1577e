/**
 * Splits a server-sent event stream into complete events. Drops events that the caller already has, and detects missing
 * ones by their ids.
 *
 * @module
 */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39
const RADIX = 10
const ID_FIELD = Buffer.from('id:')
const SPACE = 0x20
const MAXIMUM_EVENT_BYTES = 1024 * 1024
const EMPTY = Buffer.alloc(0)

/** Events completed by a chunk. */
export interface SplitEvents {
  /** Complete events, byte for byte as received. */
  bytes: Buffer
  /** Number of events in `bytes`. */
  count: number
  /** Number of events that were dropped because the caller has them. */
  repeatedCount: number
  /** Number of events without an id. */
  unnumberedCount: number
  /** Why the rest of the stream can't be used. */
  problem?: string
}

/** Splits the event stream of one attempt. */
export class EventSplitter {
  private _incompleteEvent: Buffer = EMPTY
  private _lastId: number | undefined

  private constructor (lastId: number | undefined) {
    this._lastId = lastId
  }

  /** `lastId` is the id of the last event that the caller has received; events up to it are dropped. */
  static create (lastId?: number): EventSplitter {
    return new EventSplitter(lastId)
  }

  /** Id of the last complete event; undefined before the first event with an id. */
  get lastId (): number | undefined {
    return this._lastId
  }

  /** Whether the bytes received so far end inside an event. */
  get endsInsideEvent (): boolean {
    return this._incompleteEvent.length > 0
  }

  split (chunk: Buffer): SplitEvents {
    const bytes = this._incompleteEvent.length === 0 ? chunk : Buffer.concat([this._incompleteEvent, chunk])
    const events: Buffer[] = []
    let repeatedCount = 0
    let unnumberedCount = 0
    let start = 0
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const event = bytes.subarray(start, end)
      start = end
      const id = readId(event)
      if (id !== undefined && this._lastId !== undefined && id <= this._lastId) {
        repeatedCount++
        continue
      }
      if (id !== undefined && this._lastId !== undefined && id > this._lastId + 1) return { bytes: Buffer.concat(events), count: events.length, repeatedCount, unnumberedCount, problem: `event ${id} follows event ${this._lastId}` }
      if (id === undefined) unnumberedCount++
      else this._lastId = id
      events.push(event)
    }
    this._incompleteEvent = bytes.subarray(start)
    const problem = this._incompleteEvent.length > MAXIMUM_EVENT_BYTES ? 'an event is larger than 1 MiB' : undefined
    return { bytes: join(events), count: events.length, repeatedCount, unnumberedCount, problem }
  }
}

function join (events: readonly Buffer[]): Buffer {
  if (events.length === 0) return EMPTY
  return events.length === 1 ? events[0] : Buffer.concat(events)
}

/** Returns the index after the empty line that ends an event; 0 when the event is incomplete. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    const next = bytes[index + 1]
    if (next === LINE_FEED) return index + 2
    if (next === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3
  }
  return 0
}

/** Returns the value of the `id` field; undefined when there is none or it is not a number. */
function readId (event: Buffer): number | undefined {
  let start = 0
  while (start < event.length) {
    if (event.subarray(start, start + ID_FIELD.length).equals(ID_FIELD)) return readNumber(event, start + ID_FIELD.length)
    const lineEnd = event.indexOf(LINE_FEED, start)
    if (lineEnd < 0) return undefined
    start = lineEnd + 1
  }
  return undefined
}

function readNumber (event: Buffer, start: number): number | undefined {
  let index = event[start] === SPACE ? start + 1 : start
  let value: number | undefined
  for (; event[index] >= DIGIT_ZERO && event[index] <= DIGIT_NINE; index++) value = (value ?? 0) * RADIX + event[index] - DIGIT_ZERO
  return value
}
