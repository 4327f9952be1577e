/**
 * Decides which counts of a usage window may be reported, so that no window is reported twice with different counts.
 *
 * Counts are written to the store before they are reported. Within one era of the store, a window without counts there has
 * not been reported; but the store loses counts when it comes back from a copy. Therefore each era has a first window: the
 * windows before it may have been reported in an earlier era. They are reported only with the counts that this gateway saw
 * in the store in that earlier era, and never with new ones.
 *
 * @module
 */
import type { EraStart } from './eraStart.js'

/** Number of windows that are remembered. */
const REMEMBERED_WINDOWS = 16
/** Number of eras whose first window is remembered. */
const REMEMBERED_ERAS = 8

/** Requests by workspace. */
export type WorkspaceCounts = ReadonlyMap<string, number>

/** What to do with a window that is due. */
export type WindowDecision =
  /** Write counts to the store, unless there are some, then report those. `remembered` are the only counts to write, if set. */
  | { kind: 'commit', remembered: WorkspaceCounts | undefined }
  /** Report these counts, which the store held before. */
  | { kind: 'repeat', counts: WorkspaceCounts }
  /** Report nothing: the window may have been reported with counts that are not known here. */
  | { kind: 'skip' }

interface ObservedCounts {
  era: number
  counts: WorkspaceCounts
}

/** The counts of the last windows that one gateway has seen in the store. */
export class CommittedCounts {
  private readonly _observed = new Map<number, ObservedCounts>()
  /** First windows of the last eras. */
  private readonly _firstWindows = new Map<number, number>()

  static create (): CommittedCounts {
    return new CommittedCounts()
  }

  /** Records counts that the store holds in an era. Those that were seen first are kept. */
  observe (window: number, counts: WorkspaceCounts, era: number): void {
    if (this._observed.has(window)) return
    this._observed.set(window, { era, counts })
    removeOldest(this._observed, REMEMBERED_WINDOWS)
  }

  observeEraStart ({ era, firstWindow }: EraStart): void {
    this._firstWindows.set(era, firstWindow)
    removeOldest(this._firstWindows, REMEMBERED_ERAS)
  }

  /** Decides about a window that is due, in the era that `start` begins. */
  decide (window: number, { firstWindow }: EraStart): WindowDecision {
    const remembered = this._findReported(window)
    if (window >= firstWindow) return { kind: 'commit', remembered }
    return remembered ? { kind: 'repeat', counts: remembered } : { kind: 'skip' }
  }

  /**
   * Returns the counts that the store held, in this era or an earlier one. Those of windows before the first one of their
   * own era do not count: a gateway that did not know of the return may have written them.
   */
  private _findReported (window: number): WorkspaceCounts | undefined {
    const observed = this._observed.get(window)
    if (!observed) return undefined
    return window >= (this._firstWindows.get(observed.era) ?? Number.POSITIVE_INFINITY) ? observed.counts : undefined
  }
}

function removeOldest (entries: Map<number, unknown>, maximumSize: number): void {
  const [oldest] = entries.keys()
  if (entries.size > maximumSize) entries.delete(oldest)
}
