/**
 * Decides which configuration is in force. What was accepted never reverts: every record has a revision that only
 * rises, deleted records stay as tombstones, and a state that lacks or has an older revision of anything in force is
 * refused as a whole.
 *
 * @module
 */
import { Configuration, isTombstone, parseStoredRecord } from '@plumstage/records'
import type { ConfigurationRecord } from '@plumstage/records'

/** A record as it is stored, whatever its schema version. */
export interface StoredRecord {
  key: string
  value: string
  /** Revision at which it was written. */
  revision: number
}

/** Where a state came from. */
export type ConfigurationSource = 'key-value-service' | 'peer'

/** All stored records at one revision. */
export interface StoredState {
  source: ConfigurationSource
  /** Revision of the service when the state was read; at least that of its newest record. */
  revision: number
  records: readonly StoredRecord[]
}

/** What became of a state or of changes. */
export type AdoptionOutcome =
  | { kind: 'adopted', configuration: Configuration, unreadable: readonly UnreadableRecord[] }
  /** Nothing new. */
  | { kind: 'unchanged' }
  /** The state would take back something that is in force. */
  | { kind: 'refused', reason: string }

/** A record whose newest version can't be read; its last good version stays in force. */
export interface UnreadableRecord {
  key: string
  revision: number
  problem: string
}

interface TrackedRecord {
  stored: StoredRecord
  /** The newest version that could be read; undefined when there is none or the record was deleted. */
  lastValid: ConfigurationRecord | undefined
}

/** The records of one gateway. */
export class ConfigurationState {
  private readonly _records = new Map<string, TrackedRecord>()
  private readonly _unreadable = new Map<string, UnreadableRecord>()
  private _configuration = Configuration.create(0, [])

  static create (): ConfigurationState {
    return new ConfigurationState()
  }

  get configuration (): Configuration {
    return this._configuration
  }

  /** Revision of the newest record in force; 0 before any is. */
  get revision (): number {
    return this._configuration.revision
  }

  listUnreadable (): UnreadableRecord[] {
    return [...this._unreadable.values()]
  }

  /** Returns everything that another gateway needs to take over this state. */
  exportState (): StoredRecord[] {
    return [...this._records.values()].map(held => held.stored)
  }

  /** Takes a whole state, unless it would take back anything that is in force. */
  adoptState (state: StoredState): AdoptionOutcome {
    const reason = this._findReversion(state)
    if (reason !== undefined) return { kind: 'refused', reason }
    return this.applyChanges(state.records)
  }

  /** Takes single changes; older ones than those in force are passed over. */
  applyChanges (records: readonly StoredRecord[]): AdoptionOutcome {
    const newer = records.filter(record => record.revision > (this._records.get(record.key)?.stored.revision ?? 0))
    if (newer.length === 0) return { kind: 'unchanged' }
    for (const record of newer) this._applyRecord(record)
    const revision = Math.max(this.revision, ...newer.map(record => record.revision))
    this._configuration = Configuration.create(revision, this._listValidRecords())
    return { kind: 'adopted', configuration: this._configuration, unreadable: this.listUnreadable() }
  }

  private _findReversion (state: StoredState): string | undefined {
    if (state.revision < this.revision) return `it is at revision ${state.revision} and revision ${this.revision} is in force`
    const revisions = new Map(state.records.map(record => [record.key, record.revision]))
    for (const { stored } of this._records.values()) {
      const offered = revisions.get(stored.key)
      if (offered === undefined) return `it lacks ${stored.key}, which is in force at revision ${stored.revision}`
      if (offered < stored.revision) return `it has ${stored.key} at revision ${offered}, and revision ${stored.revision} is in force`
    }
    return undefined
  }

  private _applyRecord (stored: StoredRecord): void {
    const previous = this._records.get(stored.key)
    this._unreadable.delete(stored.key)
    if (isTombstone(stored.value)) {
      this._records.set(stored.key, { stored, lastValid: undefined })
      return
    }
    const result = parseStoredRecord(stored.value)
    if (result.isOk()) {
      this._records.set(stored.key, { stored, lastValid: result.value.record })
      return
    }
    const problem = result.error.map(field => `${field.path.map(String).join('.')} ${field.message}`).join('; ')
    this._unreadable.set(stored.key, { key: stored.key, revision: stored.revision, problem })
    this._records.set(stored.key, { stored, lastValid: previous?.lastValid })
  }

  private _listValidRecords (): ConfigurationRecord[] {
    return [...this._records.values()].map(held => held.lastValid).filter((record): record is ConfigurationRecord => record !== undefined)
  }
}
