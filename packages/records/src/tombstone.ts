/**
 * Marks of deleted records. A deleted record stays stored as a tombstone, so that its absence can be told from a loss.
 *
 * @module
 */

const TOMBSTONE = '{"deleted":true}'

/** The value stored in place of a deleted record. */
export function formatTombstone (): string {
  return TOMBSTONE
}

export function isTombstone (value: string): boolean {
  return value === TOMBSTONE
}
