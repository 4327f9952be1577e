/**
 * Quota usage at the other gateways, from their own reports, from the sums of relays, or from aggregation rounds.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { hashName } from '../aggregation/aggregate.js'
import type { Aggregate, NameHash } from '../aggregation/aggregate.js'
import { AggregatedUsage } from './aggregatedUsage.js'
import type { ObservedRound } from './aggregatedUsage.js'
import { RelayedUsage } from './relayedUsage.js'
import type { WorkspaceUsage } from './workspaceUsage.js'

/** Where the usage at the other gateways is taken from. */
export type PeerUsageSource = 'direct' | 'relays' | 'rounds'

/** Usage of one workspace as reported by one gateway. */
interface ReportedUsage {
  admittedUnits: number
  /** Admitted units that were reported without a gap. */
  observedUnits: number
  offeredUnitsPerSecond: number
}

/** Sums over the gateways whose own reports arrive here. */
interface DirectTotals {
  /** Units since counting began, including those of removed gateways. */
  observedUnits: number
  offeredUnitsPerSecond: number
}

/** Quota usage at the other gateways, by workspace. */
export class PeerQuotaUsage {
  private readonly _byIncarnation = new Map<string, Map<string, ReportedUsage>>()
  private readonly _directTotals = new Map<string, DirectTotals>()
  private readonly _relayedUsage = new Map<string, RelayedUsage>()
  private readonly _aggregatedUsage = new Map<NameHash, AggregatedUsage>()
  /** The last round that was applied; undefined before the first. */
  private _lastRound: ObservedRound | undefined
  private _source: PeerUsageSource = 'direct'

  static create (): PeerQuotaUsage {
    return new PeerQuotaUsage()
  }

  follow (source: PeerUsageSource): void {
    if (source === this._source) return
    this._source = source
    this._relayedUsage.clear()
    this._aggregatedUsage.clear()
    this._lastRound = undefined
  }

  /** Applies the sums of an aggregation round, and returns the units to charge by workspace. */
  applyAggregated ({ usage, fingerprint }: Aggregate, now: Timestamp): Map<NameHash, number> {
    for (const workspace of usage.keys()) if (!this._aggregatedUsage.has(workspace)) this._aggregatedUsage.set(workspace, AggregatedUsage.create(this._lastRound))
    this._lastRound = { fingerprint, observedAt: now }
    return new Map([...this._aggregatedUsage].map(([workspace, aggregated]) => [workspace, aggregated.apply(usage.get(workspace), fingerprint, now)]))
  }

  /**
   * Applies the report of a gateway and returns the units to charge. `isContinuous` is false if something that the
   * gateway did before this report may have been missed.
   */
  applyDirect (incarnation: string, { workspace, admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage, isContinuous: boolean): number {
    const reported = this._byIncarnation.get(incarnation) ?? new Map<string, ReportedUsage>()
    this._byIncarnation.set(incarnation, reported)
    const previous = reported.get(workspace) ?? { admittedUnits: 0, observedUnits: 0, offeredUnitsPerSecond: 0 }
    const units = isContinuous ? admittedUnits - previous.admittedUnits : 0
    reported.set(workspace, { admittedUnits, observedUnits: previous.observedUnits + units, offeredUnitsPerSecond })
    const totals = this._directTotals.get(workspace) ?? { observedUnits: 0, offeredUnitsPerSecond: 0 }
    this._directTotals.set(workspace, totals)
    totals.observedUnits += units
    totals.offeredUnitsPerSecond += offeredUnitsPerSecond - previous.offeredUnitsPerSecond
    return this._source === 'direct' ? units : 0
  }

  /** Applies the sum of a relay and returns the units to charge. */
  applyRelayed (relayIncarnation: string, usage: WorkspaceUsage, isContinuous: boolean, now: Timestamp): number {
    if (this._source !== 'relays') return 0
    const relayed = this._relayedUsage.get(usage.workspace) ?? RelayedUsage.create()
    this._relayedUsage.set(usage.workspace, relayed)
    return relayed.apply(relayIncarnation, usage, isContinuous, now)
  }

  /** Sums over the gateways whose own reports arrive here, except the one that is to receive the sums. */
  sumDirect (excludedIncarnation: string): WorkspaceUsage[] {
    const excluded = this._byIncarnation.get(excludedIncarnation)
    return [...this._directTotals].map(([workspace, totals]) => {
      const excludedUsage = excluded?.get(workspace)
      return {
        workspace,
        admittedUnits: Math.max(0, Math.round(totals.observedUnits - (excludedUsage?.observedUnits ?? 0))),
        offeredUnitsPerSecond: Math.max(0, Math.round(totals.offeredUnitsPerSecond - (excludedUsage?.offeredUnitsPerSecond ?? 0)))
      }
    })
  }

  /** Recent rate of requested units per second of a workspace at the other gateways. */
  offeredUnitsPerSecond (workspace: string): number {
    if (this._source === 'rounds') return this._aggregatedUsage.get(hashName(workspace))?.offeredUnitsPerSecond ?? 0
    if (this._source === 'relays') return this._relayedUsage.get(workspace)?.offeredUnitsPerSecond ?? 0
    return this._directTotals.get(workspace)?.offeredUnitsPerSecond ?? 0
  }

  removeGateway (incarnation: string): void {
    for (const [workspace, usage] of this._byIncarnation.get(incarnation) ?? []) this._directTotals.get(workspace)!.offeredUnitsPerSecond -= usage.offeredUnitsPerSecond
    this._byIncarnation.delete(incarnation)
    for (const relayed of this._relayedUsage.values()) relayed.removeRelay(incarnation)
  }
}
