/**
 * Counts, for each reporting window and workspace, the requests of all gateways that upstreams started to execute.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Number of past windows that are retained. */
const RETAINED_WINDOWS = 8

/** Number of requests of one workspace in one window. */
export interface WindowCount {
  window: number
  workspace: string
  requests: number
}

type CountsByWorkspace = Map<string, number>

/** Local counts and the counts that peers have reported. */
export class UsageLedger {
  private readonly _windowMilliseconds: number
  private readonly _local = new Map<number, CountsByWorkspace>()
  /** Counts of peers by window and gateway incarnation. */
  private readonly _reported = new Map<number, Map<string, CountsByWorkspace>>()

  private constructor (windowMilliseconds: number) {
    this._windowMilliseconds = windowMilliseconds
  }

  static create (windowMilliseconds: number): UsageLedger {
    return new UsageLedger(windowMilliseconds)
  }

  /** Returns the number of the window that contains a time of day. */
  windowAt (timeOfDay: Timestamp): number {
    return Math.floor(timeOfDay / this._windowMilliseconds)
  }

  /** Returns the time of day at which a window ends. */
  endOf (window: number): Timestamp {
    return (window + 1) * this._windowMilliseconds
  }

  /** Counts a request that this gateway sent and an upstream started to execute. */
  record (workspace: string, timeOfDay: Timestamp): void {
    const window = this.windowAt(timeOfDay)
    const counts = this._local.get(window) ?? new Map<string, number>()
    this._local.set(window, counts)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this._removeBefore(window - RETAINED_WINDOWS)
  }

  /**
   * Merges the counts of one incarnation of a peer. Its counts only increase, so the maximum is kept and reports may
   * arrive repeatedly and in any order.
   */
  applyReport (gatewayIncarnation: string, counts: readonly WindowCount[]): void {
    for (const { window, workspace, requests } of counts) {
      const byIncarnation = this._reported.get(window) ?? new Map<string, CountsByWorkspace>()
      this._reported.set(window, byIncarnation)
      const known = byIncarnation.get(gatewayIncarnation) ?? new Map<string, number>()
      byIncarnation.set(gatewayIncarnation, known)
      known.set(workspace, Math.max(known.get(workspace) ?? 0, requests))
    }
  }

  /** Returns the counts of this gateway from `firstWindow` on. */
  listLocal (firstWindow: number): WindowCount[] {
    const counts: WindowCount[] = []
    for (const [window, byWorkspace] of this._local) {
      if (window < firstWindow) continue
      for (const [workspace, requests] of byWorkspace) counts.push({ window, workspace, requests })
    }
    return counts
  }

  /** Sums the counts of all gateways in one window, by workspace. */
  sum (window: number): Map<string, number> {
    const total = new Map<string, number>(this._local.get(window))
    for (const counts of this._reported.get(window)?.values() ?? []) {
      for (const [workspace, requests] of counts) total.set(workspace, (total.get(workspace) ?? 0) + requests)
    }
    return total
  }

  private _removeBefore (window: number): void {
    for (const known of this._local.keys()) if (known < window) this._local.delete(known)
    for (const known of this._reported.keys()) if (known < window) this._reported.delete(known)
  }
}
