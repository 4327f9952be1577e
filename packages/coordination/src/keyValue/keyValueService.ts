/**
 * The platform's key-value service as plumstage uses it: compare-and-swap, leases and watches.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { PlumstageError } from '@plumstage/common'
import type { CallContext } from '@plumstage/common'

/** What is known about a call that failed. */
export type KeyValueErrorKind =
  /** The service refused the call or could not be asked; nothing was written. */
  | 'refused'
  /** No answer came back; a write may or may not have taken effect. */
  | 'ambiguous'
  /** The revision asked for is no longer kept; take a new snapshot. */
  | 'compacted'

const KeyValueErrorClass = PlumstageError.subclass('KeyValueError')

/** A call to the key-value service failed. */
export type KeyValueError = InstanceType<typeof KeyValueErrorClass> & { kind: KeyValueErrorKind }

export const KeyValueError = {
  create (kind: KeyValueErrorKind, message: string): KeyValueError {
    return new KeyValueErrorClass(message, { props: { kind, code: `key_value_${kind}` } }) as KeyValueError
  }
}

/** One key with its value. */
export interface KeyValueEntry {
  key: string
  value: string
  /** Revision at which the key was created. */
  createRevision: number
  /** Revision of the last write to the key. */
  modRevision: number
}

/** All entries of a range at one revision. */
export interface KeyValueSnapshot {
  revision: number
  entries: KeyValueEntry[]
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

/** Operations that are carried out together when all conditions hold, and others when one does not. */
export interface KeyValueTransaction {
  conditions: KeyValueCondition[]
  onSuccess: KeyValueOperation[]
  onFailure: KeyValueOperation[]
}

export interface KeyValueTransactionOutcome {
  succeeded: boolean
  revision: number
  /** Entries that the `get` operations found, in order. */
  entries: KeyValueEntry[]
}

/** A change that a watch reports. */
export type KeyValueChange =
  | { kind: 'put', entry: KeyValueEntry }
  | { kind: 'delete', key: string, modRevision: number }

/** Changes up to one revision. A batch without changes says that the watch has started. */
export interface KeyValueWatchBatch {
  revision: number
  changes: KeyValueChange[]
}

/** A lease; keys attached to it vanish when it lapses. */
export interface KeyValueLease {
  id: bigint
  /** Seconds that the service granted. */
  timeToLiveSeconds: number
}

/** Interface to the platform's key-value service. */
export interface KeyValueService {
  /** Reads one key. */
  get (context: CallContext, key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Reads all keys that start with `prefix`. */
  list (context: CallContext, prefix: string): Promise<Result<KeyValueSnapshot, KeyValueError>>
  transact (context: CallContext, transaction: KeyValueTransaction): Promise<Result<KeyValueTransactionOutcome, KeyValueError>>
  /** Reports changes below `prefix` from `startRevision` on; ends with an error when the watch is lost. */
  watch (context: CallContext, prefix: string, startRevision: number): AsyncIterable<Result<KeyValueWatchBatch, KeyValueError>>
  grantLease (context: CallContext, timeToLiveSeconds: number): Promise<Result<KeyValueLease, KeyValueError>>
  /** Extends a lease; undefined when it has lapsed. */
  keepLeaseAlive (context: CallContext, lease: bigint): Promise<Result<KeyValueLease | undefined, KeyValueError>>
  revokeLease (context: CallContext, lease: bigint): Promise<Result<void, KeyValueError>>
}
