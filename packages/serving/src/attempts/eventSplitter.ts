/**
 * Splits a server-sent event stream into complete events. Drops events that the caller already has, and detects missing
 * ones by their ids.
 *
 * @module
 */
import { ByteAccumulator } from './byteAccumulator.js'
import { EventReader } from './eventReader.js'

const MAXIMUM_EVENT_BYTES = 1024 * 1024
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const EMPTY = Buffer.alloc(0)

/** Events completed by a chunk. */
export interface SplitEvents {
  /** Complete events and comments, byte for byte as received. */
  bytes: Buffer
  /** Number of events in `bytes`; comments are none. */
  count: number
  /** Number of events that were dropped because the caller has them. */
  repeatedCount: number
  /** Number of events without an id. */
  unnumberedCount: number
  /** Why the rest of the stream can't be used. */
  problem?: string
}

const NOTHING: Readonly<SplitEvents> = { bytes: EMPTY, count: 0, repeatedCount: 0, unnumberedCount: 0 }

/** Splits the event stream of one attempt. */
export class EventSplitter {
  private readonly _reader: EventReader
  private readonly _requiresId: boolean
  private _incompleteEvent = ByteAccumulator.create()
  private _lastId: number | undefined

  private constructor (lastId: number | undefined, requiresId: boolean) {
    this._reader = EventReader.create(lastId === undefined)
    this._lastId = lastId
    this._requiresId = requiresId
  }

  /**
   * `lastId` is the id of the last event that the caller has received; events up to it are dropped. `requiresId` is
   * whether each event has to have an id, because the stream may be continued after any of them.
   */
  static create (lastId?: number, requiresId = false): EventSplitter {
    return new EventSplitter(lastId, requiresId)
  }

  /** Id of the last complete event; undefined before the first event with an id. */
  get lastId (): number | undefined {
    return this._lastId
  }

  /** Whether the bytes received so far end inside an event. */
  get endsInsideEvent (): boolean {
    return this._incompleteEvent.length > 0
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes (): number {
    return this._incompleteEvent.capacity
  }

  split (chunk: Buffer): SplitEvents {
    if (!this.endsInsideEvent) return this._splitFrom(chunk)
    const { length } = this._incompleteEvent
    this._incompleteEvent.append(chunk)
    const { bytes } = this._incompleteEvent
    if (!hasEmptyLine(bytes, length)) return { ...NOTHING, problem: this._findLengthProblem() }
    this._incompleteEvent = ByteAccumulator.create()
    return this._splitFrom(bytes)
  }

  private _splitFrom (bytes: Buffer): SplitEvents {
    const result: SplitEvents = { ...NOTHING }
    let keptFrom = 0
    let start = 0
    for (let end = this._reader.read(bytes, start); end > 0; end = this._reader.read(bytes, start)) {
      result.problem = this._findProblem()
      if (result.problem !== undefined) break
      if (this._isRepeated()) {
        result.repeatedCount++
        result.bytes = append(result.bytes, bytes.subarray(keptFrom, start))
        keptFrom = end
      } else {
        this._count(result)
      }
      start = end
    }
    result.bytes = append(result.bytes, bytes.subarray(keptFrom, start))
    this._incompleteEvent.append(bytes.subarray(start))
    result.problem ??= this._findLengthProblem()
    return result
  }

  private _findLengthProblem (): string | undefined {
    return this._incompleteEvent.length > MAXIMUM_EVENT_BYTES ? 'an event is larger than 1 MiB' : undefined
  }

  /** Returns why the event that was read can't follow the last one; undefined if it can. */
  private _findProblem (): string | undefined {
    const { id, hasFields, hasForeignLine } = this._reader
    if (hasForeignLine) return 'a line belongs to no event'
    if (id === undefined) return this._requiresId && hasFields ? 'an event of a stream that may be resumed has no id' : undefined
    if (this._lastId === undefined || id <= this._lastId + 1) return undefined
    return `event ${id} follows event ${this._lastId}`
  }

  private _isRepeated (): boolean {
    const { id } = this._reader
    return id !== undefined && this._lastId !== undefined && id <= this._lastId
  }

  private _count (result: SplitEvents): void {
    const { id, hasFields } = this._reader
    if (!hasFields) return
    result.count++
    if (id === undefined) result.unnumberedCount++
    else this._lastId = id
  }
}

/** Whether an empty line ends at `from` or later, so that an event may be complete. */
function hasEmptyLine (bytes: Buffer, from: number): boolean {
  for (let index = bytes.indexOf(LINE_FEED, from); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    const lineEnd = bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index
    if (lineEnd === 0 || bytes[lineEnd - 1] === LINE_FEED) return true
  }
  return false
}

function append (kept: Buffer, more: Buffer): Buffer {
  if (more.length === 0) return kept
  return kept.length === 0 ? more : Buffer.concat([kept, more])
}
