/**
 * Interface to the platform's key-value service: transactions with compare-and-swap, leases and watches.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { PlumstageError } from '@plumstage/common'
import type { CallContext } from '@plumstage/common'
import type { EntrySelection } from './entrySelection.js'
import type { StorePosition } from './storePosition.js'

/** What is known about the effect of a failed call. */
export type KeyValueErrorKind =
  /** The service refused the call, or a read failed; nothing was written. */
  | 'refused'
  /** No response was received; a write may or may not have taken effect. */
  | 'ambiguous'
  /** No call has failed, but what is known may have been lost since the last one; a watch has to begin again. */
  | 'interrupted'
  /** The requested changes can't be had, because they were compacted or are too many; a new snapshot has to be read. */
  | 'compacted'
  /** The service has come back from a copy, so that positions before are no longer valid; a new snapshot has to be read. */
  | 'restored'

const KeyValueErrorClass = PlumstageError.subclass('KeyValueError')

/** A call to the key-value service failed. */
export type KeyValueError = InstanceType<typeof KeyValueErrorClass> & { kind: KeyValueErrorKind }

export const KeyValueError = {
  create (kind: KeyValueErrorKind, message: string): KeyValueError {
    return new KeyValueErrorClass(message, { props: { kind, code: `key_value_${kind}` } }) as KeyValueError
  }
}

/** One key with its value and revisions. */
export interface KeyValueEntry {
  key: string
  value: string
  /** Revision at which the key was created. */
  createRevision: number
  /** Revision of the last write to the key. */
  modRevision: number
}

/** The entries below a prefix, at one position. A watch from the revision after it on reports all later changes. */
export interface KeyValueSnapshot extends StorePosition {
  entries: KeyValueEntry[]
  /** Number of entries for which there was no room; absent if there was room for all. */
  leftOut?: number
}

/** A condition of a transaction; revision 0 means that the key does not exist. */
export type KeyValueCondition =
  | { kind: 'mod-revision', key: string, revision: number }
  | { kind: 'create-revision', key: string, revision: number }

/** A write or a read of a transaction. */
export type KeyValueOperation =
  | { kind: 'put', key: string, value: string, lease?: bigint }
  | { kind: 'delete', key: string }
  | { kind: 'get', key: string }

/** Operations that are applied atomically if all conditions hold, and those that are applied otherwise. */
export interface KeyValueTransaction {
  conditions: KeyValueCondition[]
  onSuccess: KeyValueOperation[]
  onFailure: KeyValueOperation[]
}

/** The position is that of the write, or of the store when nothing was written. */
export interface KeyValueTransactionOutcome extends StorePosition {
  succeeded: boolean
  /** Entries that the `get` operations found, in order. */
  entries: KeyValueEntry[]
}

/** A change reported by a watch. */
export type KeyValueChange =
  | { kind: 'put', entry: KeyValueEntry }
  | { kind: 'delete', key: string, modRevision: number }

/** All changes up to a position. A batch without changes shows that the watch works. */
export interface KeyValueWatchBatch extends StorePosition {
  changes: KeyValueChange[]
}

/** A lease. The keys attached to it are deleted when it expires. */
export interface KeyValueLease {
  /** Never given out again, also not after the service has come back from a copy. */
  id: bigint
  /** Time to live in seconds as granted by the service; it may differ from the requested one. */
  timeToLiveSeconds: number
}

/** Interface to the platform's key-value service. */
export interface KeyValueService {
  /** Era of the service as far as it is known; positions and leases of earlier ones are no longer valid. */
  readonly era: number
  /** Reads one key. */
  get (context: CallContext, key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Reads all entries whose keys start with `prefix`, as far as `selection` keeps them; by default whole, up to a bound. */
  list (context: CallContext, prefix: string, selection?: EntrySelection): Promise<Result<KeyValueSnapshot, KeyValueError>>
  transact (context: CallContext, transaction: KeyValueTransaction): Promise<Result<KeyValueTransactionOutcome, KeyValueError>>
  /**
   * Reports the changes below `prefix` from `start` on, as far as the selection keeps them that is created for each batch; by
   * default whole, up to a bound. Ends with an error if the watch is lost.
   */
  watch (context: CallContext, prefix: string, start: StorePosition, createSelection?: () => EntrySelection): AsyncIterable<Result<KeyValueWatchBatch, KeyValueError>>
  grantLease (context: CallContext, timeToLiveSeconds: number): Promise<Result<KeyValueLease, KeyValueError>>
  /** Renews a lease; undefined if it has expired. */
  keepLeaseAlive (context: CallContext, lease: bigint): Promise<Result<KeyValueLease | undefined, KeyValueError>>
  revokeLease (context: CallContext, lease: bigint): Promise<Result<void, KeyValueError>>
  /** Ends all leases that were granted to this gateway, as far as it is concerned: the service has come back from a copy without stating it. */
  invalidateLeases (): void
}
