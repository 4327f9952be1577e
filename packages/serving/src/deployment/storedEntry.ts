/**
 * Entries of the store in the form in which gateways keep and exchange them.
 *
 * @module
 */
import type { KeyValueEntry, StorePosition } from '@plumstage/coordination'

/** One entry as it is stored, with the position of its last change. */
export interface StoredEntry extends StorePosition {
  key: string
  value: string
}

/** Returns an entry that was read from the store in an era. */
export function toStoredEntry ({ key, value, modRevision }: KeyValueEntry, era: number): StoredEntry {
  return { key, value, era, revision: modRevision }
}
