/**
 * Decides what is kept of the entries that a list or a watch brings. The service holds whatever its writers put there, so that
 * only the reader can say what is of use to it, and how much of that it has room for.
 *
 * @module
 */

/** A value as the service holds it; it is decoded only if it is of use. */
export interface UnreadValue {
  /** Length in bytes. */
  readonly length: number
  /** Decodes the value as text. */
  read (): string
}

/** Selects the entries and changes of one list, or of one batch of a watch. */
export interface EntrySelection {
  /** Whether anything is kept of a key. */
  includes (key: string): boolean
  /** Returns what is kept of a value, which may be shorter than it is; undefined if there is no room for the entry. */
  select (key: string, value: UnreadValue): string | undefined
}

/** Fixed cost of an entry: the objects and numbers that hold it. */
const ENTRY_BYTES = 200
const MAXIMUM_BYTES = 16 * 1024 * 1024

/** Bounds the bytes, and with them the number, of the entries that are kept at the same time. */
export class EntryBudget {
  private readonly _maximumBytes: number
  private _usedBytes = 0

  private constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  static create (maximumBytes = MAXIMUM_BYTES): EntryBudget {
    return new EntryBudget(maximumBytes)
  }

  /** Whether there is no room for further entries. */
  get isFull (): boolean {
    return this._usedBytes >= this._maximumBytes
  }

  /** Takes the room of an entry; returns whether there was any left. */
  tryTake (key: string, value: string): boolean {
    if (this.isFull) return false
    this.take(key, value)
    return true
  }

  /** Takes the room of an entry that is kept in any case. */
  take (key: string, value: string): void {
    this._usedBytes += costOf(key, value)
  }

  /** Gives back the room of an entry that is not kept any more. */
  release (key: string, value: string): void {
    this._usedBytes -= costOf(key, value)
  }
}

/** Keeps all entries of a list whose values are needed as they are, as long as there is room. */
export class WholeEntries implements EntrySelection {
  private readonly _budget = EntryBudget.create()

  static create (): WholeEntries {
    return new WholeEntries()
  }

  includes (): boolean {
    return true
  }

  select (key: string, value: UnreadValue): string | undefined {
    if (value.length > MAXIMUM_BYTES) return undefined
    const text = value.read()
    return this._budget.tryTake(key, text) ? text : undefined
  }
}

function costOf (key: string, value: string): number {
  return ENTRY_BYTES + key.length + value.length
}
