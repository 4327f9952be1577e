/**
 * Estimates how many upstreams a service needs: from its demand or, before there is any, from the upstreams that
 * already exist.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { FleetObservation, FleetSizing } from './fleetSizing.js'

/** The number of upstreams is reduced only after fewer have been sufficient for this long. */
const SHRINK_AFTER_MILLISECONDS = 10_000
/** Share of the upstreams by which the number is then reduced. */
const SHRINK_STEP_SHARE = 0.2
/**
 * Upstreams that exist at the start appear in the list one by one; the list counts as complete when it has not grown
 * for this long.
 */
const INITIAL_LIST_STABLE_MILLISECONDS = 1500
/** The initial list counts as complete after this time in any case. */
const INITIAL_LIST_TIMEOUT_MILLISECONDS = 4000
/** Time from the start for which the initial number of upstreams is kept while there is no demand. */
const INITIAL_COUNT_RETENTION_MILLISECONDS = 30_000

/** Estimates for one service. */
export class UpstreamCountEstimator {
  private readonly _sizing: FleetSizing
  private readonly _startedAt: Timestamp
  private _requiredUpstreams = 0
  private _initialUpstreams = 0
  private _initialListGrewAt: Timestamp
  private _hasDemand = false
  /** Whether the initial list of upstreams counts as complete. */
  private _initialListComplete = false
  private _sufficientSince: Timestamp | undefined

  private constructor (now: Timestamp, sizing: FleetSizing) {
    this._sizing = sizing
    this._startedAt = now
    this._initialListGrewAt = now
  }

  static create (now: Timestamp, sizing: FleetSizing): UpstreamCountEstimator {
    return new UpstreamCountEstimator(now, sizing)
  }

  /** Returns the number of upstreams that are needed; undefined until the initial list of upstreams is complete. */
  estimate (observation: FleetObservation, now: Timestamp): number | undefined {
    this._recordInitialUpstreams(observation, now)
    return this._isInitialListComplete(now) ? this._estimateFromDemand(observation, now) : undefined
  }

  private _isInitialListComplete (now: Timestamp): boolean {
    this._initialListComplete ||= this._hasDemand || now >= Math.min(this._startedAt + INITIAL_LIST_TIMEOUT_MILLISECONDS, this._initialListGrewAt + INITIAL_LIST_STABLE_MILLISECONDS)
    return this._initialListComplete
  }

  /** Counts a share of the upstreams that exist at the start as needed until there is demand. */
  private _recordInitialUpstreams ({ counts, demand }: FleetObservation, now: Timestamp): void {
    this._hasDemand ||= demand.promptTokensPerSecond + demand.outputTokensPerSecond > 0
    const serving = counts.reduce((sum, count) => sum + count.serving, 0)
    if (this._initialListComplete || serving <= this._initialUpstreams) return
    this._initialUpstreams = serving
    this._initialListGrewAt = now
    this._requiredUpstreams = Math.max(this._requiredUpstreams, Math.ceil(this._initialUpstreams * this._sizing.initialShare))
  }

  /** Returns the number of upstreams that the demand requires; it grows immediately and shrinks slowly. */
  private _estimateFromDemand ({ demand, observedTokensPerSecond = 0 }: FleetObservation, now: Timestamp): number {
    const { outputTokenWeight, utilization, minimumUpstreams, maximumTokensPerSecond } = this._sizing
    const tokensPerSecond = Math.min(maximumTokensPerSecond, Math.max(this._sizing.minimumTokensPerSecond, observedTokensPerSecond))
    const work = demand.promptTokensPerSecond + outputTokenWeight * demand.outputTokensPerSecond
    const needed = Math.max(minimumUpstreams, Math.ceil(work / (tokensPerSecond * utilization)))
    if (needed >= this._requiredUpstreams) {
      this._sufficientSince = undefined
      this._requiredUpstreams = needed
      return needed
    }
    if (!this._hasDemand && now < this._startedAt + INITIAL_COUNT_RETENTION_MILLISECONDS) return this._requiredUpstreams
    this._sufficientSince ??= now
    if (now < this._sufficientSince + SHRINK_AFTER_MILLISECONDS) return this._requiredUpstreams
    this._sufficientSince = undefined
    this._requiredUpstreams = Math.max(needed, this._requiredUpstreams - Math.max(1, Math.floor(this._requiredUpstreams * SHRINK_STEP_SHARE)))
    return this._requiredUpstreams
  }
}
