/**
 * Selects what fits into a message of a list that is longer: its first items, and in turn the others, so that all of it is told
 * within a few messages.
 *
 * @module
 */

/** Share of the bytes for the first items of a list; the others take turns in the rest. */
const FIRST_SHARE = 0.5

/** Selects from one list, message after message. */
export class RotatingSelection<Item> {
  private readonly _bytesOf: (item: Item) => number
  /** Number of items behind the first ones that had their turn before this one, and after it. */
  private _offset = 0
  private _nextOffset = 0
  private _turn: number | undefined

  private constructor (bytesOf: (item: Item) => number) {
    this._bytesOf = bytesOf
  }

  /** `bytesOf` returns the bytes of an item in a message. */
  static create<Item> (bytesOf: (item: Item) => number): RotatingSelection<Item> {
    return new RotatingSelection(bytesOf)
  }

  /**
   * Returns items for one message, in the order of the list: all of them if they fit. Messages with the same number of the turn,
   * which go to several recipients, hold the same items.
   */
  select (items: readonly Item[], maximumBytes: number, turn: number): Item[] {
    if (turn !== this._turn) this._offset = this._nextOffset
    this._turn = turn
    if (this._sumBytes(items) <= maximumBytes) return [...items]
    const first = this._take(items, maximumBytes * FIRST_SHARE)
    const others = items.filter(item => !first.includes(item))
    const begin = this._offset % Math.max(1, others.length)
    const inTurn = this._take([...others.slice(begin), ...others.slice(0, begin)], maximumBytes - this._sumBytes(first))
    this._nextOffset = begin + Math.max(1, inTurn.length)
    const selected = new Set([...first, ...inTurn])
    return items.filter(item => selected.has(item))
  }

  private _sumBytes (items: readonly Item[]): number {
    return items.reduce((sum, item) => sum + this._bytesOf(item), 0)
  }

  /** Returns the items from the first one on for as long as they fit; one that can never fit is passed over. */
  private _take (items: readonly Item[], maximumBytes: number): Item[] {
    const taken: Item[] = []
    let bytes = 0
    for (const item of items) {
      const size = this._bytesOf(item)
      if (size > maximumBytes) continue
      if (bytes + size > maximumBytes) break
      bytes += size
      taken.push(item)
    }
    return taken
  }
}
