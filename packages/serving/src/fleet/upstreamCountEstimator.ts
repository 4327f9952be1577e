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
const SHRINK_STEP_SHARE = 0.2
/** Upstreams that were there at the start appear in the list one by one; it counts as whole when it has not grown for this long. */
const INITIAL_LIST_STABLE_MILLISECONDS = 1500
/** The first list is waited for at most this long. */
const INITIAL_LIST_TIMEOUT_MILLISECONDS = 4000
/** Time for which the first number of upstreams is kept while callers ask for nothing. */
const INITIAL_COUNT_RETENTION_MILLISECONDS = 30_000

/** The need of one service. */
export class UpstreamCountEstimator {
  private readonly _sizing: FleetSizing
  private readonly _startedAt: Timestamp
  private _requiredUpstreams = 0
  private _initialUpstreams = 0
  private _initialListGrewAt: Timestamp
  private _hasDemand = false
  /** Whether the first list of upstreams has been taken as whole. */
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

  /** Returns the number of upstreams that are needed; undefined while that can't be told yet. */
  estimate (observation: FleetObservation, now: Timestamp): number | undefined {
    this._recordInitialUpstreams(observation, now)
    return this._isInitialListComplete(now) ? this._estimateFromDemand(observation, now) : undefined
  }

  private _isInitialListComplete (now: Timestamp): boolean {
    this._initialListComplete ||= this._hasDemand || now >= Math.min(this._startedAt + INITIAL_LIST_TIMEOUT_MILLISECONDS, this._initialListGrewAt + INITIAL_LIST_STABLE_MILLISECONDS)
    return this._initialListComplete
  }

  /** Part of the upstreams that are there at first counts as needed until callers ask for something. */
  private _recordInitialUpstreams ({ counts, demand }: FleetObservation, now: Timestamp): void {
    this._hasDemand ||= demand.promptTokensPerSecond + demand.outputTokensPerSecond > 0
    const found = counts.reduce((sum, count) => sum + count.serving, 0)
    if (this._initialListComplete || found <= this._initialUpstreams) return
    this._initialUpstreams = found
    this._initialListGrewAt = now
    this._requiredUpstreams = Math.max(this._requiredUpstreams, Math.ceil(this._initialUpstreams * this._sizing.initialShare))
  }

  /** Number of upstreams that the load needs, grown at once and shrunk slowly. */
  private _estimateFromDemand ({ demand, observedTokensPerSecond: seenTokensPerSecond = 0 }: FleetObservation, now: Timestamp): number {
    const { outputTokenWeight, utilization, minimumUpstreams: fewest, maximumTokensPerSecond: mostTokensPerSecond } = this._sizing
    const tokensPerSecond = Math.min(mostTokensPerSecond, Math.max(this._sizing.tokensPerSecond, seenTokensPerSecond))
    const work = demand.promptTokensPerSecond + outputTokenWeight * demand.outputTokensPerSecond
    const needed = Math.max(fewest, Math.ceil(work / (tokensPerSecond * utilization)))
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
