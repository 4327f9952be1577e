/**
 * Reports usage to the cloud while this gateway holds the cloud duty. The counts of a window are written to the store once, by
 * compare-and-swap, before they are sent, so that a later holder of the duty repeats exactly the same counts. Every gateway
 * remembers them, in case that the store loses them.
 *
 * @module
 */
import * as z from 'zod'
import { getLogger, parseJson } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { DutyTask, KeyValueChange, KeyValueEntry, KeyValueLease, KeyValueService, StorePosition } from '@plumstage/coordination'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import type { Cloud } from '../duties/cloud.js'
import { CommittedCounts } from './committedCounts.js'
import type { WorkspaceCounts } from './committedCounts.js'
import type { UsageLedger } from './usageLedger.js'

/** A window is reported this long after its end at the earliest, so that the last counts of peers have arrived. */
const SETTLE_MILLISECONDS = 1500
const POLL_MILLISECONDS = 500
const CALL_TIMEOUT_MILLISECONDS = 1500
/** Lease of the counts in the store. */
const COUNTS_LEASE_SECONDS = 300
/** Number of past windows that a new holder reports or repeats. */
const LOOKBACK_WINDOWS = 2

const countsSchema = z.record(z.string(), z.int().min(0))

/** Where the counts of a report come from: the sums of this gateway, the store, or what this gateway saw there before. */
type CountsSource = 'summed' | 'stored' | 'remembered'

/** The counts of a window that may be reported. */
interface ReportableCounts {
  counts: WorkspaceCounts
  source: CountsSource
}

/** Dependencies of the task. */
export interface UsageReportTaskOptions {
  duty: DutyTask
  /** Name of this gateway, which it sends to the cloud while it holds the duty. */
  holder: string
  cloud: Cloud
  store: KeyValueService
  ledger: UsageLedger
  /** Returns the store key for the counts of a window. */
  keyOf: (window: number) => string
  /** Returns the window whose counts have this store key; undefined for other keys. */
  windowOf: (key: string) => number | undefined
  /** Maximum time after the end of a window for reporting it; a window that is not reported by then is skipped. */
  delayMilliseconds: () => number
  clock: Clock
  timeOfDay: () => Timestamp
  instrumentation: Instrumentation
}

/** Reports the windows in order while this gateway holds the duty. */
export class UsageReportTask implements StoreObserver {
  private readonly _options: UsageReportTaskOptions
  private readonly _log = getLogger('usage')
  /** Windows before this one are reported or no longer due. */
  private _nextWindow: number
  private _lease: KeyValueLease | undefined
  private readonly _committed = CommittedCounts.create()

  private constructor (options: UsageReportTaskOptions) {
    this._options = options
    this._nextWindow = options.ledger.windowAt(options.timeOfDay())
  }

  static create (options: UsageReportTaskOptions): UsageReportTask {
    return new UsageReportTask(options)
  }

  onSnapshot (entries: readonly KeyValueEntry[], { era }: StorePosition): void {
    const { ledger, timeOfDay } = this._options
    this._committed.recordEra(era, ledger.windowAt(timeOfDay() - SETTLE_MILLISECONDS))
    for (const entry of entries) this._observe(entry)
  }

  onChanges (changes: readonly KeyValueChange[]): void {
    for (const change of changes) if (change.kind === 'put') this._observe(change.entry)
  }

  async run (context: CallContext): Promise<void> {
    const { clock, duty, ledger, timeOfDay } = this._options
    while (!context.cancelled) {
      const current = ledger.windowAt(timeOfDay())
      if (!duty.getHeldDuty()) this._nextWindow = Math.max(this._nextWindow, current - LOOKBACK_WINDOWS)
      else if (timeOfDay() > ledger.endOf(this._nextWindow) + this._options.delayMilliseconds() || this._isLost(this._nextWindow)) this._skipWindow()
      else if (timeOfDay() >= ledger.endOf(this._nextWindow) + SETTLE_MILLISECONDS && await this._report(context, this._nextWindow)) this._nextWindow++
      await context.sleepUntil(clock.now() + POLL_MILLISECONDS)
    }
  }

  private _observe ({ key, value }: KeyValueEntry): void {
    const window = this._options.windowOf(key)
    if (window === undefined) return
    const counts = parseCounts(value)
    if (counts) this._committed.record(window, counts)
  }

  /** Whether a window may have been reported with counts that are lost. */
  private _isLost (window: number): boolean {
    return !this._committed.isSafe(window) && this._committed.get(window) === undefined
  }

  private _skipWindow (): void {
    this._options.instrumentation.emit('usage-skipped', { window: this._nextWindow })
    this._nextWindow++
  }

  private async _report (context: CallContext, window: number): Promise<boolean> {
    const { clock, duty, cloud, holder, instrumentation } = this._options
    const callContext = context.createChild(clock.now() + CALL_TIMEOUT_MILLISECONDS)
    try {
      const reportable = await this._commitCounts(callContext, window)
      const held = duty.getHeldDuty()
      if (!reportable || !held) return false
      const { counts, source } = reportable
      const outcome = await cloud.reportUsage(callContext, { name: holder, fencingNumber: held.fencingNumber }, { window, counts })
      const result = outcome.isOk() ? outcome.value : 'unanswered'
      instrumentation.emit('usage-reported', { window, result, source, era: held.era, fencingNumber: held.fencingNumber, requests: [...counts.values()].reduce((sum, count) => sum + count, 0) })
      if (result === 'fenced') duty.abandon()
      return result === 'accepted'
    } finally {
      callContext.finish()
    }
  }

  /** Returns the counts of a window from the store, after writing the sums known to this gateway if there are none yet. */
  private async _commitCounts (context: CallContext, window: number): Promise<ReportableCounts | undefined> {
    const { store, ledger, keyOf } = this._options
    const key = keyOf(window)
    const remembered = this._committed.get(window)
    const counts = remembered ?? ledger.sum(window)
    const lease = await this._ensureLease(context)
    if (!lease) return undefined
    const written = await store.transact(context, {
      conditions: [{ kind: 'create-revision', key, revision: 0 }],
      onSuccess: [{ kind: 'put', key, value: JSON.stringify(Object.fromEntries(counts)), lease: lease.id }],
      onFailure: [{ kind: 'get', key }]
    })
    if (written.isErr()) return undefined
    if (written.value.succeeded) {
      this._committed.record(window, counts)
      return { counts, source: remembered ? 'remembered' : 'summed' }
    }
    const stored = parseCounts(written.value.entries[0]?.value)
    if (stored) return { counts: stored, source: 'stored' }
    this._log.error(`The counts of window ${window} in the store can't be read. The window is skipped unless the entry is corrected in time.`)
    return undefined
  }

  /** Renews the lease of the counts, or obtains a new one. */
  private async _ensureLease (context: CallContext): Promise<KeyValueLease | undefined> {
    if (this._lease) {
      const renewed = await this._options.store.keepLeaseAlive(context, this._lease.id)
      if (renewed.isErr()) return undefined
      if (renewed.value) return this._lease
    }
    const granted = await this._options.store.grantLease(context, COUNTS_LEASE_SECONDS)
    this._lease = granted.isOk() ? granted.value : undefined
    return this._lease
  }
}

/** Returns undefined when the text is not a set of counts. */
function parseCounts (text: string | undefined): WorkspaceCounts | undefined {
  const parsed = countsSchema.safeParse(parseJson(text))
  return parsed.success ? new Map(Object.entries(parsed.data)) : undefined
}
