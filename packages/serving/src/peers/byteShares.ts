/**
 * Divides the bytes of a message among its parts.
 *
 * @module
 */

/** Parts that need less than an equal share get what they need, and the others share the rest equally. `sizes` has the bytes that each part needs. */
export function shareBytes<Name> (sizes: ReadonlyMap<Name, number>, maximumBytes: number): Map<Name, number> {
  const shares = new Map<Name, number>()
  let left = Math.max(0, maximumBytes)
  const ascending = [...sizes].sort(([, size], [, otherSize]) => size - otherSize)
  ascending.forEach(([name, size], index) => {
    const share = Math.min(size, Math.floor(left / (ascending.length - index)))
    shares.set(name, share)
    left -= share
  })
  return shares
}

/** Returns the first items that fit, without those that are too long. */
export function takeFirst<Item> (items: readonly Item[], bytesOf: (item: Item) => number, maximumBytes: number): Item[] {
  const taken: Item[] = []
  let bytes = 0
  for (const item of items) {
    const size = bytesOf(item)
    if (bytes + size > maximumBytes) continue
    bytes += size
    taken.push(item)
  }
  return taken
}
