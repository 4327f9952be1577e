/**
 * Combines the usage of one workspace as counted by several relays. All relays count the same usage, each from its own
 * start and with its own delay, so units that any of them has counted beyond those already charged are charged once.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { WorkspaceUsage } from './workspaceUsage.js'

/**
 * If no relay has counted more than was charged for this long, a relay whose count still rises has missed some usage;
 * its next units are charged from where its count stands.
 */
const REBASE_AFTER_MILLISECONDS = 3000

interface RelaySource {
  units: number
  /** Part of the relay's count that does not correspond to charged units; it can be negative. */
  offset: number
  offeredUnitsPerSecond: number
}

/** Units of one workspace that relays have counted and that were charged. */
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

  /**
   * Applies the count of a relay and returns the units to charge. `isContinuous` is false if a report of the relay may
   * have been missed; its count is then a new starting point and charges nothing.
   */
  apply (relayIncarnation: string, { admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage, isContinuous: boolean, now: Timestamp): number {
    const previous = this._sources.get(relayIncarnation)
    const source = { units: admittedUnits, offset: this._offsetOf(previous, admittedUnits, isContinuous, now), offeredUnitsPerSecond }
    this._sources.set(relayIncarnation, source)
    const units = Math.max(0, admittedUnits - source.offset - this._chargedUnits)
    if (units === 0) return 0
    this._chargedUnits += units
    this._chargedAt = now
    return units
  }

  removeRelay (relayIncarnation: string): void {
    this._sources.delete(relayIncarnation)
  }

  private _offsetOf (previous: RelaySource | undefined, admittedUnits: number, isContinuous: boolean, now: Timestamp): number {
    if (previous === undefined || !isContinuous) return admittedUnits - this._chargedUnits
    const hasMissedUsage = now > this._chargedAt + REBASE_AFTER_MILLISECONDS && admittedUnits > previous.units
    return hasMissedUsage ? Math.min(previous.offset, previous.units - this._chargedUnits) : previous.offset
  }
}
