/**
 * Counts, for each reporting window, the requests of each workspace that upstreams began to run, over all gateways.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Windows that are kept after their end. */
const RETAINED_WINDOWS = 8

/** Requests of one workspace in one window. */
export interface WindowCount {
  window: number
  workspace: string
  requests: number
}

type CountsByWorkspace = Map<string, number>

/** The counts of this gateway and those that other gateways have reported. */
export class UsageLedger {
  private readonly _windowMilliseconds: number
  private readonly _local = new Map<number, CountsByWorkspace>()
  /** Counts by window and run of a gateway. */
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

  /** Returns when a window ends, as a time of day. */
  endOf (window: number): Timestamp {
    return (window + 1) * this._windowMilliseconds
  }

  record (workspace: string, timeOfDay: Timestamp): void {
    const window = this.windowAt(timeOfDay)
    const counts = this._local.get(window) ?? new Map<string, number>()
    this._local.set(window, counts)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this._removeBefore(window - RETAINED_WINDOWS)
  }

  /** Takes what one run of another gateway has counted; its counts only grow. */
  applyReport (gatewayRun: string, counts: readonly WindowCount[]): void {
    for (const { window, workspace, requests } of counts) {
      const runs = this._reported.get(window) ?? new Map<string, CountsByWorkspace>()
      this._reported.set(window, runs)
      const known = runs.get(gatewayRun) ?? new Map<string, number>()
      runs.set(gatewayRun, known)
      known.set(workspace, Math.max(known.get(workspace) ?? 0, requests))
    }
  }

  /** Counts of this gateway from `firstWindow` on. */
  listLocal (firstWindow: number): WindowCount[] {
    const counts: WindowCount[] = []
    for (const [window, byWorkspace] of this._local) {
      if (window < firstWindow) continue
      for (const [workspace, requests] of byWorkspace) counts.push({ window, workspace, requests })
    }
    return counts
  }

  /** Counts of all gateways in one window, by workspace. */
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
