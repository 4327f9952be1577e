/**
 * The usage of one workspace at the other gateways, from the sums of aggregation rounds. Sums over the same gateways
 * differ by the units that were admitted in between. When gateways have come or gone, the difference includes all that
 * these admitted before, so the recent rate is used instead.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { UsageSum } from '../aggregation/aggregate.js'

/** Units that were admitted during a longer gap are not charged, because the refill was scaled down meanwhile. */
const MAXIMUM_GAP_MILLISECONDS = 3000
const MILLISECONDS_PER_SECOND = 1000

/** A round whose sums were applied. */
export interface ObservedRound {
  /** Stands for the gateways in the sums. */
  fingerprint: number
  observedAt: Timestamp
}

interface ObservedSum extends ObservedRound {
  admittedUnits: number
}

/** Turns sums into units to charge. */
export class AggregatedUsage {
  private _previous: ObservedSum | undefined
  private _offeredUnitsPerSecond = 0

  private constructor (previous: ObservedSum | undefined) {
    this._previous = previous
  }

  /** `lastRound` is the round before, in whose sums the workspace did not occur; undefined when there was none. */
  static create (lastRound: ObservedRound | undefined): AggregatedUsage {
    return new AggregatedUsage(lastRound && { ...lastRound, admittedUnits: 0 })
  }

  /** Recently requested units, admitted or not. */
  get offeredUnitsPerSecond (): number {
    return this._offeredUnitsPerSecond
  }

  /** Returns the units to charge; `sum` is undefined when no other gateway has had requests of the workspace. */
  apply (sum: UsageSum | undefined, fingerprint: number, now: Timestamp): number {
    const previous = this._previous
    const admittedUnits = sum?.admittedUnits ?? 0
    this._previous = { admittedUnits, fingerprint, observedAt: now }
    this._offeredUnitsPerSecond = sum?.offeredUnitsPerSecond ?? 0
    if (!previous || previous.observedAt < now - MAXIMUM_GAP_MILLISECONDS) return 0
    if (previous.fingerprint === fingerprint) return Math.max(0, admittedUnits - previous.admittedUnits)
    return (sum?.admittedUnitsPerSecond ?? 0) * (now - previous.observedAt) / MILLISECONDS_PER_SECOND
  }
}
