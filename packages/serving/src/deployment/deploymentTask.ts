/**
 * Keeps a gateway's view of the deployment up to date: reads all entries of the store once, then watches for changes.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { KeyValueChange, KeyValueEntry, KeyValueError, KeyValueService } from '@plumstage/coordination'
import type { DeploymentView, ViewChange } from './deploymentView.js'

const RETRY_MILLISECONDS = 250
/** After a batch of changes, the next one is delayed by this time for each gateway of the deployment. */
const BATCH_DELAY_PER_GATEWAY_MILLISECONDS = 12
const MAXIMUM_BATCH_DELAY_MILLISECONDS = 900
const SNAPSHOT_TIMEOUT_MILLISECONDS = 3000
/** An interruption of at least this length counts as an outage of the store, during which leases may have expired. */
const OUTAGE_THRESHOLD_MILLISECONDS = 800
const ALL_KEYS = ''

/** Receives all entries and changes that are read from the store. */
export interface StoreObserver {
  onSnapshot (entries: readonly KeyValueEntry[]): void
  onChanges (changes: readonly KeyValueChange[]): void
}

/** Dependencies and callbacks of the task. */
export interface DeploymentTaskOptions {
  store: KeyValueService
  view: DeploymentView
  clock: Clock
  instrumentation: Instrumentation
  observers: readonly StoreObserver[]
  /** Number of gateways that watch the store. */
  countGateways: () => number
  onChange (change: ViewChange): void
}

/** Reads and watches the store for one gateway. */
export class DeploymentTask {
  private readonly _options: DeploymentTaskOptions
  private readonly _log = getLogger('deployment')
  private _failingSince: Timestamp | undefined
  /** Revision from which the watch continues; 0 when a snapshot has to be read first. */
  private _nextRevision = 0

  private constructor (options: DeploymentTaskOptions) {
    this._options = options
  }

  static create (options: DeploymentTaskOptions): DeploymentTask {
    return new DeploymentTask(options)
  }

  /** Whether a snapshot was read and the last call to the store succeeded. */
  get isFollowingStore (): boolean {
    return this._failingSince === undefined && this._nextRevision > 0
  }

  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      if (this._nextRevision === 0) await this._readSnapshot(context)
      if (this._nextRevision > 0) await this._watch(context)
      await context.sleepUntil(this._options.clock.now() + RETRY_MILLISECONDS)
    }
  }

  private async _readSnapshot (context: CallContext): Promise<void> {
    const { store, view, clock, observers } = this._options
    const callContext = context.createChild(clock.now() + SNAPSHOT_TIMEOUT_MILLISECONDS)
    const snapshot = await store.list(callContext, ALL_KEYS)
    callContext.finish()
    if (snapshot.isErr()) return this._recordFailure(snapshot.error)
    this._recordSuccess()
    this._options.onChange(view.applyStoreSnapshot(snapshot.value.entries, clock.now()))
    for (const observer of observers) observer.onSnapshot(snapshot.value.entries)
    this._nextRevision = snapshot.value.revision + 1
  }

  private async _watch (context: CallContext): Promise<void> {
    const { store, view, clock, observers } = this._options
    for await (const batch of store.watch(context, ALL_KEYS, this._nextRevision)) {
      if (batch.isErr()) {
        if (batch.error.kind === 'compacted') this._nextRevision = 0
        else this._recordFailure(batch.error)
        return
      }
      this._recordSuccess()
      this._nextRevision = batch.value.revision + 1
      if (batch.value.changes.length === 0) continue
      this._options.onChange(view.applyStoreChanges(batch.value.changes, clock.now()))
      for (const observer of observers) observer.onChanges(batch.value.changes)
      await context.sleepUntil(clock.now() + this._batchDelayMilliseconds)
    }
  }

  /**
   * Delay that lets changes accumulate into one batch. If every gateway requested every change separately, the total
   * number of calls would grow with the square of the number of gateways.
   */
  private get _batchDelayMilliseconds (): number {
    return Math.min(MAXIMUM_BATCH_DELAY_MILLISECONDS, BATCH_DELAY_PER_GATEWAY_MILLISECONDS * this._options.countGateways())
  }

  private _recordFailure (error: KeyValueError): void {
    if (this._failingSince !== undefined) return
    this._failingSince = this._options.clock.now()
    this._options.instrumentation.emit('store-lost', { error: error.message, lastRevision: this._nextRevision - 1 })
    this._log.warn(`The store can't be read: ${error.message}`)
  }

  private _recordSuccess (): void {
    if (this._failingSince === undefined) return
    const { clock, view, instrumentation } = this._options
    const outageMilliseconds = clock.now() - this._failingSince
    this._failingSince = undefined
    if (outageMilliseconds >= OUTAGE_THRESHOLD_MILLISECONDS) view.recordStoreRecovery(clock.now())
    instrumentation.emit('store-regained', { awayMilliseconds: Math.round(outageMilliseconds) })
  }
}
