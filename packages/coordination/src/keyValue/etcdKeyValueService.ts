/**
 * Adapter to a key-value service with the etcd v3 gRPC API.
 *
 * @module
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CallContext, Clock } from '@plumstage/common'
import { etcd } from '@plumstage/protocol'
import { KeyValueError } from './keyValueService.js'
import { UNKNOWN_ERA } from './storePosition.js'
import type { StorePosition } from './storePosition.js'
import type { KeyValueChange, KeyValueEntry, KeyValueLease, KeyValueService, KeyValueSnapshot, KeyValueTransaction, KeyValueTransactionOutcome, KeyValueWatchBatch } from './keyValueService.js'
import { encodeText, prefixRangeEnd, toChange, toEntry, toTransactionOutcome, toTxnRequest } from './etcdConversion.js'

const CALL_TIMEOUT_MILLISECONDS = 3000
const PING_INTERVAL_MILLISECONDS = 5000
const PING_TIMEOUT_MILLISECONDS = 3000
const MINIMUM_TIMEOUT_MILLISECONDS = 1

interface EtcdEndpoint {
  address: string
  keyValue: Client<typeof etcd.KV>
  watch: Client<typeof etcd.Watch>
  lease: Client<typeof etcd.Lease>
}

interface CallOptions {
  signal: AbortSignal
  timeoutMs: number
}

/** Calls one of the given endpoints and switches to the next one after a failure. */
export class EtcdKeyValueService implements KeyValueService {
  /** The etcd API does not state an era. */
  readonly era = UNKNOWN_ERA
  private readonly _endpoints: EtcdEndpoint[]
  private readonly _clock: Clock
  private _endpointIndex = 0

  private constructor (endpoints: EtcdEndpoint[], clock: Clock) {
    this._endpoints = endpoints
    this._clock = clock
  }

  /** Creates the adapter; `addresses` are URLs such as `http://10.0.0.5:2379`. */
  static create (addresses: readonly string[], clock: Clock): EtcdKeyValueService {
    return new EtcdKeyValueService(addresses.map(createEndpoint), clock)
  }

  async get (context: CallContext, key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
    return await this._call(context, 'read', async (endpoint, options) => {
      const response = await endpoint.keyValue.range({ key: encodeText(key) }, options)
      return response.kvs.map(toEntry)[0]
    })
  }

  async list (context: CallContext, prefix: string): Promise<Result<KeyValueSnapshot, KeyValueError>> {
    return await this._call(context, 'read', async (endpoint, options) => {
      const response = await endpoint.keyValue.range({ key: encodeText(prefix), rangeEnd: prefixRangeEnd(prefix) }, options)
      return { era: UNKNOWN_ERA, revision: Number(response.header?.revision ?? 0), entries: response.kvs.map(toEntry) }
    })
  }

  async transact (context: CallContext, transaction: KeyValueTransaction): Promise<Result<KeyValueTransactionOutcome, KeyValueError>> {
    return await this._call(context, 'write', async (endpoint, options) => {
      return toTransactionOutcome(await endpoint.keyValue.txn(toTxnRequest(transaction), options))
    })
  }

  async * watch (context: CallContext, prefix: string, start: StorePosition): AsyncIterable<Result<KeyValueWatchBatch, KeyValueError>> {
    const endpoint = this._endpoint
    try {
      const requests = createWatchRequests(context, prefix, start.revision)
      for await (const response of endpoint.watch.watch(requests, { signal: context.signal, timeoutMs: 0 })) {
        if (response.canceled) {
          yield err(createWatchCancelledError(response))
          return
        }
        yield ok({ era: UNKNOWN_ERA, revision: Number(response.header?.revision ?? 0), changes: response.events.map(toChange).filter((change): change is KeyValueChange => change !== undefined) })
      }
      yield err(this._handleFailure(new ConnectError('the watch ended', Code.Unavailable), 'read', endpoint))
    } catch (error) {
      if (context.cancelled) return
      yield err(this._handleFailure(error, 'read', endpoint))
    }
  }

  async grantLease (context: CallContext, timeToLiveSeconds: number): Promise<Result<KeyValueLease, KeyValueError>> {
    return await this._call(context, 'write', async (endpoint, options) => {
      const response = await endpoint.lease.leaseGrant({ TTL: BigInt(timeToLiveSeconds) }, options)
      return { id: response.ID, timeToLiveSeconds: Number(response.TTL) }
    })
  }

  async keepLeaseAlive (context: CallContext, lease: bigint): Promise<Result<KeyValueLease | undefined, KeyValueError>> {
    return await this._call(context, 'write', async (endpoint, options) => {
      const responses = endpoint.lease.leaseKeepAlive(createKeepAliveRequests(lease), options)[Symbol.asyncIterator]()
      const { value: response, done } = await responses.next()
      if (done === true || response.TTL <= 0n) return undefined
      return { id: response.ID, timeToLiveSeconds: Number(response.TTL) }
    })
  }

  async revokeLease (context: CallContext, lease: bigint): Promise<Result<void, KeyValueError>> {
    return await this._call(context, 'write', async (endpoint, options) => {
      await endpoint.lease.leaseRevoke({ ID: lease }, options)
    })
  }

  /** The ids of etcd's leases are random and not given out again: one that was lost is reported as ended. */
  invalidateLeases (): void {}

  private get _endpoint (): EtcdEndpoint {
    return this._endpoints[this._endpointIndex % this._endpoints.length]
  }

  private async _call<Value> (context: CallContext, effect: 'read' | 'write', call: (endpoint: EtcdEndpoint, options: CallOptions) => Promise<Value>): Promise<Result<Value, KeyValueError>> {
    const endpoint = this._endpoint
    const now = this._clock.now()
    const child = context.createChild(now + CALL_TIMEOUT_MILLISECONDS)
    const timeoutMs = Math.max(MINIMUM_TIMEOUT_MILLISECONDS, child.deadline - now)
    try {
      return ok(await call(endpoint, { signal: child.signal, timeoutMs }))
    } catch (error) {
      return err(this._handleFailure(error, effect, endpoint))
    } finally {
      child.finish()
    }
  }

  private _handleFailure (error: unknown, effect: 'read' | 'write', endpoint: EtcdEndpoint): KeyValueError {
    const failure = ConnectError.from(error)
    const definite = isDefiniteRefusal(failure.code)
    if (!definite && this._endpoint === endpoint) this._endpointIndex++
    const kind = definite || effect === 'read' ? 'refused' : 'ambiguous'
    return KeyValueError.create(kind, `The key-value service at ${endpoint.address} did not complete the call: ${failure.rawMessage}. Check that it is reachable and within its limits.`)
  }
}

/** Returns whether etcd responds with this code only if it has not carried out the call. */
function isDefiniteRefusal (code: Code): boolean {
  return code === Code.InvalidArgument || code === Code.ResourceExhausted || code === Code.OutOfRange || code === Code.PermissionDenied ||
    code === Code.Unauthenticated || code === Code.NotFound || code === Code.FailedPrecondition || code === Code.Unimplemented
}

function createEndpoint (address: string): EtcdEndpoint {
  const transport = createGrpcTransport({
    baseUrl: address,
    pingIntervalMs: PING_INTERVAL_MILLISECONDS,
    pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
    pingIdleConnection: true
  })
  return { address, keyValue: createClient(etcd.KV, transport), watch: createClient(etcd.Watch, transport), lease: createClient(etcd.Lease, transport) }
}

/** Sends the single request of a watch and keeps the request stream open until the context is cancelled. */
async function * createWatchRequests (context: CallContext, prefix: string, startRevision: number) {
  yield {
    requestUnion: {
      case: 'createRequest' as const,
      value: { key: encodeText(prefix), rangeEnd: prefixRangeEnd(prefix), startRevision: BigInt(startRevision), progressNotify: true }
    }
  }
  await new Promise<void>(resolve => context.onCancel(() => resolve()))
}

async function * createKeepAliveRequests (lease: bigint) {
  yield { ID: lease }
}

function createWatchCancelledError (response: etcd.WatchResponse): KeyValueError {
  if (response.compactRevision > 0n) return KeyValueError.create('compacted', `The watch asked for changes before revision ${response.compactRevision}, which have been compacted. Read a new snapshot.`)
  return KeyValueError.create('refused', `The key-value service ended the watch: ${response.cancelReason}. Start it again.`)
}
