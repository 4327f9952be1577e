/**
 * The archive of stream origins in the store, from which gateways that have all lost their memory at once learn which
 * software began a stream. It is written only while more than one software of a service may have begun streams.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { KeyValueService } from '@plumstage/coordination'
import type { GatewayAddresses } from '../peers/gatewayAddresses.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { StoreKeys } from '../storeKeys.js'
import { ArchiveBatches, decodeArchiveRecords, encodeArchiveRecords } from './archiveBatches.js'
import type { ArchiveBatch } from './archiveBatches.js'
import { shardBitsFor, shardOf, writerOf } from './archiveShards.js'
import type { ShardName } from './archiveShards.js'
import type { LookupResult } from './originLookup.js'
import type { SoftwareId } from './software.js'
import type { SoftwareHistory } from './softwareHistory.js'
import { MAXIMUM_STREAM_LIFETIME_MILLISECONDS } from './streamLifetime.js'
import { encodeStreamMessage } from './streamMessages.js'
import type { StreamKey, StreamOrigin } from './streamOrigins.js'

const WRITE_INTERVAL_MILLISECONDS = 200
const CALL_TIMEOUT_MILLISECONDS = 1000
/** A lease is used for batches of this time, so that not every batch needs one of its own. */
const LEASE_REUSE_MILLISECONDS = 15_000
const MILLISECONDS_PER_SECOND = 1000
/** A shard that was read is read again after this time at the earliest. */
const READ_AGAIN_MILLISECONDS = 250

/** Dependencies of the archive. */
export interface StreamArchiveOptions {
  store: KeyValueService
  keys: StoreKeys
  /** Distinguishes this run of the gateway from all others. */
  writer: string
  history: SoftwareHistory
  addresses: GatewayAddresses
  socket: Pick<PeerSocket, 'sendStreamMessage'>
  clock: Clock
  instrumentation: Instrumentation
}

interface ArchiveLease {
  id: bigint
  deadline: Timestamp
}

interface ShardReading {
  startedAt: Timestamp
  /** Undefined when the store did not answer. */
  records: Promise<ReadonlyMap<StreamKey, SoftwareId> | undefined>
}

/** Writes and reads the archive for one gateway. */
export class StreamArchive {
  private readonly _options: StreamArchiveOptions
  private readonly _batches = ArchiveBatches.create()
  private readonly _readings = new Map<ShardName, ShardReading>()
  private readonly _log = getLogger('streams')
  private _lease: ArchiveLease | undefined

  private constructor (options: StreamArchiveOptions) {
    this._options = options
  }

  static create (options: StreamArchiveOptions): StreamArchive {
    return new StreamArchive(options)
  }

  /** Has a record written if the archive is in use for the service; returns whether it is. */
  record (service: string, key: StreamKey, origin: StreamOrigin): boolean {
    const { history, addresses, socket, clock } = this._options
    const now = clock.now()
    if (!history.hasSeveral(service, now)) return false
    const writer = writerOf(this._shardOf(key), addresses.list())
    if (writer === undefined || writer === addresses.self) this.accept(key, origin)
    else socket.sendStreamMessage(encodeStreamMessage({ kind: 'archive', key, origin }, now), writer)
    return true
  }

  /** Accepts a record that this gateway is to write. */
  accept (key: StreamKey, origin: StreamOrigin): void {
    this._batches.add(key, this._shardOf(key), origin)
  }

  /** Finds a record in the store. */
  async find (context: CallContext, key: StreamKey): Promise<LookupResult> {
    const records = await this._read(context, this._shardOf(key))
    if (!records) return { kind: 'unanswered' }
    const software = records.get(key)
    if (software === undefined) return { kind: 'not-found' }
    return { kind: 'found', origin: { software, expiresAt: this._options.clock.now() + MAXIMUM_STREAM_LIFETIME_MILLISECONDS } }
  }

  /** Writes the batches until the context is cancelled. */
  async run (context: CallContext): Promise<void> {
    const { clock } = this._options
    while (!context.cancelled) {
      await context.sleepUntil(clock.now() + WRITE_INTERVAL_MILLISECONDS)
      await this._writeAll(context)
    }
  }

  private async _writeAll (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      const batch = this._batches.next(this._options.clock.now())
      if (!batch || !await this._write(context, batch)) return
      this._batches.recordWritten()
    }
  }

  /** Writing a batch once more changes nothing, so a call without a response is repeated. */
  private async _write (context: CallContext, batch: ArchiveBatch): Promise<boolean> {
    const { store, keys, writer, clock, instrumentation } = this._options
    const callContext = context.createChild(clock.now() + CALL_TIMEOUT_MILLISECONDS)
    const lease = await this._ensureLease(callContext, batch.expiresAt)
    const written = lease && await store.transact(callContext, {
      conditions: [],
      onSuccess: [{ kind: 'put', key: keys.archiveKey(batch.shard, writer, batch.number), value: encodeArchiveRecords(batch.records), lease: lease.id }],
      onFailure: []
    })
    callContext.finish()
    if (written?.isOk() === true) return true
    this._lease = undefined
    instrumentation.emit('stream-archive-not-written', { shard: batch.shard, records: batch.records.size, error: written?.isErr() === true ? written.error.message : 'no lease was granted' })
    return false
  }

  private async _ensureLease (context: CallContext, until: Timestamp): Promise<ArchiveLease | undefined> {
    const { store, clock } = this._options
    if (this._lease && this._lease.deadline >= until) return this._lease
    const now = clock.now()
    const duration = Math.min(MAXIMUM_STREAM_LIFETIME_MILLISECONDS, until - now + LEASE_REUSE_MILLISECONDS)
    const granted = await store.grantLease(context, Math.ceil(duration / MILLISECONDS_PER_SECOND))
    if (granted.isErr()) return undefined
    this._lease = { id: granted.value.id, deadline: Math.max(until, now + granted.value.timeToLiveSeconds * MILLISECONDS_PER_SECOND) }
    return this._lease
  }

  private async _read (context: CallContext, shard: ShardName): Promise<ReadonlyMap<StreamKey, SoftwareId> | undefined> {
    const now = this._options.clock.now()
    const known = this._readings.get(shard)
    if (known && now < known.startedAt + READ_AGAIN_MILLISECONDS) return await known.records
    const reading = { startedAt: now, records: this._list(context, shard) }
    this._readings.set(shard, reading)
    return await reading.records
  }

  private async _list (context: CallContext, shard: ShardName): Promise<ReadonlyMap<StreamKey, SoftwareId> | undefined> {
    const { store, keys, clock, instrumentation } = this._options
    const startedAt = clock.now()
    const callContext = context.createChild(startedAt + CALL_TIMEOUT_MILLISECONDS)
    const listing = await store.list(callContext, keys.archivePrefix(shard))
    callContext.finish()
    if (listing.isErr()) return void this._log.warn(`The archive of streams can't be read: ${listing.error.message}`)
    if (listing.value.leftOut) return void this._log.warn(`The archive of streams can't be read: shard ${shard} holds more than this gateway has room for. Remove the entries of other writers.`)
    const records = new Map(listing.value.entries.flatMap(({ value }) => [...decodeArchiveRecords(value)]))
    instrumentation.emit('stream-archive-read', { shard, entries: listing.value.entries.length, records: records.size, milliseconds: Math.round(clock.now() - startedAt) })
    return records
  }

  private _shardOf (key: StreamKey): ShardName {
    return shardOf(key, shardBitsFor(this._options.addresses.list().length))
  }
}
