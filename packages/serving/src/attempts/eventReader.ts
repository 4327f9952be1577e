/**
 * Reads one event of a server-sent event stream, without copying any of its bytes.
 *
 * @module
 */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const SPACE = 0x20
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39
const RADIX = 10
const ID_FIELD = Buffer.from('id')

/** Reads events one after the other; its properties describe the last one that was complete. */
export class EventReader {
  private _id: number | undefined
  private _hasFields = false

  static create (): EventReader {
    return new EventReader()
  }

  /** Value of the first `id` field; undefined when there is none or it is not a number. */
  get id (): number | undefined {
    return this._id
  }

  /** Whether the event has any field; otherwise it has only comments, which a caller ignores. */
  get hasFields (): boolean {
    return this._hasFields
  }

  /** Reads the event at `start`; returns the index after the empty line that ends it, 0 when it is incomplete. */
  read (bytes: Buffer, start: number): number {
    this._id = undefined
    this._hasFields = false
    let lineStart = start
    for (let lineEnd = bytes.indexOf(LINE_FEED, start); lineEnd >= 0; lineEnd = bytes.indexOf(LINE_FEED, lineStart)) {
      const textEnd = lineEnd > lineStart && bytes[lineEnd - 1] === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd
      if (textEnd === lineStart) return lineEnd + 1
      this._readLine(bytes, lineStart, textEnd)
      lineStart = lineEnd + 1
    }
    return 0
  }

  private _readLine (bytes: Buffer, start: number, end: number): void {
    if (bytes[start] === COLON) return
    this._hasFields = true
    if (this._id === undefined && isField(bytes, start, end, ID_FIELD)) this._id = readNumber(bytes, start + ID_FIELD.length + 1, end)
  }
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
