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
  /** Number of items behind the first ones that had their turn. */
  private _offset = 0

  private constructor (bytesOf: (item: Item) => number) {
    this._bytesOf = bytesOf
  }

  /** `bytesOf` returns the bytes of an item in a message. */
  static create<Item> (bytesOf: (item: Item) => number): RotatingSelection<Item> {
    return new RotatingSelection(bytesOf)
  }

  /** Returns items for one message, in the order of the list: all of them if they fit. */
  select (items: readonly Item[], maximumBytes: number): Item[] {
    const sizes = items.map(item => this._bytesOf(item))
    if (sizes.reduce((sum, size) => sum + size, 0) <= maximumBytes) return [...items]
    const selected = new Set<Item>()
    const firstBytes = fill(items, sizes, 0, maximumBytes * FIRST_SHARE, selected)
    const rest = items.map((_item, index) => index).filter(index => !selected.has(items[index]))
    if (rest.length === 0) return [...selected]
    const turns = rest.map((_index, place) => rest[(this._offset + place) % rest.length])
    const before = selected.size
    fill(turns.map(index => items[index]), turns.map(index => sizes[index]), 0, maximumBytes - firstBytes, selected)
    this._offset = (this._offset + Math.max(1, selected.size - before)) % rest.length
    return items.filter(item => selected.has(item))
  }
}

/** Adds items from `begin` on for as long as they fit; one that can never fit is passed over. Returns the bytes of those added. */
function fill<Item> (items: readonly Item[], sizes: readonly number[], begin: number, maximumBytes: number, selected: Set<Item>): number {
  let bytes = 0
  for (let index = begin; index < items.length; index++) {
    if (sizes[index] > maximumBytes) continue
    if (bytes + sizes[index] > maximumBytes) break
    bytes += sizes[index]
    selected.add(items[index])
  }
  return bytes
}
