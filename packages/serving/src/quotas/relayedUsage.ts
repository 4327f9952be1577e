/**
 * Use of one workspace as several relays count it. All count the same use, each from its own start and some a little
 * later than others, so what any of them has counted beyond what was charged is charged once.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { WorkspaceUsage } from './workspaceUsage.js'

/** When no relay was ahead for this long, one that has missed some use is followed from where it stands. */
const LEADER_TIMEOUT_MILLISECONDS = 3000

interface RelaySource {
  units: number
  /** Difference of the relay's count from the units that were charged. */
  offset: number
  offeredUnitsPerSecond: number
}

/** Units that relays have counted. */
export class RelayedUsage {
  private readonly _sources = new Map<string, RelaySource>()
  private _chargedUnits = 0
  private _chargedAt: Timestamp = 0

  static create (): RelayedUsage {
    return new RelayedUsage()
  }

  get offeredUnitsPerSecond (): number {
    return Math.max(0, ...[...this._sources.values()].map(source => source.offeredUnitsPerSecond))
  }

  /** Takes what a relay has counted; returns the units to charge. A relay that was not heard for a while starts anew. */
  apply (relayRun: string, { admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage, wasHeard: boolean, now: Timestamp): number {
    const known = this._sources.get(relayRun)
    const source = { units: admittedUnits, offset: this._offsetOf(known, admittedUnits, wasHeard, now), offeredUnitsPerSecond }
    this._sources.set(relayRun, source)
    const units = Math.max(0, admittedUnits - source.offset - this._chargedUnits)
    if (units === 0) return 0
    this._chargedUnits += units
    this._chargedAt = now
    return units
  }

  removeRelay (relayRun: string): void {
    this._sources.delete(relayRun)
  }

  private _offsetOf (known: RelaySource | undefined, admittedUnits: number, wasHeard: boolean, now: Timestamp): number {
    if (known === undefined || !wasHeard) return admittedUnits - this._chargedUnits
    const isLeaderless = now > this._chargedAt + LEADER_TIMEOUT_MILLISECONDS && admittedUnits > known.units
    return isLeaderless ? Math.min(known.offset, known.units - this._chargedUnits) : known.offset
  }
}
