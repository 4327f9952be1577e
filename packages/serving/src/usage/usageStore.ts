/**
 * The usage counts and the start of the era as the store holds them. Their entries have no lease: an entry that is gone
 * with its lease would look like one that was never written.
 *
 * @module
 */
import * as z from 'zod'
import { getLogger, parseJson } from '@plumstage/common'
import type { CallContext } from '@plumstage/common'
import type { KeyValueEntry, KeyValueService } from '@plumstage/coordination'
import type { StoreKeys } from '../storeKeys.js'
import type { WorkspaceCounts } from './committedCounts.js'
import { decodeEraStart, encodeEraStart } from './eraStart.js'
import type { EraStart } from './eraStart.js'

/** Old entries are removed together when there are this many. */
const REMOVAL_BATCH = 8

const countsSchema = z.record(z.string(), z.int().min(0))

/** The start of the current era, and the revision of its entry. */
export interface StoredEraStart extends EraStart {
  revision: number
}

/** Outcome of writing the counts of a window. */
export type CommitOutcome =
  | { kind: 'written' }
  /** The store already holds counts of this window. */
  | { kind: 'exists', counts: WorkspaceCounts }
  /** The store holds an entry that can't be read. */
  | { kind: 'unreadable' }
  /** The store did not answer, or another era or another start of it holds now. */
  | { kind: 'failed' }

/** Reads and writes the usage entries of the store for one gateway. */
export class UsageStore {
  private readonly _store: KeyValueService
  private readonly _keys: StoreKeys
  private readonly _log = getLogger('usage')
  private _start: StoredEraStart | undefined
  /** Windows whose counts the store holds, as far as this gateway knows. */
  private readonly _windows = new Set<number>()

  private constructor (store: KeyValueService, keys: StoreKeys) {
    this._store = store
    this._keys = keys
  }

  static create (store: KeyValueService, keys: StoreKeys): UsageStore {
    return new UsageStore(store, keys)
  }

  /** Notes an entry that was read from the store; returns the counts of a window if it holds some. */
  observe ({ key, value }: KeyValueEntry): { window: number, counts: WorkspaceCounts } | undefined {
    const window = this._keys.usageWindowOf(key)
    if (window === undefined) return undefined
    this._windows.add(window)
    const counts = parseCounts(value)
    return counts && { window, counts }
  }

  observeRemoval (key: string): void {
    const window = this._keys.usageWindowOf(key)
    if (window !== undefined) this._windows.delete(window)
  }

  /** Returns the start of an era that an entry holds; undefined for other entries. */
  readEraStart ({ key, value }: KeyValueEntry): EraStart | undefined {
    return key === this._keys.usageEraKey ? decodeEraStart(value) : undefined
  }

  /**
   * Returns the start of the current era. If there is none yet, the era starts with the window that `chooseFirstWindow`
   * returns once the era is known; undefined if this gateway may not start it. Returns undefined if the store did not answer
   * or another gateway has just written the start.
   */
  async ensureEraStart (context: CallContext, chooseFirstWindow: () => number | undefined): Promise<StoredEraStart | undefined> {
    if (this._start?.era === this._store.era) return this._start
    const read = await this._store.get(context, this._keys.usageEraKey)
    if (read.isErr()) return undefined
    const stored = decodeEraStart(read.value?.value)
    const { era } = this._store
    if (read.value && stored?.era === era) {
      this._start = { ...stored, revision: read.value.modRevision }
      return this._start
    }
    const firstWindow = context.cancelled ? undefined : chooseFirstWindow()
    if (firstWindow === undefined) return undefined
    this._start = await this._writeEraStart(context, { era, firstWindow }, read.value?.modRevision ?? 0, [])
    return this._start
  }

  /** Writes the counts of a window if the store has none, in the era that `start` begins. */
  async commit (context: CallContext, window: number, counts: WorkspaceCounts, start: StoredEraStart): Promise<CommitOutcome> {
    const key = this._keys.usageKey(window)
    const written = await this._store.transact(context, {
      conditions: [{ kind: 'create-revision', key, revision: 0 }, { kind: 'mod-revision', key: this._keys.usageEraKey, revision: start.revision }],
      onSuccess: [{ kind: 'put', key, value: JSON.stringify(Object.fromEntries(counts)) }],
      onFailure: [{ kind: 'get', key }]
    })
    if (written.isErr() || written.value.era !== start.era) return { kind: 'failed' }
    this._windows.add(window)
    if (written.value.succeeded) return { kind: 'written' }
    return this._readConflict(window, written.value.entries.find(entry => entry.key === key))
  }

  /** Removes the counts of windows before `window`, once there are several. The era starts after them from then on. */
  async removeBefore (context: CallContext, window: number, start: StoredEraStart): Promise<void> {
    const removed = [...this._windows].filter(known => known < window).sort((left, right) => left - right).slice(0, REMOVAL_BATCH)
    if (removed.length < REMOVAL_BATCH) return
    const firstWindow = Math.max(start.firstWindow, removed[REMOVAL_BATCH - 1] + 1)
    this._start = await this._writeEraStart(context, { era: start.era, firstWindow }, start.revision, removed)
    if (this._start) for (const known of removed) this._windows.delete(known)
  }

  private async _writeEraStart (context: CallContext, start: EraStart, revision: number, removed: readonly number[]): Promise<StoredEraStart | undefined> {
    const key = this._keys.usageEraKey
    const written = await this._store.transact(context, {
      conditions: [{ kind: 'mod-revision', key, revision }],
      onSuccess: [{ kind: 'put', key, value: encodeEraStart(start) }, ...removed.map(window => ({ kind: 'delete' as const, key: this._keys.usageKey(window) }))],
      onFailure: []
    })
    if (written.isErr() || !written.value.succeeded || written.value.era !== start.era) return undefined
    return { ...start, revision: written.value.revision }
  }

  private _readConflict (window: number, entry: KeyValueEntry | undefined): CommitOutcome {
    // The condition on the start of the era failed: it is read again.
    this._start = undefined
    if (!entry) return { kind: 'failed' }
    const counts = parseCounts(entry.value)
    if (counts) return { kind: 'exists', counts }
    this._log.error(`The counts of window ${window} in the store can't be read. The window is skipped unless the entry is corrected in time.`)
    return { kind: 'unreadable' }
  }
}

/** Returns undefined when the text is not a set of counts. */
function parseCounts (text: string | undefined): WorkspaceCounts | undefined {
  const parsed = countsSchema.safeParse(parseJson(text))
  return parsed.success ? new Map(Object.entries(parsed.data)) : undefined
}
