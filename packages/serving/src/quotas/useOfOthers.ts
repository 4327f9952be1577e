/**
 * What other gateways have used of the quotas, as they say it themselves or as relays sum it up.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { RelayedCount } from './relayedCount.js'
import type { WorkspaceUse } from './workspaceUse.js'

/** What one gateway has said of one workspace. */
interface ReportedUse {
  admittedUnits: number
  /** Units of it that were not missed. */
  heardUnits: number
  offeredUnitsPerSecond: number
}

/** Sums over the gateways that are heard directly. */
interface DirectTotals {
  /** Units since the start of the counting, those of gateways that are gone included. */
  heardUnits: number
  offeredUnitsPerSecond: number
}

/** Use at the other gateways, by workspace. */
export class UseOfOthers {
  private readonly _runs = new Map<string, Map<string, ReportedUse>>()
  private readonly _direct = new Map<string, DirectTotals>()
  private readonly _relayed = new Map<string, RelayedCount>()
  private _followsRelays = false

  static create (): UseOfOthers {
    return new UseOfOthers()
  }

  /** Chooses what counts: the sums of relays, or what the other gateways say themselves. */
  followRelays (followsRelays: boolean): void {
    if (followsRelays === this._followsRelays) return
    this._followsRelays = followsRelays
    this._relayed.clear()
  }

  /** Takes the report of a gateway; returns the units to charge. */
  applyDirect (run: string, { workspace, admittedUnits, offeredUnitsPerSecond }: WorkspaceUse, wasHeard: boolean): number {
    const known = this._runs.get(run) ?? new Map<string, ReportedUse>()
    this._runs.set(run, known)
    const before = known.get(workspace) ?? { admittedUnits: 0, heardUnits: 0, offeredUnitsPerSecond: 0 }
    const units = wasHeard ? admittedUnits - before.admittedUnits : 0
    known.set(workspace, { admittedUnits, heardUnits: before.heardUnits + units, offeredUnitsPerSecond })
    const totals = this._direct.get(workspace) ?? { heardUnits: 0, offeredUnitsPerSecond: 0 }
    this._direct.set(workspace, totals)
    totals.heardUnits += units
    totals.offeredUnitsPerSecond += offeredUnitsPerSecond - before.offeredUnitsPerSecond
    return this._followsRelays ? 0 : units
  }

  /** Takes a relay's sum; returns the units to charge. */
  applyRelayed (relayRun: string, use: WorkspaceUse, wasHeard: boolean, now: Timestamp): number {
    if (!this._followsRelays) return 0
    const count = this._relayed.get(use.workspace) ?? RelayedCount.create()
    this._relayed.set(use.workspace, count)
    return count.apply(relayRun, use, wasHeard, now)
  }

  /** Sums over the gateways that are heard directly, without one of them. */
  sumDirect (exceptRun: string): WorkspaceUse[] {
    const except = this._runs.get(exceptRun)
    return [...this._direct].map(([workspace, totals]) => {
      const own = except?.get(workspace)
      return {
        workspace,
        admittedUnits: Math.max(0, Math.round(totals.heardUnits - (own?.heardUnits ?? 0))),
        offeredUnitsPerSecond: Math.max(0, Math.round(totals.offeredUnitsPerSecond - (own?.offeredUnitsPerSecond ?? 0)))
      }
    })
  }

  /** Units of a workspace that callers lately asked for in a second at the other gateways. */
  offeredUnitsPerSecond (workspace: string): number {
    if (this._followsRelays) return this._relayed.get(workspace)?.offeredUnitsPerSecond ?? 0
    return this._direct.get(workspace)?.offeredUnitsPerSecond ?? 0
  }

  forget (run: string): void {
    for (const [workspace, use] of this._runs.get(run) ?? []) this._direct.get(workspace)!.offeredUnitsPerSecond -= use.offeredUnitsPerSecond
    this._runs.delete(run)
    for (const count of this._relayed.values()) count.forget(run)
  }
}
