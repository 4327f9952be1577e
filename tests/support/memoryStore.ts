/**
 * A key-value service in memory that several gateways share: it comes back from copies, loses responses, carries writes out
 * late, and can be out of reach of single gateways.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CallContext } from '@plumstage/common'
import { KeyValueError } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueEntry, KeyValueService, KeyValueTransaction, KeyValueTransactionOutcome, StorePosition } from '@plumstage/coordination'
import type { StoreObserver } from '@plumstage/serving'

/** State of the store, from which it can come back. */
export interface MemoryCopy {
  entries: ReadonlyMap<string, KeyValueEntry>
  revision: number
}

/** What happens to the next write of a gateway. */
export type WriteFault = 'none' | 'lost-response' | 'late'

/** The store itself. */
export class MemoryStore {
  era = 1
  revision = 5
  /** Transactions that wait to be carried out. */
  readonly late: KeyValueTransaction[] = []
  /** Whether a put has ever had a lease. */
  hasLeasedPuts = false
  private _entries = new Map<string, KeyValueEntry>()
  private _changes: KeyValueChange[] = []

  static create (): MemoryStore {
    return new MemoryStore()
  }

  get entries (): KeyValueEntry[] {
    return [...this._entries.values()]
  }

  find (key: string): KeyValueEntry | undefined {
    return this._entries.get(key)
  }

  changesAfter (revision: number): KeyValueChange[] {
    return this._changes.filter(change => (change.kind === 'put' ? change.entry.modRevision : change.modRevision) > revision)
  }

  copy (): MemoryCopy {
    return { entries: new Map(this._entries), revision: this.revision }
  }

  /** Comes back from a copy: revisions are given out again. */
  restore (copy: MemoryCopy): void {
    this._entries = new Map(copy.entries)
    this._changes = []
    this.revision = copy.revision
    this.era++
  }

  put (key: string, value: string): void {
    const modRevision = ++this.revision
    const entry = { key, value, modRevision, createRevision: this._entries.get(key)?.createRevision ?? modRevision }
    this._entries.set(key, entry)
    this._changes.push({ kind: 'put', entry })
  }

  remove (key: string): void {
    if (!this._entries.delete(key)) return
    this._changes.push({ kind: 'delete', key, modRevision: ++this.revision })
  }

  /** Returns the entries that the transaction reads, if it did not take effect. */
  transact ({ conditions, onSuccess, onFailure }: KeyValueTransaction): KeyValueTransactionOutcome {
    const { era } = this
    const holds = conditions.every(({ kind, key, revision }) => (kind === 'mod-revision' ? this.find(key)?.modRevision : this.find(key)?.createRevision) === (revision === 0 ? undefined : revision))
    if (!holds) return { succeeded: false, era, revision: this.revision, entries: onFailure.flatMap(operation => this.find(operation.key) ?? []) }
    for (const operation of onSuccess) {
      if (operation.kind === 'delete') this.remove(operation.key)
      if (operation.kind !== 'put') continue
      this.hasLeasedPuts ||= operation.lease !== undefined
      this.put(operation.key, operation.value)
    }
    return { succeeded: true, era, revision: this.revision, entries: [] }
  }

  carryOutLate (): void {
    for (const transaction of this.late.splice(0)) this.transact(transaction)
  }
}

/** The store as one gateway sees it. */
export class MemoryStoreClient implements Partial<KeyValueService> {
  isCut = false
  nextWrite: WriteFault = 'none'
  private readonly _store: MemoryStore
  private _era = 0
  private _position: StorePosition | undefined

  private constructor (store: MemoryStore) {
    this._store = store
  }

  static create (store: MemoryStore): MemoryStoreClient {
    return new MemoryStoreClient(store)
  }

  get era (): number {
    return this._era
  }

  get service (): KeyValueService {
    return this as unknown as KeyValueService
  }

  async get (_context: CallContext, key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
    if (this.isCut) return err(createUnanswered())
    this._era = this._store.era
    return ok(this._store.find(key))
  }

  async transact (_context: CallContext, transaction: KeyValueTransaction): Promise<Result<KeyValueTransactionOutcome, KeyValueError>> {
    if (this.isCut) return err(createUnanswered())
    const fault = this.nextWrite
    this.nextWrite = 'none'
    if (fault === 'late') {
      this._store.late.push(transaction)
      return err(createUnanswered())
    }
    const outcome = this._store.transact(transaction)
    if (fault === 'lost-response') return err(createUnanswered())
    this._era = this._store.era
    return ok(outcome)
  }

  /** Tells an observer what has changed since the last call, as a watch does. */
  follow (observer: StoreObserver): void {
    if (this.isCut) return
    const { era, revision } = this._store
    const position = { era, revision }
    this._era = era
    if (this._position?.era === era) observer.onChanges(this._store.changesAfter(this._position.revision), position)
    else observer.onSnapshot(this._store.entries, position)
    this._position = position
  }
}

function createUnanswered (): KeyValueError {
  return KeyValueError.create('ambiguous', 'The store did not respond.')
}
