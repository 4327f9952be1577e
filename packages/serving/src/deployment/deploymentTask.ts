/**
 * Follows the store: reads all entries once, then watches for changes.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { KeyValueChange, KeyValueEntry, KeyValueError, KeyValueService } from '@plumstage/coordination'
import type { DeploymentView, ViewChange } from './deploymentView.js'

const RETRY_MILLISECONDS = 250
/** After a change, those that follow are collected for this long for each gateway of the deployment. */
const BATCH_DELAY_PER_GATEWAY_MILLISECONDS = 12
const MAXIMUM_BATCH_DELAY_MILLISECONDS = 900
const SNAPSHOT_TIMEOUT_MILLISECONDS = 3000
/** A store that did not answer for this long counts as having been away. */
const OUTAGE_THRESHOLD_MILLISECONDS = 800
const ALL_KEYS = ''

/** Told of every entry that is not part of the deployment itself. */
export interface StoreObserver {
  onSnapshot (entries: readonly KeyValueEntry[]): void
  onChanges (changes: readonly KeyValueChange[]): void
}

/** What the task works with. */
export interface DeploymentTaskOptions {
  store: KeyValueService
  view: DeploymentView
  clock: Clock
  instrumentation: Instrumentation
  observer: StoreObserver
  /** Number of gateways that follow the store. */
  countGateways: () => number
  onChange (change: ViewChange): void
}

/** Keeps the view of one gateway up to date. */
export class DeploymentTask {
  private readonly _options: DeploymentTaskOptions
  private readonly _log = getLogger('deployment')
  private _failingSince: Timestamp | undefined
  private _nextRevision = 0

  private constructor (options: DeploymentTaskOptions) {
    this._options = options
  }

  static create (options: DeploymentTaskOptions): DeploymentTask {
    return new DeploymentTask(options)
  }

  /** Whether the store answers. */
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
    const { store, view, clock, observer } = this._options
    const call = context.createChild(clock.now() + SNAPSHOT_TIMEOUT_MILLISECONDS)
    const snapshot = await store.list(call, ALL_KEYS)
    call.finish()
    if (snapshot.isErr()) return this._recordFailure(snapshot.error)
    this._recordSuccess()
    this._options.onChange(view.applyStoreSnapshot(snapshot.value.entries, clock.now()))
    observer.onSnapshot(snapshot.value.entries)
    this._nextRevision = snapshot.value.revision + 1
  }

  private async _watch (context: CallContext): Promise<void> {
    const { store, view, clock, observer } = this._options
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
      observer.onChanges(batch.value.changes)
      await context.sleepUntil(clock.now() + this._batchDelayMilliseconds)
    }
  }

  /** Gateways that each ask for every change by itself would together ask with the square of their number. */
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
    const awayMilliseconds = clock.now() - this._failingSince
    this._failingSince = undefined
    if (awayMilliseconds >= OUTAGE_THRESHOLD_MILLISECONDS) view.recordStoreRecovery(clock.now())
    instrumentation.emit('store-regained', { awayMilliseconds: Math.round(awayMilliseconds) })
  }
}
