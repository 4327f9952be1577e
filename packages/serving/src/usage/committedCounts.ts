/**
 * Remembers the usage counts that gateways have written to the store. When the store comes back from a copy, counts may be
 * lost that were reported already; a window must not be reported again with other ones.
 *
 * @module
 */

/** Number of windows that are remembered. */
const REMEMBERED_WINDOWS = 16

/** Requests by workspace. */
export type WorkspaceCounts = ReadonlyMap<string, number>

/** The counts of the last windows that one gateway has seen in the store. */
export class CommittedCounts {
  private readonly _counts = new Map<number, WorkspaceCounts>()
  private _era: number | undefined
  /** Windows before this one may have been reported with counts that were lost; undefined when none were lost. */
  private _firstSafeWindow: number | undefined

  static create (): CommittedCounts {
    return new CommittedCounts()
  }

  get (window: number): WorkspaceCounts | undefined {
    return this._counts.get(window)
  }

  /** Whether a window may be reported with new counts, because none can have been reported before. */
  isSafe (window: number): boolean {
    return this._firstSafeWindow === undefined || window >= this._firstSafeWindow
  }

  record (window: number, counts: WorkspaceCounts): void {
    this._counts.set(window, counts)
    const [oldest] = this._counts.keys()
    if (this._counts.size > REMEMBERED_WINDOWS) this._counts.delete(oldest)
  }

  /** Records the era of the store; `unreportedWindow` is the first window that no gateway has reported yet. */
  recordEra (era: number, unreportedWindow: number): void {
    if (this._era !== undefined && era > this._era) this._firstSafeWindow = unreportedWindow
    this._era = Math.max(era, this._era ?? era)
  }
}
