/**
 * Positions in the history of a key-value service. Revisions order changes only within one era: when the service comes
 * back from a copy of its data, a new era begins, and revisions that were lost are given out again.
 *
 * @module
 */

/** Era of a service that does not state one. */
export const UNKNOWN_ERA = 0

/** A point in the history of a key-value service. */
export interface StorePosition {
  /** How often the service has come back from a copy, by its own count; `UNKNOWN_ERA` if it does not state that. */
  era: number
  revision: number
}

/** Largest era that can be combined with a revision into one exact number. */
export const MAXIMUM_ERA = 8191
/** Revisions of one era, as far as they can be combined with an era. */
const REVISIONS_PER_ERA = 2 ** 40

/** Precedes every change. */
export const START_POSITION: StorePosition = { era: UNKNOWN_ERA, revision: 0 }

/** Whether one position is after another. */
export function isLater (left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era ? left.revision > right.revision : left.era > right.era
}

export function latestOf (left: StorePosition, right: StorePosition): StorePosition {
  return isLater(right, left) ? right : left
}

/** Returns one number that orders positions like `isLater`. Without a stated era it is the revision. */
export function toNumber ({ era, revision }: StorePosition): number {
  return era * REVISIONS_PER_ERA + revision
}
