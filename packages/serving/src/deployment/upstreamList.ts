/**
 * The list of upstreams as one gateway knows it, from the store or from peers. It never reverts: not to an older entry,
 * and not to what the store still holds after it has come back from a copy.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'
import { EntryBudget, START_POSITION, isLater, latestOf } from '@plumstage/coordination'
import type { StorePosition } from '@plumstage/coordination'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'
import type { DeploymentDecoder } from './deploymentDecoder.js'
import { DepartedUpstreams } from './departedUpstreams.js'
import type { StoredEntry } from './storedEntry.js'
import { shortenUpstreamValue } from './upstreamValue.js'

/**
 * Time after an outage of the store, or after its return from a copy, during which missing entries are retained. Leases
 * of running upstreams may have expired, or their entries may be lost; the upstreams write them again within this time.
 */
const RETENTION_AFTER_OUTAGE_MILLISECONDS = 1900
/**
 * Maximum retention of an entry that was deleted after the store had responded again: its lease may still have expired
 * because of the outage, but the upstream can already write it again with its next heartbeat.
 */
const RETENTION_AFTER_LATE_DELETION_MILLISECONDS = 1200
/**
 * How long an entry that has come back with a copy, of an upstream that had left, is not used. Unless the upstream is
 * alive, its entry expires within three heartbeats.
 */
const WITHHOLDING_MILLISECONDS = 4000
/** Bounds the entries that are kept; beyond it, no upstreams are added. */
const MAXIMUM_KEPT_BYTES = 12 * 1024 * 1024
/** Value of an entry that names no upstream: nobody needs more of it. */
const NO_VALUE = ''

/** All entries of upstreams, in the form in which gateways exchange them. */
export interface UpstreamSnapshot extends StorePosition {
  entries: readonly StoredEntry[]
}

interface KnownUpstream {
  entry: StoredEntry
  /** Undefined when the entry is invalid. */
  listed: ListedUpstream | undefined
  /** Set when the entry is missing in the store and may be written again; it stays in use until this time. */
  retainedUntil?: Timestamp
  /** Set when the entry may be that of an upstream that has left; it is not used until this time. */
  withheldUntil?: Timestamp
}

/** The upstreams that one gateway knows. */
export class UpstreamList {
  private readonly _decoder: DeploymentDecoder
  private readonly _known = new Map<string, KnownUpstream>()
  private readonly _departed = DepartedUpstreams.create()
  private readonly _budget = EntryBudget.create(MAXIMUM_KEPT_BYTES)
  private readonly _log = getLogger('deployment')
  private _hasLeftOut = false
  private _position = START_POSITION
  /** Position of the last list applied from a peer, which includes all changes up to it. */
  private _peerPosition = START_POSITION
  private _storeRecoveredAt: Timestamp = Number.NEGATIVE_INFINITY
  /** Whether all changes that the store made during the last outage have been applied. */
  private _caughtUpSinceRecovery = true

  private constructor (decoder: DeploymentDecoder) {
    this._decoder = decoder
  }

  static create (decoder: DeploymentDecoder): UpstreamList {
    return new UpstreamList(decoder)
  }

  /** Position of the last known change. */
  get position (): StorePosition {
    return this._position
  }

  /** Whether there was no room for an entry since the last snapshot of the store was applied. */
  get hasLeftOut (): boolean {
    return this._hasLeftOut
  }

  /** Records that the store has become available again after an outage. */
  recordStoreRecovery (now: Timestamp): void {
    this._storeRecoveredAt = now
    this._caughtUpSinceRecovery = false
  }

  /**
   * Applies all entries of the store at a position; returns whether the list has changed. `isReturn` states that the store
   * has come back from a copy without a new era.
   */
  applySnapshot (snapshot: UpstreamSnapshot, now: Timestamp, isReturn = false): boolean {
    if (snapshot.era < this._position.era) return false
    this._hasLeftOut = false
    const changed = isReturn || this._isReturn(snapshot) ? this._beginEra(snapshot, now) : this._replaceWithin(snapshot, now)
    this._caughtUpSinceRecovery = true
    return changed
  }

  /** Applies an entry that the store has written; returns whether the list has changed. */
  put (entry: StoredEntry): boolean {
    if (!this._isNewer(entry)) return false
    this._position = latestOf(this._position, entry)
    this._set(entry)
    return true
  }

  /** Applies the deletion of an entry; returns whether the list has changed. */
  remove (key: string, position: StorePosition, now: Timestamp): boolean {
    if (!this._isNewer({ key, ...position })) return false
    this._position = latestOf(this._position, position)
    return this._drop(key, now)
  }

  /** Records that all changes since the store recovered have been applied. */
  recordCaughtUp (): void {
    this._caughtUpSinceRecovery = true
  }

  /** Applies the list of a peer if it is newer; returns whether it was. */
  applyPeerSnapshot (snapshot: UpstreamSnapshot, now: Timestamp): boolean {
    if (!isLater(snapshot, this._position)) return false
    if (this._isReturn(snapshot)) this._beginEra(snapshot, now)
    else this._replaceAll(snapshot, now)
    this._position = { era: snapshot.era, revision: snapshot.revision }
    this._peerPosition = this._position
    return true
  }

  /** Returns the list for peers, without entries that are missing in the store. */
  exportSnapshot (): UpstreamSnapshot {
    const entries = [...this._known.values()].filter(known => known.retainedUntil === undefined).map(known => known.entry)
    return { ...this._position, entries }
  }

  /** Returns the upstreams of the list that are in use. */
  listUpstreams (): ListedUpstream[] {
    return [...this._known.values()].filter(known => known.withheldUntil === undefined).map(known => known.listed).filter((listed): listed is ListedUpstream => listed !== undefined)
  }

  /** When the next retention or withholding ends; undefined when there is none. */
  get nextExpiryAt (): Timestamp | undefined {
    const times = [...this._known.values()].flatMap(({ retainedUntil, withheldUntil }) => [retainedUntil, withheldUntil]).filter(time => time !== undefined)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Ends the retentions and withholdings whose time has passed; returns whether there were any. */
  expire (now: Timestamp): boolean {
    let expired = false
    for (const [key, known] of this._known) {
      if (known.retainedUntil !== undefined && known.retainedUntil <= now) {
        this._forget(key, now)
        expired = true
      }
      if (known.withheldUntil !== undefined && known.withheldUntil <= now) {
        known.withheldUntil = undefined
        expired = true
      }
    }
    return expired
  }

  /** Whether a snapshot is the first after the store has come back from a copy, rather than the first of all. */
  private _isReturn ({ era }: StorePosition): boolean {
    return era > this._position.era && this._position.revision > 0
  }

  private _replaceAll ({ entries }: UpstreamSnapshot, now: Timestamp): void {
    const keys = new Set(entries.map(entry => entry.key))
    for (const key of [...this._known.keys()]) if (!keys.has(key)) this._forget(key, now)
    for (const entry of entries) this._set(entry)
  }

  /** Applies a snapshot of the era that is known. */
  private _replaceWithin (snapshot: UpstreamSnapshot, now: Timestamp): boolean {
    const keys = new Set(snapshot.entries.map(entry => entry.key))
    this._position = latestOf(this._position, { era: snapshot.era, revision: 0 })
    let changed = false
    for (const [key, known] of [...this._known]) {
      const isMissing = !keys.has(key) && known.retainedUntil === undefined && !isLater(known.entry, snapshot)
      if (isMissing && !isLater(this._peerPosition, snapshot)) changed = this._drop(key, now) || changed
    }
    for (const entry of snapshot.entries) changed = this.put(entry) || changed
    return changed
  }

  /**
   * Applies the first snapshot after a return of the store, which may be older than the list. Entries that are missing are retained
   * until their upstreams had time to write them again; what is known of leaving and departed upstreams stays so.
   */
  private _beginEra (snapshot: UpstreamSnapshot, now: Timestamp): boolean {
    this.recordStoreRecovery(now)
    const keys = new Set(snapshot.entries.map(entry => entry.key))
    for (const key of [...this._known.keys()]) if (!keys.has(key)) this._drop(key, now)
    this._position = { era: snapshot.era, revision: 0 }
    this._peerPosition = START_POSITION
    for (const entry of snapshot.entries) this._setInNewEra(entry, now)
    this._caughtUpSinceRecovery = true
    return true
  }

  private _setInNewEra (entry: StoredEntry, now: Timestamp): void {
    this._position = latestOf(this._position, entry)
    const known = this._known.get(entry.key)
    const hasDeparted = this._departed.has(entry.key, now)
    this._set(this._staysLeaving(known, entry) ? { ...entry, value: known!.entry.value } : entry)
    const kept = this._known.get(entry.key)
    if (kept && hasDeparted) kept.withheldUntil = now + WITHHOLDING_MILLISECONDS
  }

  /** Whether the copy says that an upstream is ready which is known to be leaving. */
  private _staysLeaving (known: KnownUpstream | undefined, entry: StoredEntry): boolean {
    if (known?.listed?.state !== 'leaving') return false
    const decoded = this._decode(entry)
    return decoded?.state === 'ready' && decoded.incarnation === known.listed.incarnation
  }

  private _set (entry: StoredEntry): void {
    const key = this._decoder.classify(entry.key)
    if (key.kind !== 'upstream') return
    const previous = this._known.get(entry.key)
    if (!previous && this._budget.isFull) return void (this._hasLeftOut = true)
    const listed = this._decode(entry)
    const value = listed ? shortenUpstreamValue(this._decoder, key.id, entry.value) : NO_VALUE
    if (previous) this._budget.release(entry.key, previous.entry.value)
    this._budget.take(entry.key, value)
    this._departed.remove(entry.key)
    this._known.set(entry.key, { entry: { ...entry, value }, listed })
  }

  private _decode (entry: StoredEntry): ListedUpstream | undefined {
    const key = this._decoder.classify(entry.key)
    if (key.kind !== 'upstream') return undefined
    const decoded = this._decoder.decodeUpstream(key.id, entry.value)
    if (decoded.isOk()) return decoded.value
    this._log.warn(`Entry ${entry.key} at revision ${entry.revision} is ignored: ${decoded.error.message}`)
    return undefined
  }

  private _isNewer (change: StorePosition & { key: string }): boolean {
    if (!isLater(change, this._peerPosition)) return false
    const known = this._known.get(change.key)
    return known === undefined || known.retainedUntil !== undefined || isLater(change, known.entry)
  }

  /** Removes an entry, but retains that of a ready upstream when the store has just recovered; returns whether the entry was removed. */
  private _drop (key: string, now: Timestamp): boolean {
    const known = this._known.get(key)
    if (!known) return false
    const retainedUntil = this._retentionEndOf(now)
    if (retainedUntil > now && known.listed?.state === 'ready' && known.withheldUntil === undefined) {
      known.retainedUntil = retainedUntil
      return false
    }
    this._forget(key, now)
    return true
  }

  private _forget (key: string, now: Timestamp): void {
    const known = this._known.get(key)
    if (known) this._budget.release(key, known.entry.value)
    this._known.delete(key)
    this._departed.add(key, now)
  }

  /** Returns until when an entry that is deleted now would be retained. */
  private _retentionEndOf (now: Timestamp): Timestamp {
    const end = this._storeRecoveredAt + RETENTION_AFTER_OUTAGE_MILLISECONDS
    return this._caughtUpSinceRecovery ? Math.min(end, now + RETENTION_AFTER_LATE_DELETION_MILLISECONDS) : end
  }
}
