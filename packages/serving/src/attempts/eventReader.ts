/**
 * Reads one event of a server-sent event stream, without copying any of its bytes.
 *
 * @module
 */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const SPACE = 0x20
const HYPHEN = 0x2d
const UNDERSCORE = 0x5f
const LETTER_A = 0x61
const LETTER_Z = 0x7a
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39
const RADIX = 10
/** May begin a stream, before the first line. */
const BYTE_ORDER_MARK = Buffer.from('\ufeff')
const ID_FIELD = Buffer.from('id')
/** Sets a delay of the caller, and is part of no event. */
const RETRY_FIELD = Buffer.from('retry')

/** Reads events one after the other; its properties describe the last one that was complete. */
export class EventReader {
  private _id: number | undefined
  private _hasFields = false
  private _hasForeignLine = false
  /** Whether no event of the stream was read completely yet. */
  private _isAtBeginning: boolean

  private constructor (isAtBeginning: boolean) {
    this._isAtBeginning = isAtBeginning
  }

  /** `isAtBeginning` is whether the first event is that of the whole stream; a byte order mark may stand before it. */
  static create (isAtBeginning: boolean): EventReader {
    return new EventReader(isAtBeginning)
  }

  /** Value of the first `id` field; undefined when there is none or it is not a number. */
  get id (): number | undefined {
    return this._id
  }

  /** Whether the event has any field of an event; otherwise it adds nothing to the stream, as with comments. */
  get hasFields (): boolean {
    return this._hasFields
  }

  /** Whether the event has a line that is neither a comment nor a field: text, or the head of a response. */
  get hasForeignLine (): boolean {
    return this._hasForeignLine
  }

  /** Reads the event at `start`; returns the index after the empty line that ends it, 0 when it is incomplete. */
  read (bytes: Buffer, start: number): number {
    this._id = undefined
    this._hasFields = false
    this._hasForeignLine = false
    let lineStart = this._isAtBeginning ? skipByteOrderMark(bytes, start) : start
    for (let lineEnd = bytes.indexOf(LINE_FEED, start); lineEnd >= 0; lineEnd = bytes.indexOf(LINE_FEED, lineStart)) {
      const textEnd = lineEnd > lineStart && bytes[lineEnd - 1] === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd
      if (textEnd === lineStart) {
        this._isAtBeginning = false
        return lineEnd + 1
      }
      this._readLine(bytes, lineStart, textEnd)
      lineStart = lineEnd + 1
    }
    return 0
  }

  private _readLine (bytes: Buffer, start: number, end: number): void {
    if (bytes[start] === COLON || isField(bytes, start, end, RETRY_FIELD)) return
    this._hasFields = true
    if (!hasFieldName(bytes, start, end)) this._hasForeignLine = true
    else if (this._id === undefined && isField(bytes, start, end, ID_FIELD)) this._id = readNumber(bytes, start + ID_FIELD.length + 1, end)
  }
}

function skipByteOrderMark (bytes: Buffer, start: number): number {
  const end = start + BYTE_ORDER_MARK.length
  return BYTE_ORDER_MARK.equals(bytes.subarray(start, end)) ? end : start
}

/** Whether a line begins with the name of a field in lower case. Fields with other names than those of the standard are sound. */
function hasFieldName (bytes: Buffer, start: number, end: number): boolean {
  for (let index = start; index < end; index++) {
    const byte = bytes[index]
    if (byte === COLON) return true
    if (!isNameByte(byte)) return false
  }
  return true
}

function isNameByte (byte: number): boolean {
  return (byte >= LETTER_A && byte <= LETTER_Z) || (byte >= DIGIT_ZERO && byte <= DIGIT_NINE) || byte === HYPHEN || byte === UNDERSCORE
}

/** Whether a line holds the field with this name, with or without a value. */
function isField (bytes: Buffer, start: number, end: number, name: Buffer): boolean {
  const nameEnd = start + name.length
  if (nameEnd > end || (nameEnd < end && bytes[nameEnd] !== COLON)) return false
  for (let index = 0; index < name.length; index++) if (bytes[start + index] !== name[index]) return false
  return true
}

function readNumber (bytes: Buffer, start: number, end: number): number | undefined {
  let value: number | undefined
  for (let index = bytes[start] === SPACE ? start + 1 : start; index < end; index++) {
    const byte = bytes[index]
    if (byte < DIGIT_ZERO || byte > DIGIT_NINE) return value
    value = (value ?? 0) * RADIX + byte - DIGIT_ZERO
  }
  return value
}
