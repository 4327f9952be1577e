/**
 * Keeps the beginnings of streams at several gateways, and finds them again when a caller resumes a stream anywhere.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { StoreCatchUp } from '../deployment/storeCatchUp.js'
import type { GatewayAddresses } from '../peers/gatewayAddresses.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import { OriginLookup } from './originLookup.js'
import type { LookupResult } from './originLookup.js'
import { OriginReplicas } from './originReplicas.js'
import type { SoftwareHistory } from './softwareHistory.js'
import type { StreamArchive } from './streamArchive.js'
import { decodeStreamMessage, encodeStreamMessage } from './streamMessages.js'
import type { StreamMessage } from './streamMessages.js'
import { StreamOrigins, streamKeyOf } from './streamOrigins.js'
import type { StreamKey, StreamOrigin } from './streamOrigins.js'

/** Gateways that have not answered are asked once more after this time, since a datagram may be lost. */
const REPEAT_MILLISECONDS = 80
const ANSWER_TIMEOUT_MILLISECONDS = 250

/** Dependencies of the task. */
export interface StreamOriginTaskOptions {
  socket: PeerSocket
  addresses: GatewayAddresses
  history: SoftwareHistory
  archive: StreamArchive
  /** Whether the last call to the store succeeded. */
  isFollowingStore: () => boolean
  catchUp: Pick<StoreCatchUp, 'confirm'>
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
}

/** A question that several requests may wait for. */
interface PendingLookup {
  lookup: OriginLookup
  result: Promise<LookupResult>
  settle: () => void
}

/** The records of one gateway, and its messages about them. */
export class StreamOriginTask {
  private readonly _options: StreamOriginTaskOptions
  private readonly _origins = StreamOrigins.create()
  private readonly _pending = new Map<StreamKey, PendingLookup>()
  private readonly _log = getLogger('streams')
  private _knownReplicas: OriginReplicas | undefined
  /** Version of the addresses that `_knownReplicas` was made of. */
  private _replicasVersion = 0

  private constructor (options: StreamOriginTaskOptions) {
    this._options = options
    options.socket.onStreamMessage((bytes, sender) => this._receive(bytes, sender))
  }

  static create (options: StreamOriginTaskOptions): StreamOriginTask {
    return new StreamOriginTask(options)
  }

  /** Number of streams whose beginning is kept here. */
  get recordCount (): number {
    return this._origins.size
  }

  /** Records what began a stream, here and at its replicas, before the caller receives its first event. */
  record (requestId: string, origin: StreamOrigin): void {
    const { clock, socket } = this._options
    const now = clock.now()
    const key = streamKeyOf(requestId)
    this._origins.add(key, origin, now)
    const bytes = encodeStreamMessage({ kind: 'origin', key, origin }, now)
    for (const address of this._replicas.chooseReplicas(key)) socket.sendStreamMessage(bytes, address)
  }

  /**
   * Archives what a stream is about to begin at, so that it is known even if all gateways are killed at once. Returns
   * whether it was archived; the stream may then begin only there.
   */
  archive (service: string, requestId: string, origin: StreamOrigin): boolean {
    return this._options.archive.record(service, streamKeyOf(requestId), origin)
  }

  /**
   * Finds what began a stream that a caller resumes: by a record of a gateway, because only one software of the service
   * may have, or by the archive. `requestId` is undefined if the caller does not name the request that began the stream.
   */
  async find (service: string, requestId: string | undefined): Promise<LookupResult> {
    const { clock, instrumentation } = this._options
    const startedAt = clock.now()
    const key = requestId === undefined ? undefined : streamKeyOf(requestId)
    const recorded: LookupResult = key === undefined ? { kind: 'unanswered' } : await this._findRecord(key)
    const result = await this._complete(service, key, recorded)
    const software = result.kind === 'found' ? result.origin.software : undefined
    instrumentation.emit('stream-origin-looked-up', { service, resumedRequest: requestId, record: recorded.kind, result: result.kind, software, milliseconds: Math.round(clock.now() - startedAt) })
    return result
  }

  private async _findRecord (key: StreamKey): Promise<LookupResult> {
    const { clock } = this._options
    const kept = this._origins.find(key, clock.now())
    if (kept) return { kind: 'found', origin: kept }
    const result = await this._ask(key)
    if (result.kind === 'found') this._origins.add(key, result.origin, clock.now())
    return result
  }

  /** Returns what gateways have recorded; without a record, what can be inferred or what the archive holds. */
  private async _complete (service: string, key: StreamKey | undefined, recorded: LookupResult): Promise<LookupResult> {
    if (recorded.kind === 'found') return recorded
    const inferred = await this._inferOrigin(service)
    if (inferred) return inferred
    return key === undefined ? recorded : await this._findArchived(key, recorded)
  }

  /** A record of the archive counts; without one, what the gateways have answered does. */
  private async _findArchived (key: StreamKey, recorded: LookupResult): Promise<LookupResult> {
    const { archive, context, clock } = this._options
    const archived = await archive.find(context, key)
    if (archived.kind === 'found') this._origins.add(key, archived.origin, clock.now())
    return archived.kind === 'not-found' ? recorded : archived
  }

  /**
   * Infers what began a stream if only one software may have. That needs a list of upstreams that is current after the
   * stream broke off: before, a version may have joined and begun the stream of which this gateway has not heard.
   */
  private async _inferOrigin (service: string): Promise<LookupResult | undefined> {
    const { clock, history, isFollowingStore, catchUp } = this._options
    if (history.onlySoftwareOf(service, clock.now()) === undefined) return undefined
    if (!isFollowingStore() || !await catchUp.confirm()) return { kind: 'unanswered' }
    const software = history.onlySoftwareOf(service, clock.now())
    return software === undefined ? undefined : { kind: 'found', origin: { software, expiresAt: clock.now() } }
  }

  private get _replicas (): OriginReplicas {
    const { addresses } = this._options
    if (this._knownReplicas && this._replicasVersion === addresses.version) return this._knownReplicas
    this._replicasVersion = addresses.version
    this._knownReplicas = OriginReplicas.create(addresses.list(), addresses.self)
    return this._knownReplicas
  }

  private async _ask (key: StreamKey): Promise<LookupResult> {
    const known = this._pending.get(key)
    if (known) return await known.result
    const pending = this._startLookup(key)
    this._pending.set(key, pending)
    const result = await pending.result
    this._pending.delete(key)
    return result
  }

  private _startLookup (key: StreamKey): PendingLookup {
    const { clock, context } = this._options
    const now = clock.now()
    const lookup = OriginLookup.create(this._replicas.chooseAskedGateways(key))
    const { promise, resolve } = createSignal()
    const timers = [
      clock.schedule(now + REPEAT_MILLISECONDS, () => this._sendQueries(key, lookup)),
      clock.schedule(now + ANSWER_TIMEOUT_MILLISECONDS, resolve)
    ]
    const stopListening = context.onCancel(resolve)
    const result = promise.then(() => {
      for (const timer of timers) timer.cancel()
      stopListening()
      return lookup.result
    })
    this._sendQueries(key, lookup)
    if (lookup.isSettled) resolve()
    return { lookup, result, settle: resolve }
  }

  private _sendQueries (key: StreamKey, lookup: OriginLookup): void {
    const bytes = encodeStreamMessage({ kind: 'query', key }, this._options.clock.now())
    for (const address of lookup.unanswered) this._options.socket.sendStreamMessage(bytes, address)
  }

  private _receive (bytes: Buffer, sender: string): void {
    const now = this._options.clock.now()
    const message = decodeStreamMessage(bytes, now)
    if (message.isErr()) return this._log.warn(`${sender}: ${message.error.message}`)
    this._apply(message.value, sender, now)
  }

  private _apply (message: StreamMessage, sender: string, now: Timestamp): void {
    if (message.kind === 'origin') return this._origins.add(message.key, message.origin, now)
    if (message.kind === 'archive') return this._options.archive.accept(message.key, message.origin)
    if (message.kind === 'query') return this._answer(message.key, sender, now)
    const pending = this._pending.get(message.key)
    if (!pending) return
    pending.lookup.recordReply(sender, message.origin)
    if (pending.lookup.isSettled) pending.settle()
  }

  private _answer (key: StreamKey, address: string, now: Timestamp): void {
    const bytes = encodeStreamMessage({ kind: 'reply', key, origin: this._origins.find(key, now) }, now)
    this._options.socket.sendStreamMessage(bytes, address)
  }
}

function createSignal (): { promise: Promise<void>, resolve: () => void } {
  let resolve: () => void = () => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
