/**
 * Reports usage to the cloud while this gateway holds the cloud duty. The counts of a window are written to the store once, by
 * compare-and-swap, before they are sent, so that a later holder of the duty repeats exactly the same counts. Every gateway
 * remembers them, in case that the store loses them.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { DutyTask, KeyValueChange, KeyValueEntry, KeyValueService, StorePosition } from '@plumstage/coordination'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import type { Cloud } from '../duties/cloud.js'
import type { StoreKeys } from '../storeKeys.js'
import { CommittedCounts } from './committedCounts.js'
import type { WorkspaceCounts } from './committedCounts.js'
import type { UsageLedger } from './usageLedger.js'
import { UsageStore } from './usageStore.js'
import type { StoredEraStart } from './usageStore.js'

/** A window is reported this long after its end at the earliest, so that the last counts of peers have arrived. */
const SETTLE_MILLISECONDS = 1500
const POLL_MILLISECONDS = 500
const CALL_TIMEOUT_MILLISECONDS = 1500
/** Number of past windows that a new holder reports or repeats. */
const LOOKBACK_WINDOWS = 2
/** The times of day at two gateways differ by less than this. */
const CLOCK_TOLERANCE_MILLISECONDS = 5000
/** No gateway can have reported a window earlier than this after the first start of the system. */
const FIRST_START_MILLISECONDS = 1000
/** Counts are removed from the store this long after the last moment for reporting them. */
const RETENTION_MILLISECONDS = 300_000

/** Where the counts of a report come from: the sums of this gateway, the store, or what this gateway saw there before. */
type CountsSource = 'summed' | 'stored' | 'remembered'

/** The counts of a window that may be reported. */
interface ReportableCounts {
  counts: WorkspaceCounts
  source: CountsSource
}

/** Why a window is not reported. */
type SkipReason =
  /** The last moment for reporting it has passed. */
  | 'overdue'
  /** It may have been reported in an earlier era of the store, with counts that are not known here. */
  | 'possibly-reported'
  /** The store holds other counts than this gateway saw there in an earlier era. */
  | 'contradicted'

/** What is known about a window that is due. */
type WindowOutcome =
  | { kind: 'reportable', reportable: ReportableCounts }
  | { kind: 'skip', reason: SkipReason }
  /** The store did not answer, or its entry can't be read. */
  | { kind: 'retry' }

const RETRY: WindowOutcome = { kind: 'retry' }

/** Dependencies of the task. */
export interface UsageReportTaskOptions {
  duty: DutyTask
  /** Name of this gateway, which it sends to the cloud while it holds the duty. */
  holder: string
  cloud: Cloud
  store: KeyValueService
  keys: StoreKeys
  ledger: UsageLedger
  /** Maximum time after the end of a window for reporting it; a window that is not reported by then is skipped. */
  delayMilliseconds: () => number
  /** Whether the system as a whole started with this gateway. */
  isFirstStart: boolean
  clock: Clock
  timeOfDay: () => Timestamp
  instrumentation: Instrumentation
}

/** Reports the windows in order while this gateway holds the duty. */
export class UsageReportTask implements StoreObserver {
  private readonly _options: UsageReportTaskOptions
  private readonly _usageStore: UsageStore
  private readonly _committed = CommittedCounts.create()
  /** Windows before this one are reported or no longer due. */
  private _nextWindow: number
  private readonly _startedAt: Timestamp
  private readonly _startWindow: number

  private constructor (options: UsageReportTaskOptions) {
    this._options = options
    this._startedAt = options.clock.now()
    this._startWindow = options.ledger.windowAt(options.timeOfDay())
    this._usageStore = UsageStore.create(options.store, options.keys)
    this._nextWindow = this._startWindow
  }

  static create (options: UsageReportTaskOptions): UsageReportTask {
    return new UsageReportTask(options)
  }

  onSnapshot (entries: readonly KeyValueEntry[], { era }: StorePosition): void {
    for (const entry of entries) this._observe(entry, era)
  }

  onChanges (changes: readonly KeyValueChange[], { era }: StorePosition): void {
    for (const change of changes) {
      if (change.kind === 'put') this._observe(change.entry, era)
      else this._usageStore.observeRemoval(change.key)
    }
  }

  async run (context: CallContext): Promise<void> {
    const { clock, duty, ledger, timeOfDay } = this._options
    while (!context.cancelled) {
      if (duty.getHeldDuty()) await this._processNextWindow(context)
      else this._nextWindow = Math.max(this._nextWindow, ledger.windowAt(timeOfDay()) - LOOKBACK_WINDOWS)
      await context.sleepUntil(clock.now() + POLL_MILLISECONDS)
    }
  }

  private _observe (entry: KeyValueEntry, era: number): void {
    const start = this._usageStore.readEraStart(entry)
    if (start) this._committed.observeEraStart(start)
    const observed = this._usageStore.observe(entry)
    if (observed) this._committed.observe(observed.window, observed.counts, era)
  }

  /** Returns the last moment for reporting a window. */
  private _lastMomentOf (window: number): Timestamp {
    return this._options.ledger.endOf(window) + this._options.delayMilliseconds()
  }

  private _skipWindow (reason: SkipReason): void {
    this._options.instrumentation.emit('usage-skipped', { window: this._nextWindow, reason })
    this._nextWindow++
  }

  private async _processNextWindow (context: CallContext): Promise<void> {
    const { clock, timeOfDay } = this._options
    if (timeOfDay() > this._lastMomentOf(this._nextWindow)) return this._skipWindow('overdue')
    const callContext = context.createChild(clock.now() + CALL_TIMEOUT_MILLISECONDS)
    try {
      // An era starts as early as possible, so that few windows are before its first one.
      const start = await this._ensureEraStart(callContext)
      if (start && this._hasSettled(this._nextWindow)) await this._processWindow(callContext, this._nextWindow, start)
    } finally {
      callContext.finish()
    }
  }

  private async _ensureEraStart (context: CallContext): Promise<StoredEraStart | undefined> {
    const start = await this._usageStore.ensureEraStart(context, () => this._options.duty.getHeldDuty() && this._chooseFirstWindow())
    if (start) this._committed.observeEraStart(start)
    return start
  }

  /** Returns the first window that can't have been reported yet, if an era starts now. */
  private _chooseFirstWindow (): number {
    const { clock, ledger, timeOfDay, isFirstStart } = this._options
    if (isFirstStart && clock.now() < this._startedAt + FIRST_START_MILLISECONDS) return this._startWindow
    return ledger.windowAt(timeOfDay() + CLOCK_TOLERANCE_MILLISECONDS)
  }

  private _hasSettled (window: number): boolean {
    const { ledger, timeOfDay } = this._options
    return timeOfDay() >= ledger.endOf(window) + SETTLE_MILLISECONDS
  }

  private async _processWindow (context: CallContext, window: number, start: StoredEraStart): Promise<void> {
    const outcome = await this._resolve(context, window, start)
    if (outcome.kind === 'skip') return this._skipWindow(outcome.reason)
    if (outcome.kind === 'reportable' && await this._report(context, window, outcome.reportable)) this._nextWindow++
  }

  /** Finds the counts that may be reported for a window. */
  private async _resolve (context: CallContext, window: number, start: StoredEraStart): Promise<WindowOutcome> {
    const decision = this._committed.decide(window, start)
    if (decision.kind === 'skip') return { kind: 'skip', reason: 'possibly-reported' }
    if (decision.kind === 'repeat') return { kind: 'reportable', reportable: { counts: decision.counts, source: 'remembered' } }
    return await this._commit(context, window, decision.remembered, start)
  }

  private async _commit (context: CallContext, window: number, remembered: WorkspaceCounts | undefined, start: StoredEraStart): Promise<WindowOutcome> {
    const counts = remembered ?? this._options.ledger.sum(window)
    const outcome = await this._usageStore.commit(context, window, counts, start)
    if (outcome.kind === 'exists') return this._compareStored(window, outcome.counts, remembered, start)
    if (outcome.kind !== 'written') return RETRY
    this._committed.observe(window, counts, start.era)
    await this._removeOutdated(context, start)
    return { kind: 'reportable', reportable: { counts, source: remembered ? 'remembered' : 'summed' } }
  }

  private _compareStored (window: number, stored: WorkspaceCounts, remembered: WorkspaceCounts | undefined, start: StoredEraStart): WindowOutcome {
    if (remembered && !hasSameCounts(stored, remembered)) return { kind: 'skip', reason: 'contradicted' }
    this._committed.observe(window, stored, start.era)
    return { kind: 'reportable', reportable: { counts: stored, source: 'stored' } }
  }

  private async _removeOutdated (context: CallContext, start: StoredEraStart): Promise<void> {
    const { ledger, timeOfDay, delayMilliseconds } = this._options
    await this._usageStore.removeBefore(context, ledger.windowAt(timeOfDay() - delayMilliseconds() - RETENTION_MILLISECONDS), start)
  }

  /** Returns whether the cloud has accepted the report. */
  private async _report (context: CallContext, window: number, { counts, source }: ReportableCounts): Promise<boolean> {
    const { duty, cloud, holder, instrumentation } = this._options
    const call = duty.beginCall(context, CALL_TIMEOUT_MILLISECONDS)
    if (!call) return false
    const { fencingNumber, era, mayAct } = call
    const outcome = await cloud.reportUsage(call.context, { name: holder, fencingNumber, mayAct }, { window, counts })
    call.context.finish()
    const result = outcome.isOk() ? outcome.value : 'unanswered'
    const requests = [...counts.values()].reduce((sum, count) => sum + count, 0)
    instrumentation.emit('usage-reported', { window, result, source, era, fencingNumber, requests })
    if (result === 'fenced') duty.abandon()
    return result === 'accepted'
  }
}

function hasSameCounts (left: WorkspaceCounts, right: WorkspaceCounts): boolean {
  return left.size === right.size && [...left].every(([workspace, count]) => right.get(workspace) === count)
}
