/**
 * Estimates how many upstreams a service needs, from what callers ask for and, before they ask for anything, from the
 * upstreams that are there.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { FleetObservation, FleetSizing } from './fleetSizing.js'

/** The number of upstreams falls only when the lower number has sufficed for this long. */
const SHRINK_AFTER_MILLISECONDS = 10_000
/** Share of the upstreams by which the number then falls. */
const SHRINK_STEP = 0.2
/** Upstreams that were there at the start appear in the list one by one; it counts as whole when it has not grown for this long. */
const FIRST_LIST_MILLISECONDS = 1500
/** The first list is waited for at most this long. */
const LONGEST_FIRST_LIST_MILLISECONDS = 4000
/** Time for which the first number of upstreams is kept while callers ask for nothing. */
const IDLE_START_MILLISECONDS = 30_000

/** The need of one service. */
export class UpstreamNeed {
  private readonly _sizing: FleetSizing
  private readonly _startedAt: Timestamp
  private _needed = 0
  private _found = 0
  private _foundAt: Timestamp
  private _hasDemand = false
  /** Whether the first list of upstreams has been taken as whole. */
  private _listWhole = false
  private _sufficientSince: Timestamp | undefined

  private constructor (now: Timestamp, sizing: FleetSizing) {
    this._sizing = sizing
    this._startedAt = now
    this._foundAt = now
  }

  static create (now: Timestamp, sizing: FleetSizing): UpstreamNeed {
    return new UpstreamNeed(now, sizing)
  }

  /** Returns the number of upstreams that are needed; undefined while that can't be told yet. */
  estimate (observation: FleetObservation, now: Timestamp): number | undefined {
    this._noteFound(observation, now)
    return this._isListWhole(now) ? this._estimateBy(observation, now) : undefined
  }

  private _isListWhole (now: Timestamp): boolean {
    this._listWhole ||= this._hasDemand || now >= Math.min(this._startedAt + LONGEST_FIRST_LIST_MILLISECONDS, this._foundAt + FIRST_LIST_MILLISECONDS)
    return this._listWhole
  }

  /** Part of the upstreams that are there at first counts as needed until callers ask for something. */
  private _noteFound ({ counts, demand }: FleetObservation, now: Timestamp): void {
    this._hasDemand ||= demand.promptTokensPerSecond + demand.outputTokensPerSecond > 0
    const found = counts.reduce((sum, count) => sum + count.serving, 0)
    if (this._listWhole || found <= this._found) return
    this._found = found
    this._foundAt = now
    this._needed = Math.max(this._needed, Math.ceil(this._found * this._sizing.initialShare))
  }

  /** Number of upstreams that the load needs, grown at once and shrunk slowly. */
  private _estimateBy ({ demand, seenTokensPerSecond = 0 }: FleetObservation, now: Timestamp): number {
    const { outputTokenWeight, utilization, fewest, mostTokensPerSecond } = this._sizing
    const tokensPerSecond = Math.min(mostTokensPerSecond, Math.max(this._sizing.tokensPerSecond, seenTokensPerSecond))
    const work = demand.promptTokensPerSecond + outputTokenWeight * demand.outputTokensPerSecond
    const needed = Math.max(fewest, Math.ceil(work / (tokensPerSecond * utilization)))
    if (needed >= this._needed) {
      this._sufficientSince = undefined
      this._needed = needed
      return needed
    }
    if (!this._hasDemand && now < this._startedAt + IDLE_START_MILLISECONDS) return this._needed
    this._sufficientSince ??= now
    if (now < this._sufficientSince + SHRINK_AFTER_MILLISECONDS) return this._needed
    this._sufficientSince = undefined
    this._needed = Math.max(needed, this._needed - Math.max(1, Math.floor(this._needed * SHRINK_STEP)))
    return this._needed
  }
}
