/**
 * Handlers of the etcd v3 interface over the state of the key-value stand-in.
 *
 * @module
 */
import { Code, ConnectError } from '@connectrpc/connect'
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import { etcd, mvcc } from '@plumstage/protocol'
import type { Clock } from '@plumstage/common'
import type { KeyValueFaults } from './keyValueFaults.js'
import { isInRange } from './keyValueStore.js'
import type { KeyRange, KeyValueStore, StoredChange, StoredKeyValue } from './keyValueStore.js'

const MAXIMUM_VALUE_BYTES = 1024 * 1024
const MAXIMUM_OPERATIONS = 128
const PROGRESS_INTERVAL_MILLISECONDS = 1000

const encoder = new TextEncoder()
const decoder = new TextDecoder()

/** Serves the etcd v3 interface. */
export class EtcdHandlers {
  private readonly _store: KeyValueStore
  private readonly _faults: KeyValueFaults
  private readonly _clock: Clock

  private constructor (store: KeyValueStore, faults: KeyValueFaults, clock: Clock) {
    this._store = store
    this._faults = faults
    this._clock = clock
  }

  static create (store: KeyValueStore, faults: KeyValueFaults, clock: Clock): EtcdHandlers {
    return new EtcdHandlers(store, faults, clock)
  }

  register (router: ConnectRouter): void {
    router.service(etcd.KV, {
      range: async request => await this._range(request),
      txn: async request => await this._transact(request),
      compact: async request => await this._compact(request)
    })
    router.service(etcd.Watch, { watch: (requests, context) => this._watch(requests, context) })
    router.service(etcd.Lease, {
      leaseGrant: async request => await this._grantLease(request),
      leaseRevoke: async request => await this._revokeLease(request),
      leaseKeepAlive: requests => this._keepLeasesAlive(requests)
    })
  }

  private get _header (): etcd.ResponseHeader {
    return create(etcd.ResponseHeaderSchema, { clusterId: 1n, memberId: 1n, revision: BigInt(this._store.revision), raftTerm: 1n })
  }

  private async _range (request: etcd.RangeRequest): Promise<etcd.RangeResponse> {
    await this._faults.admit('read')
    this._store.expireLeases(this._clock.now())
    return this._readRange(request)
  }

  private _readRange (request: etcd.RangeRequest): etcd.RangeResponse {
    const entries = this._store.read(toRange(request.key, request.rangeEnd))
    return create(etcd.RangeResponseSchema, { header: this._header, kvs: entries.map(toKeyValue), count: BigInt(entries.length) })
  }

  private async _transact (request: etcd.TxnRequest): Promise<etcd.TxnResponse> {
    this._checkLimits(request)
    await this._faults.admit('write')
    this._store.expireLeases(this._clock.now())
    const response = this._executeTransaction(request)
    if (this._faults.consumeLostResponse()) throw new ConnectError('the answer was lost', Code.Unavailable)
    return response
  }

  private _checkLimits (request: etcd.TxnRequest): void {
    const operations = [...request.success, ...request.failure]
    if (Math.max(request.compare.length, request.success.length, request.failure.length) > MAXIMUM_OPERATIONS) throw new ConnectError('too many operations in txn request', Code.InvalidArgument)
    for (const { request: operation } of operations) {
      if (operation.case !== 'requestPut') continue
      if (operation.value.value.length > MAXIMUM_VALUE_BYTES) throw new ConnectError('request is too large', Code.InvalidArgument)
      if (operation.value.lease !== 0n && !this._store.hasLease(operation.value.lease)) throw new ConnectError('requested lease not found', Code.NotFound)
    }
  }

  private _executeTransaction (request: etcd.TxnRequest): etcd.TxnResponse {
    const succeeded = request.compare.every(condition => this._evaluateCondition(condition))
    const responses: etcd.ResponseOp[] = []
    this._store.write(() => {
      for (const operation of succeeded ? request.success : request.failure) responses.push(this._executeOperation(operation))
    })
    return create(etcd.TxnResponseSchema, { header: this._header, succeeded, responses })
  }

  private _executeOperation ({ request }: etcd.RequestOp): etcd.ResponseOp {
    switch (request.case) {
      case 'requestPut':
        this._store.put(decoder.decode(request.value.key), request.value.value, request.value.lease)
        return create(etcd.ResponseOpSchema, { response: { case: 'responsePut', value: {} } })
      case 'requestDeleteRange': {
        const deleted = this._store.delete(toRange(request.value.key, request.value.rangeEnd))
        return create(etcd.ResponseOpSchema, { response: { case: 'responseDeleteRange', value: { deleted: BigInt(deleted) } } })
      }
      case 'requestRange':
        return create(etcd.ResponseOpSchema, { response: { case: 'responseRange', value: this._readRange(request.value) } })
      default:
        throw new ConnectError('empty operation', Code.InvalidArgument)
    }
  }

  private _evaluateCondition (condition: etcd.Compare): boolean {
    const entry = this._store.read({ key: decoder.decode(condition.key) })[0]
    switch (condition.targetUnion.case) {
      case 'version': return compareNumbers(condition.result, entry?.version ?? 0, Number(condition.targetUnion.value))
      case 'createRevision': return compareNumbers(condition.result, entry?.createRevision ?? 0, Number(condition.targetUnion.value))
      case 'modRevision': return compareNumbers(condition.result, entry?.modRevision ?? 0, Number(condition.targetUnion.value))
      default: throw new ConnectError('this comparison is not served by the stand-in', Code.Unimplemented)
    }
  }

  private async _compact (request: etcd.CompactionRequest): Promise<etcd.CompactionResponse> {
    await this._faults.admit('write')
    this._store.compact(Number(request.revision))
    return create(etcd.CompactionResponseSchema, { header: this._header })
  }

  private async * _watch (requests: AsyncIterable<etcd.WatchRequest>, context: HandlerContext): AsyncGenerator<etcd.WatchResponse> {
    const { value: first } = await requests[Symbol.asyncIterator]().next() as IteratorResult<etcd.WatchRequest, undefined>
    if (first?.requestUnion.case !== 'createRequest') throw new ConnectError('a watch starts with a create request', Code.InvalidArgument)
    await this._faults.admit('read')
    this._faults.counts.watches++
    try {
      yield * this._streamChanges(first.requestUnion.value, context)
    } finally {
      this._faults.counts.watches--
    }
  }

  private async * _streamChanges (request: etcd.WatchCreateRequest, context: HandlerContext): AsyncGenerator<etcd.WatchResponse> {
    const range = toRange(request.key, request.rangeEnd)
    const start = Number(request.startRevision)
    yield create(etcd.WatchResponseSchema, { header: this._header, created: true })
    if (start > 0 && start <= this._store.compactedRevision) {
      yield create(etcd.WatchResponseSchema, { header: this._header, canceled: true, compactRevision: BigInt(this._store.compactedRevision + 1), cancelReason: 'required revision has been compacted' })
      return
    }
    const feed = ChangeFeed.create(this._store, this._faults, range, start)
    context.signal.addEventListener('abort', () => feed.close())
    try {
      for (;;) {
        const changes = await feed.next()
        if (changes === undefined) throw new ConnectError('the service is down', Code.Unavailable)
        yield create(etcd.WatchResponseSchema, { header: this._header, events: changes.map(toEvent) })
      }
    } finally {
      feed.close()
    }
  }

  private async _grantLease (request: etcd.LeaseGrantRequest): Promise<etcd.LeaseGrantResponse> {
    await this._faults.admit('write')
    const id = this._store.grantLease(Number(request.TTL), this._clock.now())
    return create(etcd.LeaseGrantResponseSchema, { header: this._header, ID: id, TTL: request.TTL })
  }

  private async _revokeLease (request: etcd.LeaseRevokeRequest): Promise<etcd.LeaseRevokeResponse> {
    await this._faults.admit('write')
    if (!this._store.revokeLease(request.ID)) throw new ConnectError('requested lease not found', Code.NotFound)
    return create(etcd.LeaseRevokeResponseSchema, { header: this._header })
  }

  private async * _keepLeasesAlive (requests: AsyncIterable<etcd.LeaseKeepAliveRequest>): AsyncGenerator<etcd.LeaseKeepAliveResponse> {
    for await (const request of requests) {
      await this._faults.admit('write')
      const timeToLive = this._store.keepLeaseAlive(request.ID, this._clock.now())
      yield create(etcd.LeaseKeepAliveResponseSchema, { header: this._header, ID: request.ID, TTL: BigInt(timeToLive) })
    }
  }
}

/** Changes of one range that a watcher has not been sent yet; an empty batch reports progress. */
class ChangeFeed {
  private readonly _batches: StoredChange[][] = []
  private readonly _unsubscribers: Array<() => void>
  private readonly _progressTimer: NodeJS.Timeout
  private _resolveNext: (() => void) | undefined
  private _closed = false

  private constructor (store: KeyValueStore, faults: KeyValueFaults, range: KeyRange, start: number) {
    if (start > 0) this._push(store.readHistory(range, start))
    this._unsubscribers = [
      store.addListener((_revision, changes) => this._push(changes.filter(change => isInRange(range, change.entry.key)))),
      faults.onDown(() => this.close())
    ]
    this._progressTimer = setInterval(() => this._pushProgress(), PROGRESS_INTERVAL_MILLISECONDS)
    this._progressTimer.unref()
  }

  static create (store: KeyValueStore, faults: KeyValueFaults, range: KeyRange, start: number): ChangeFeed {
    return new ChangeFeed(store, faults, range, start)
  }

  /** Returns the next batch, or undefined when the feed is closed. */
  async next (): Promise<StoredChange[] | undefined> {
    while (this._batches.length === 0 && !this._closed) await new Promise<void>(resolve => { this._resolveNext = resolve })
    return this._closed ? undefined : this._batches.shift()
  }

  close (): void {
    this._closed = true
    clearInterval(this._progressTimer)
    for (const stop of this._unsubscribers ?? []) stop()
    this._resolveNext?.()
  }

  private _push (changes: StoredChange[]): void {
    if (changes.length === 0) return
    this._batches.push(changes)
    this._resolveNext?.()
  }

  private _pushProgress (): void {
    if (this._batches.length > 0) return
    this._batches.push([])
    this._resolveNext?.()
  }
}

function toRange (key: Uint8Array, rangeEnd: Uint8Array): KeyRange {
  return { key: decoder.decode(key), rangeEnd: rangeEnd.length > 0 ? decoder.decode(rangeEnd) : undefined }
}

function toKeyValue (entry: StoredKeyValue): mvcc.KeyValue {
  return create(mvcc.KeyValueSchema, {
    key: encoder.encode(entry.key),
    value: entry.value,
    createRevision: BigInt(entry.createRevision),
    modRevision: BigInt(entry.modRevision),
    version: BigInt(entry.version),
    lease: entry.lease
  })
}

function toEvent (change: StoredChange): mvcc.Event {
  return create(mvcc.EventSchema, { type: change.kind === 'put' ? mvcc.Event_EventType.PUT : mvcc.Event_EventType.DELETE, kv: toKeyValue(change.entry) })
}

function compareNumbers (result: etcd.Compare_CompareResult, left: number, right: number): boolean {
  switch (result) {
    case etcd.Compare_CompareResult.EQUAL: return left === right
    case etcd.Compare_CompareResult.GREATER: return left > right
    case etcd.Compare_CompareResult.LESS: return left < right
    case etcd.Compare_CompareResult.NOT_EQUAL: return left !== right
  }
}
