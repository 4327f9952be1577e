/**
 * A gateway's view of the deployment: the configuration in force and the list of upstreams, read from the store or, when
 * the store is unavailable, from peers. Neither ever reverts to an older state.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { START_POSITION, UNKNOWN_ERA } from '@plumstage/coordination'
import type { KeyValueSnapshot, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'
import { ConfigurationInForce } from './configurationInForce.js'
import type { IgnoredConfiguration } from './configurationInForce.js'
import type { ConfigurationPosition } from './configurationPosition.js'
import type { DeploymentDecoder } from './deploymentDecoder.js'
import { toStoredEntry } from './storedEntry.js'
import type { StoredEntry } from './storedEntry.js'
import { UpstreamList } from './upstreamList.js'
import type { UpstreamSnapshot } from './upstreamList.js'

/** The state that a gateway provides to peers that are behind or can't read the store. */
export interface DeploymentSnapshot {
  configuration?: StoredEntry
  upstreams: UpstreamSnapshot
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
  private readonly _configuration: ConfigurationInForce
  private readonly _upstreams: UpstreamList

  private constructor (decoder: DeploymentDecoder) {
    this._decoder = decoder
    this._configuration = ConfigurationInForce.create(decoder)
    this._upstreams = UpstreamList.create(decoder)
  }

  static create (decoder: DeploymentDecoder): DeploymentView {
    return new DeploymentView(decoder)
  }

  /** The configuration in force; undefined before the first was read. */
  get configuration (): Configuration | undefined {
    return this._configuration.configuration
  }

  /** Undefined before the first configuration was read. */
  get configurationPosition (): ConfigurationPosition | undefined {
    return this._configuration.position
  }

  /** Revision of the configuration in force, in its era; 0 before the first was read. */
  get configurationRevision (): number {
    return this._configuration.position?.revision ?? START_POSITION.revision
  }

  /** Position of the last known change to the list of upstreams. */
  get upstreamsPosition (): StorePosition {
    return this._upstreams.position
  }

  get upstreamsRevision (): number {
    return this._upstreams.position.revision
  }

  /** Whether there was no room for an upstream since the last snapshot of the store was applied. */
  get hasLeftOut (): boolean {
    return this._upstreams.hasLeftOut
  }

  /** When the view changes next without an update; undefined when it does not. */
  get nextExpiryAt (): Timestamp | undefined {
    return this._upstreams.nextExpiryAt
  }

  /** Records that the store has become available again after an outage. */
  recordStoreRecovery (now: Timestamp): void {
    this._upstreams.recordStoreRecovery(now)
  }

  /** Applies all entries of the store; `isReturn` states that it has come back from a copy since the last ones, within the same era. */
  applyStoreSnapshot (snapshot: KeyValueSnapshot, now: Timestamp, isReturn = false): ViewChange {
    const era = this._eraOf(snapshot)
    const entries = snapshot.entries.map(entry => toStoredEntry(entry, era))
    const change: ViewChange = { configuration: false, upstreams: false }
    for (const entry of entries) if (this._kindOf(entry.key) === 'configuration') this._offerConfiguration(entry, change)
    const upstreams = entries.filter(entry => this._kindOf(entry.key) === 'upstream')
    change.upstreams = this._upstreams.applySnapshot({ era, revision: snapshot.revision, entries: upstreams }, now, isReturn)
    return change
  }

  /** Applies changes reported by a watch, in order. */
  applyStoreChanges (batch: KeyValueWatchBatch, now: Timestamp): ViewChange {
    const era = this._eraOf(batch)
    const result: ViewChange = { configuration: false, upstreams: false }
    for (const change of batch.changes) {
      if (change.kind === 'put') this._put(toStoredEntry(change.entry, era), result)
      else if (this._kindOf(change.key) === 'upstream') result.upstreams = this._upstreams.remove(change.key, { era, revision: change.modRevision }, now) || result.upstreams
    }
    this._upstreams.recordCaughtUp()
    return result
  }

  /** Applies those parts of a peer's snapshot that are newer. */
  applyPeerSnapshot (snapshot: DeploymentSnapshot, now: Timestamp): ViewChange {
    const change: ViewChange = { configuration: false, upstreams: false }
    if (snapshot.configuration) this._offerConfiguration(snapshot.configuration, change)
    change.upstreams = this._upstreams.applyPeerSnapshot(snapshot.upstreams, now)
    return change
  }

  /** Returns the snapshot for peers, without entries that are missing in the store. */
  exportSnapshot (): DeploymentSnapshot {
    return { configuration: this._configuration.entry, upstreams: this._upstreams.exportSnapshot() }
  }

  /** Applies what changes with time alone; returns whether the list of upstreams has changed. */
  expire (now: Timestamp): boolean {
    return this._upstreams.expire(now)
  }

  /** Returns the upstreams that are in use. */
  listUpstreams (): ListedUpstream[] {
    return this._upstreams.listUpstreams()
  }

  private _put (entry: StoredEntry, change: ViewChange): void {
    const kind = this._kindOf(entry.key)
    if (kind === 'configuration') this._offerConfiguration(entry, change)
    if (kind === 'upstream') change.upstreams = this._upstreams.put(entry) || change.upstreams
  }

  private _offerConfiguration (entry: StoredEntry, change: ViewChange): void {
    const outcome = this._configuration.offer(entry)
    if (outcome.kind === 'adopted') change.configuration = true
    if (outcome.kind === 'ignored') change.ignoredConfiguration ??= outcome.ignored
  }

  /** A store that does not state its era is taken to be in the latest one that is known. */
  private _eraOf ({ era }: StorePosition): number {
    return era === UNKNOWN_ERA ? this._upstreams.position.era : era
  }

  private _kindOf (key: string): 'configuration' | 'upstream' | 'other' {
    return this._decoder.classify(key).kind
  }
}
