/**
 * What other gateways have used of the quotas, as they say it themselves or as relays sum it up.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { RelayedUsage } from './relayedUsage.js'
import type { WorkspaceUsage } from './workspaceUsage.js'

/** What one gateway has said of one workspace. */
interface ReportedUsage {
  admittedUnits: number
  /** Units of it that were not missed. */
  observedUnits: number
  offeredUnitsPerSecond: number
}

/** Sums over the gateways that are heard directly. */
interface DirectTotals {
  /** Units since the start of the counting, those of gateways that are gone included. */
  observedUnits: number
  offeredUnitsPerSecond: number
}

/** Use at the other gateways, by workspace. */
export class PeerQuotaUsage {
  private readonly _byIncarnation = new Map<string, Map<string, ReportedUsage>>()
  private readonly _directTotals = new Map<string, DirectTotals>()
  private readonly _relayedUsage = new Map<string, RelayedUsage>()
  private _followsRelays = false

  static create (): PeerQuotaUsage {
    return new PeerQuotaUsage()
  }

  /** Chooses what counts: the sums of relays, or what the other gateways say themselves. */
  followRelays (followsRelays: boolean): void {
    if (followsRelays === this._followsRelays) return
    this._followsRelays = followsRelays
    this._relayedUsage.clear()
  }

  /** Takes the report of a gateway; returns the units to charge. */
  applyDirect (run: string, { workspace, admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage, wasHeard: boolean): number {
    const known = this._byIncarnation.get(run) ?? new Map<string, ReportedUsage>()
    this._byIncarnation.set(run, known)
    const before = known.get(workspace) ?? { admittedUnits: 0, observedUnits: 0, offeredUnitsPerSecond: 0 }
    const units = wasHeard ? admittedUnits - before.admittedUnits : 0
    known.set(workspace, { admittedUnits, observedUnits: before.observedUnits + units, offeredUnitsPerSecond })
    const totals = this._directTotals.get(workspace) ?? { observedUnits: 0, offeredUnitsPerSecond: 0 }
    this._directTotals.set(workspace, totals)
    totals.observedUnits += units
    totals.offeredUnitsPerSecond += offeredUnitsPerSecond - before.offeredUnitsPerSecond
    return this._followsRelays ? 0 : units
  }

  /** Takes a relay's sum; returns the units to charge. */
  applyRelayed (relayRun: string, use: WorkspaceUsage, wasHeard: boolean, now: Timestamp): number {
    if (!this._followsRelays) return 0
    const count = this._relayedUsage.get(use.workspace) ?? RelayedUsage.create()
    this._relayedUsage.set(use.workspace, count)
    return count.apply(relayRun, use, wasHeard, now)
  }

  /** Sums over the gateways that are heard directly, without one of them. */
  sumDirect (exceptRun: string): WorkspaceUsage[] {
    const except = this._byIncarnation.get(exceptRun)
    return [...this._directTotals].map(([workspace, totals]) => {
      const own = except?.get(workspace)
      return {
        workspace,
        admittedUnits: Math.max(0, Math.round(totals.observedUnits - (own?.observedUnits ?? 0))),
        offeredUnitsPerSecond: Math.max(0, Math.round(totals.offeredUnitsPerSecond - (own?.offeredUnitsPerSecond ?? 0)))
      }
    })
  }

  /** Units of a workspace that callers lately asked for in a second at the other gateways. */
  offeredUnitsPerSecond (workspace: string): number {
    if (this._followsRelays) return this._relayedUsage.get(workspace)?.offeredUnitsPerSecond ?? 0
    return this._directTotals.get(workspace)?.offeredUnitsPerSecond ?? 0
  }

  removeGateway (run: string): void {
    for (const [workspace, use] of this._byIncarnation.get(run) ?? []) this._directTotals.get(workspace)!.offeredUnitsPerSecond -= use.offeredUnitsPerSecond
    this._byIncarnation.delete(run)
    for (const count of this._relayedUsage.values()) count.removeRelay(run)
  }
}
