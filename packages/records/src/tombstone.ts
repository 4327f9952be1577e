/**
 * Tombstones of deleted records. A tombstone stays stored, so that a deleted record is distinguishable from a lost one.
 *
 * @module
 */

const TOMBSTONE = '{"deleted":true}'

/** Returns the value that is stored in place of a deleted record. */
export function formatTombstone (): string {
  return TOMBSTONE
}

export function isTombstone (value: string): boolean {
  return value === TOMBSTONE
}
