/**
 * A gateway's view of the deployment: the configuration in force and the list of upstreams, read from the store or, when
 * the store is unavailable, from peers. Neither ever reverts to an older revision.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'
import type { KeyValueChange, KeyValueEntry } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'
import type { DeploymentDecoder } from './deploymentDecoder.js'

/**
 * Time after an outage of the store during which deleted entries are retained. Leases of running upstreams may have
 * expired during the outage; the upstreams write their entries again within this time.
 */
const RETENTION_AFTER_OUTAGE_MILLISECONDS = 1900
/**
 * Maximum retention of an entry that was deleted after the store had responded again: its lease may still have expired
 * because of the outage, but the upstream can already write it again with its next heartbeat.
 */
const RETENTION_AFTER_LATE_DELETION_MILLISECONDS = 1200

/** One entry as it is stored. */
export interface StoredEntry {
  key: string
  value: string
  revision: number
}

/** The list of upstreams in the form in which gateways exchange it. */
export interface UpstreamSnapshot {
  /** All changes up to this revision are included. */
  revision: number
  entries: StoredEntry[]
}

/** The state that a gateway provides to peers that are behind or can't read the store. */
export interface DeploymentSnapshot {
  configuration?: StoredEntry
  upstreams: UpstreamSnapshot
}

interface KnownUpstream {
  entry: StoredEntry
  /** Undefined when the entry is invalid. */
  listed: ListedUpstream | undefined
  /** Set when the entry was deleted shortly after an outage of the store; it stays in use until this time. */
  retainedUntil?: Timestamp
}

/** Why a configuration that was received did not come into force. */
export type IgnoreReason =
  /** The configuration in force is newer. */
  | 'older'
  /** It can't be decoded. */
  | 'unreadable'

/** A configuration that was received and did not come into force. */
export interface IgnoredConfiguration {
  reason: IgnoreReason
  revision: number
}

/** Which parts of the view an update has changed. */
export interface ViewChange {
  configuration: boolean
  upstreams: boolean
  /** Set when the update contained a configuration that did not come into force, other than the one in force itself. */
  ignoredConfiguration?: IgnoredConfiguration
}

/** The configuration and the upstreams that one gateway knows. */
export class DeploymentView {
  private readonly _decoder: DeploymentDecoder
  private readonly _upstreams = new Map<string, KnownUpstream>()
  private readonly _log = getLogger('deployment')
  private _configuration: Configuration | undefined
  private _configurationEntry: StoredEntry | undefined
  private _upstreamsRevision = 0
  /** Revision of the last list of upstreams applied from a peer, which includes all changes up to it. */
  private _peerSnapshotRevision = 0
  private _storeRecoveredAt: Timestamp = Number.NEGATIVE_INFINITY
  /** Whether all changes that the store made during the last outage have been applied. */
  private _caughtUpSinceRecovery = true

  private constructor (decoder: DeploymentDecoder) {
    this._decoder = decoder
  }

  static create (decoder: DeploymentDecoder): DeploymentView {
    return new DeploymentView(decoder)
  }

  /** The configuration in force; undefined before the first was read. */
  get configuration (): Configuration | undefined {
    return this._configuration
  }

  get configurationRevision (): number {
    return this._configurationEntry?.revision ?? 0
  }

  /** Revision of the last known change to the list of upstreams. */
  get upstreamsRevision (): number {
    return this._upstreamsRevision
  }

  /** Records that the store has become available again after an outage. */
  recordStoreRecovery (now: Timestamp): void {
    this._storeRecoveredAt = now
    this._caughtUpSinceRecovery = false
  }

  /** Applies a snapshot of all entries of the store. */
  applyStoreSnapshot (entries: readonly KeyValueEntry[], now: Timestamp): ViewChange {
    const keys = new Set(entries.map(entry => entry.key))
    const change: ViewChange = { configuration: false, upstreams: false }
    for (const [key, known] of [...this._upstreams]) if (!keys.has(key) && known.retainedUntil === undefined) change.upstreams = this._remove(key, now) || change.upstreams
    for (const entry of entries) mergeChange(change, this._put(entry))
    this._caughtUpSinceRecovery = true
    return change
  }

  /** Applies changes reported by a watch, in order. */
  applyStoreChanges (changes: readonly KeyValueChange[], now: Timestamp): ViewChange {
    const result: ViewChange = { configuration: false, upstreams: false }
    for (const change of changes) {
      if (change.kind === 'put') mergeChange(result, this._put(change.entry))
      else if (this._isNewer(change.key, change.modRevision)) {
        result.upstreams = this._remove(change.key, now) || result.upstreams
        if (this._decoder.classify(change.key).kind === 'upstream') this._upstreamsRevision = Math.max(this._upstreamsRevision, change.modRevision)
      }
    }
    this._caughtUpSinceRecovery = true
    return result
  }

  /** Applies those parts of a peer's snapshot that are newer. */
  applyPeerSnapshot (snapshot: DeploymentSnapshot): ViewChange {
    const change: ViewChange = { configuration: false, upstreams: false }
    if (snapshot.configuration) mergeChange(change, this._putConfiguration(snapshot.configuration))
    if (snapshot.upstreams.revision <= this._upstreamsRevision) return change
    this._upstreams.clear()
    for (const entry of snapshot.upstreams.entries) this._putUpstream(entry)
    this._peerSnapshotRevision = snapshot.upstreams.revision
    this._upstreamsRevision = snapshot.upstreams.revision
    change.upstreams = true
    return change
  }

  /** Returns the snapshot for peers, without entries that are only retained after an outage. */
  exportSnapshot (): DeploymentSnapshot {
    const entries = [...this._upstreams.values()].filter(known => known.retainedUntil === undefined).map(known => known.entry)
    return { configuration: this._configurationEntry, upstreams: { revision: this._upstreamsRevision, entries } }
  }

  /** When the next retention ends; undefined when no entry is retained. */
  get nextExpiryAt (): Timestamp | undefined {
    let next: Timestamp | undefined
    for (const { retainedUntil } of this._upstreams.values()) if (retainedUntil !== undefined && (next === undefined || retainedUntil < next)) next = retainedUntil
    return next
  }

  /** Removes entries whose retention has ended; returns whether there were any. */
  expire (now: Timestamp): boolean {
    let expired = false
    for (const [key, known] of this._upstreams) {
      if (known.retainedUntil === undefined || known.retainedUntil > now) continue
      this._upstreams.delete(key)
      expired = true
    }
    return expired
  }

  /** Returns the upstreams of the list, including those that are retained after an outage of the store. */
  listUpstreams (): ListedUpstream[] {
    return [...this._upstreams.values()].map(known => known.listed).filter((listed): listed is ListedUpstream => listed !== undefined)
  }

  private _put (entry: KeyValueEntry): ViewChange {
    const stored = { key: entry.key, value: entry.value, revision: entry.modRevision }
    const { kind } = this._decoder.classify(entry.key)
    if (kind === 'configuration') return this._putConfiguration(stored)
    if (kind !== 'upstream' || !this._isNewer(stored.key, stored.revision)) return { configuration: false, upstreams: false }
    this._upstreamsRevision = Math.max(this._upstreamsRevision, stored.revision)
    this._putUpstream(stored)
    return { configuration: false, upstreams: true }
  }

  private _putConfiguration (entry: StoredEntry): ViewChange {
    if (entry.revision <= this.configurationRevision) return ignore(entry.value === this._configurationEntry?.value ? undefined : { reason: 'older', revision: entry.revision })
    const decoded = this._decoder.decodeConfiguration(entry.value, entry.revision)
    if (decoded.isErr()) {
      this._log.error(`The configuration at revision ${entry.revision} is ignored: ${decoded.error.message}`)
      return ignore({ reason: 'unreadable', revision: entry.revision })
    }
    this._configuration = decoded.value
    this._configurationEntry = entry
    return { configuration: true, upstreams: false }
  }

  private _putUpstream (entry: StoredEntry): void {
    const key = this._decoder.classify(entry.key)
    if (key.kind !== 'upstream') return
    const decoded = this._decoder.decodeUpstream(key.id, entry.value)
    if (decoded.isErr()) this._log.warn(`Entry ${entry.key} at revision ${entry.revision} is ignored: ${decoded.error.message}`)
    this._upstreams.set(entry.key, { entry, listed: decoded.isOk() ? decoded.value : undefined })
  }

  private _isNewer (key: string, revision: number): boolean {
    if (revision <= this._peerSnapshotRevision) return false
    const known = this._upstreams.get(key)
    return known === undefined || known.retainedUntil !== undefined || revision > known.entry.revision
  }

  /** Removes an entry, but retains that of a ready upstream when the store has just recovered from an outage; returns whether the entry was removed. */
  private _remove (key: string, now: Timestamp): boolean {
    const known = this._upstreams.get(key)
    if (!known) return false
    const retainedUntil = this._retentionEndOf(now)
    if (retainedUntil > now && known.listed?.state === 'ready') {
      known.retainedUntil = retainedUntil
      return false
    }
    this._upstreams.delete(key)
    return true
  }

  /** Returns until when an entry that is deleted now would be retained. */
  private _retentionEndOf (now: Timestamp): Timestamp {
    const end = this._storeRecoveredAt + RETENTION_AFTER_OUTAGE_MILLISECONDS
    return this._caughtUpSinceRecovery ? Math.min(end, now + RETENTION_AFTER_LATE_DELETION_MILLISECONDS) : end
  }
}

function ignore (ignoredConfiguration: IgnoredConfiguration | undefined): ViewChange {
  return { configuration: false, upstreams: false, ignoredConfiguration }
}

function mergeChange (target: ViewChange, change: ViewChange): void {
  target.configuration ||= change.configuration
  target.upstreams ||= change.upstreams
  target.ignoredConfiguration ??= change.ignoredConfiguration
}
