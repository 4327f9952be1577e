/**
 * State of the key-value stand-in: keys with revisions, a history for watches, and leases.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const MILLISECONDS_PER_SECOND = 1000

/** One version of a key. */
export interface StoredKeyValue {
  key: string
  value: Uint8Array
  createRevision: number
  modRevision: number
  version: number
  lease: bigint
}

/** One change in the history. A deletion carries only the key and its revision. */
export interface StoredChange {
  kind: 'put' | 'delete'
  entry: StoredKeyValue
}

/** A single key, or all keys from `key` up to, but not including, `rangeEnd`. */
export interface KeyRange {
  key: string
  rangeEnd?: string
}

interface StoredLease {
  timeToLiveSeconds: number
  deadline: Timestamp
  keys: Set<string>
}

/** Receives the changes of one revision. */
export type ChangeListener = (revision: number, changes: readonly StoredChange[]) => void

/** The state of the key-value service. Revisions start at 1, as in etcd. */
export class KeyValueStore {
  private _revision = 1
  private _compactedRevision = 0
  private _nextLease = 1n
  private readonly _keys = new Map<string, StoredKeyValue>()
  private readonly _history: StoredChange[] = []
  private readonly _leases = new Map<bigint, StoredLease>()
  private readonly _listeners = new Set<ChangeListener>()
  private _pending: StoredChange[] = []

  static create (): KeyValueStore {
    return new KeyValueStore()
  }

  get revision (): number {
    return this._revision
  }

  get compactedRevision (): number {
    return this._compactedRevision
  }

  read (range: KeyRange): StoredKeyValue[] {
    const single = range.rangeEnd === undefined
    if (single) return this._keys.has(range.key) ? [this._keys.get(range.key)!] : []
    const entries = [...this._keys.values()].filter(entry => isInRange(range, entry.key))
    return entries.sort((left, right) => left.key < right.key ? -1 : 1)
  }

  /** Commits all writes made by `change` as one revision and returns the current revision. */
  write (change: () => void): number {
    change()
    return this._commit()
  }

  /** Writes a key. Must be called within `write`. */
  put (key: string, value: Uint8Array, lease: bigint): void {
    const previous = this._keys.get(key)
    const revision = this._revision + 1
    const entry = { key, value, createRevision: previous?.createRevision ?? revision, modRevision: revision, version: (previous?.version ?? 0) + 1, lease }
    if (previous) this._leases.get(previous.lease)?.keys.delete(key)
    this._leases.get(lease)?.keys.add(key)
    this._keys.set(key, entry)
    this._pending.push({ kind: 'put', entry })
  }

  /** Deletes the keys of a range and returns their number. Must be called within `write`. */
  delete (range: KeyRange): number {
    const entries = this.read(range)
    for (const entry of entries) {
      this._keys.delete(entry.key)
      this._leases.get(entry.lease)?.keys.delete(entry.key)
      this._pending.push({ kind: 'delete', entry: { key: entry.key, value: new Uint8Array(), createRevision: 0, modRevision: this._revision + 1, version: 0, lease: 0n } })
    }
    return entries.length
  }

  hasLease (lease: bigint): boolean {
    return this._leases.has(lease)
  }

  grantLease (timeToLiveSeconds: number, now: Timestamp): bigint {
    const id = this._nextLease++
    this._leases.set(id, { timeToLiveSeconds, deadline: now + timeToLiveSeconds * MILLISECONDS_PER_SECOND, keys: new Set() })
    return id
  }

  /** Extends a lease and returns its time to live in seconds, or 0 when it has expired. */
  keepLeaseAlive (id: bigint, now: Timestamp): number {
    this.expireLeases(now)
    const lease = this._leases.get(id)
    if (!lease) return 0
    lease.deadline = now + lease.timeToLiveSeconds * MILLISECONDS_PER_SECOND
    return lease.timeToLiveSeconds
  }

  revokeLease (id: bigint): boolean {
    const lease = this._leases.get(id)
    if (!lease) return false
    this._leases.delete(id)
    this.write(() => { for (const key of lease.keys) this.delete({ key }) })
    return true
  }

  expireLeases (now: Timestamp): void {
    for (const [id, lease] of this._leases) if (lease.deadline <= now) this.revokeLease(id)
  }

  /** Discards the history up to and including `revision`. */
  compact (revision: number): void {
    this._compactedRevision = Math.max(this._compactedRevision, Math.min(revision, this._revision))
    const keep = this._history.findIndex(change => change.entry.modRevision > this._compactedRevision)
    this._history.splice(0, keep === -1 ? this._history.length : keep)
  }

  /** Returns the changes in a range since `revision`, inclusive. */
  readHistory (range: KeyRange, revision: number): StoredChange[] {
    return this._history.filter(change => change.entry.modRevision >= revision && isInRange(range, change.entry.key))
  }

  /** Adds a listener that is called after every revision; returns a function that removes it. */
  addListener (listener: ChangeListener): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Returns a copy of all keys, as a backup of the service would contain. */
  backUp (): StoredKeyValue[] {
    return [...this._keys.values()]
  }

  /** Replaces all keys by those of a backup taken at `revision`, and discards the history. */
  restore (entries: readonly StoredKeyValue[], revision: number): void {
    this._keys.clear()
    this._history.length = 0
    for (const entry of entries) this._keys.set(entry.key, entry)
    this._revision = revision
    this._compactedRevision = revision
  }

  private _commit (): number {
    if (this._pending.length === 0) return this._revision
    this._revision++
    const changes = this._pending
    this._pending = []
    this._history.push(...changes)
    for (const listener of this._listeners) listener(this._revision, changes)
    return this._revision
  }
}

/** Whether a key lies in a range; a range end of one zero byte means all keys from `key` on. */
export function isInRange (range: KeyRange, key: string): boolean {
  if (range.rangeEnd === undefined) return key === range.key
  return key >= range.key && (range.rangeEnd === '\0' || key < range.rangeEnd)
}
