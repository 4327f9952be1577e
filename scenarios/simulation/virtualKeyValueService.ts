/**
 * The platform's key-value service on the virtual clock: the state of the stand-in, plus simulated outages, delays and
 * lost responses.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CallContext, VirtualClock } from '@plumstage/common'
import { KeyValueError, UNKNOWN_ERA } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueCondition, KeyValueEntry, KeyValueLease, KeyValueOperation, KeyValueService, KeyValueSnapshot, KeyValueTransaction, KeyValueTransactionOutcome, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'
import { KeyValueStore } from '@plumstage/standins'
import type { StoredChange, StoredKeyValue } from '@plumstage/standins'
import type { ProcessClock } from './processClock.js'

const LATENCY_MILLISECONDS = 2
const REQUEST_TIMEOUT_MILLISECONDS = 3000
const PROGRESS_INTERVAL_MILLISECONDS = 1000
const PREFIX_END = '\uffff'

const encoder = new TextEncoder()
const decoder = new TextDecoder()

/** The simulated server, shared by all clients. */
export class VirtualKeyValueServer {
  readonly store = KeyValueStore.create()
  down = false
  /** Delay of every request in addition to the latency. */
  delayMilliseconds = 0
  /** Number of further writes that take effect but whose response is lost. */
  remainingLostResponses = 0
  readonly clock: VirtualClock
  private readonly _downListeners = new Set<() => void>()

  private constructor (clock: VirtualClock) {
    this.clock = clock
  }

  static create (clock: VirtualClock): VirtualKeyValueServer {
    return new VirtualKeyValueServer(clock)
  }

  setDown (down: boolean): void {
    this.down = down
    if (down) for (const listener of [...this._downListeners]) listener()
  }

  onDown (listener: () => void): () => void {
    this._downListeners.add(listener)
    return () => this._downListeners.delete(listener)
  }

  /** Returns a client for one process. */
  connect (process: ProcessClock): KeyValueService {
    return VirtualKeyValueClient.create(this, process)
  }

  transact (transaction: KeyValueTransaction): KeyValueTransactionOutcome {
    this.store.expireLeases(this.clock.now())
    const succeeded = transaction.conditions.every(condition => this._isMet(condition))
    const entries: KeyValueEntry[] = []
    const revision = this.store.write(() => {
      for (const operation of succeeded ? transaction.onSuccess : transaction.onFailure) this._execute(operation, entries)
    })
    return { succeeded, era: UNKNOWN_ERA, revision, entries }
  }

  read (key: string): KeyValueEntry | undefined {
    this.store.expireLeases(this.clock.now())
    return this.store.read({ key }).map(decodeEntry)[0]
  }

  list (prefix: string): KeyValueSnapshot {
    this.store.expireLeases(this.clock.now())
    return { era: UNKNOWN_ERA, revision: this.store.revision, entries: this.store.read({ key: prefix, rangeEnd: prefix + PREFIX_END }).map(decodeEntry) }
  }

  private _isMet (condition: KeyValueCondition): boolean {
    const entry = this.store.read({ key: condition.key })[0]
    const revision = condition.kind === 'mod-revision' ? entry?.modRevision : entry?.createRevision
    return (revision ?? 0) === condition.revision
  }

  private _execute (operation: KeyValueOperation, entries: KeyValueEntry[]): void {
    switch (operation.kind) {
      case 'put': return this.store.put(operation.key, encoder.encode(operation.value), operation.lease ?? 0n)
      case 'delete': return void this.store.delete({ key: operation.key })
      case 'get': entries.push(...this.store.read({ key: operation.key }).map(decodeEntry))
    }
  }
}

/** The connection of one process to the server. */
class VirtualKeyValueClient implements KeyValueService {
  readonly era = UNKNOWN_ERA
  private readonly _server: VirtualKeyValueServer
  private readonly _process: ProcessClock

  private constructor (server: VirtualKeyValueServer, process: ProcessClock) {
    this._server = server
    this._process = process
  }

  static create (server: VirtualKeyValueServer, process: ProcessClock): VirtualKeyValueClient {
    return new VirtualKeyValueClient(server, process)
  }

  async get (context: CallContext, key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
    return await this._request(context, 'read', () => this._server.read(key))
  }

  async list (context: CallContext, prefix: string): Promise<Result<KeyValueSnapshot, KeyValueError>> {
    return await this._request(context, 'read', () => this._server.list(prefix))
  }

  async transact (context: CallContext, transaction: KeyValueTransaction): Promise<Result<KeyValueTransactionOutcome, KeyValueError>> {
    return await this._request(context, 'write', () => this._server.transact(transaction))
  }

  async * watch (context: CallContext, prefix: string, { revision: startRevision }: StorePosition): AsyncIterable<Result<KeyValueWatchBatch, KeyValueError>> {
    if (this._server.down) {
      yield err(createError('refused', 'the service is down'))
      return
    }
    if (startRevision <= this._server.store.compactedRevision) {
      yield err(createError('compacted', 'the revision is compacted'))
      return
    }
    const queue = WatchQueue.create(this._server, this._process, context, prefix, startRevision)
    for (;;) {
      const batch = await queue.next()
      if (batch === undefined) break
      yield ok(batch)
    }
    if (!context.cancelled) yield err(createError('refused', 'the service is down'))
  }

  async grantLease (context: CallContext, timeToLiveSeconds: number): Promise<Result<KeyValueLease, KeyValueError>> {
    return await this._request(context, 'write', () => ({ id: this._server.store.grantLease(timeToLiveSeconds, this._server.clock.now()), timeToLiveSeconds }))
  }

  async keepLeaseAlive (context: CallContext, lease: bigint): Promise<Result<KeyValueLease | undefined, KeyValueError>> {
    return await this._request(context, 'write', () => {
      const timeToLiveSeconds = this._server.store.keepLeaseAlive(lease, this._server.clock.now())
      return timeToLiveSeconds > 0 ? { id: lease, timeToLiveSeconds } : undefined
    })
  }

  async revokeLease (context: CallContext, lease: bigint): Promise<Result<void, KeyValueError>> {
    return await this._request(context, 'write', () => { this._server.store.revokeLease(lease) })
  }

  /** The store of the simulation does not come back from copies. */
  invalidateLeases (): void {}

  /** Sends a request. It takes effect after the delay and half the latency, even if it is cancelled in the meantime. */
  private async _request<Value> (context: CallContext, effect: 'read' | 'write', action: () => Value): Promise<Result<Value, KeyValueError>> {
    const server = this._server
    const child = context.createChild(server.clock.now() + REQUEST_TIMEOUT_MILLISECONDS)
    const response = new Promise<Result<Value, KeyValueError>>(resolve => {
      const lost = createError(effect === 'write' ? 'ambiguous' : 'refused', 'no response')
      child.onCancel(() => resolve(err(lost)))
      const effectAt = server.clock.now() + LATENCY_MILLISECONDS / 2 + server.delayMilliseconds
      server.clock.schedule(effectAt, () => {
        if (server.down) return resolve(err(lost))
        const value = action()
        if (effect === 'write' && server.remainingLostResponses > 0) {
          server.remainingLostResponses--
          return resolve(err(lost))
        }
        server.clock.schedule(effectAt + LATENCY_MILLISECONDS / 2, () => resolve(ok(value)))
      })
    })
    const received = await this._process.receiveResult(response)
    child.finish()
    return received
  }
}

/** Batches of changes that a watcher has not consumed yet. */
class WatchQueue {
  private readonly _server: VirtualKeyValueServer
  private readonly _process: ProcessClock
  private readonly _batches: KeyValueWatchBatch[] = []
  private _wake: (() => void) | undefined
  private _ended = false

  private constructor (server: VirtualKeyValueServer, process: ProcessClock, context: CallContext, prefix: string, startRevision: number) {
    this._server = server
    this._process = process
    const missed = server.store.readHistory({ key: prefix, rangeEnd: prefix + PREFIX_END }, startRevision)
    if (missed.length > 0) this._push(missed)
    const removeChangeListener = server.store.addListener((_revision, changes) => this._push(changes.filter(change => change.entry.key.startsWith(prefix))))
    const end = (): void => {
      removeChangeListener()
      removeDownListener()
      this._ended = true
      this._process.deliver(() => this._wake?.())
    }
    const removeDownListener = server.onDown(end)
    context.onCancel(end)
    this._scheduleProgress()
  }

  static create (server: VirtualKeyValueServer, process: ProcessClock, context: CallContext, prefix: string, startRevision: number): WatchQueue {
    return new WatchQueue(server, process, context, prefix, startRevision)
  }

  async next (): Promise<KeyValueWatchBatch | undefined> {
    while (this._batches.length === 0 && !this._ended) await new Promise<void>(resolve => { this._wake = resolve })
    return this._ended ? undefined : this._batches.shift()
  }

  private _push (changes: readonly StoredChange[]): void {
    if (changes.length === 0) return
    this._batches.push({ era: UNKNOWN_ERA, revision: this._server.store.revision, changes: changes.map(decodeChange) })
    this._server.clock.schedule(this._server.clock.now() + LATENCY_MILLISECONDS, () => this._process.deliver(() => this._wake?.()))
  }

  private _scheduleProgress (): void {
    if (this._ended || this._process.state === 'dead') return
    this._server.clock.schedule(this._server.clock.now() + PROGRESS_INTERVAL_MILLISECONDS, () => {
      if (this._batches.length === 0) this._batches.push({ era: UNKNOWN_ERA, revision: this._server.store.revision, changes: [] })
      this._process.deliver(() => this._wake?.())
      this._scheduleProgress()
    })
  }
}

function createError (kind: 'refused' | 'ambiguous' | 'compacted', detail: string): KeyValueError {
  return KeyValueError.create(kind, `The simulated key-value service failed: ${detail}. Wait until it is back.`)
}

function decodeEntry (stored: StoredKeyValue): KeyValueEntry {
  return { key: stored.key, value: decoder.decode(stored.value), createRevision: stored.createRevision, modRevision: stored.modRevision }
}

function decodeChange (change: StoredChange): KeyValueChange {
  return change.kind === 'put' ? { kind: 'put', entry: decodeEntry(change.entry) } : { kind: 'delete', key: change.entry.key, modRevision: change.entry.modRevision }
}
