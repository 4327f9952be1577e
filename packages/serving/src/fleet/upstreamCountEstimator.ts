/**
 * Estimates how many upstreams a service needs: from its demand or, before there is any, from the upstreams that
 * already exist.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { FleetObservation, FleetSizing } from './fleetSizing.js'

/** The number of upstreams is increased only after more have been needed for this long. */
const GROW_AFTER_MILLISECONDS = 1200
/** The number of upstreams is reduced only after fewer have been sufficient for this long. */
const SHRINK_AFTER_MILLISECONDS = 5000
/**
 * Upstreams that exist at the start appear in the list one by one; the list counts as complete when it has not grown
 * for this long.
 */
const INITIAL_LIST_STABLE_MILLISECONDS = 1500
/** The initial list counts as complete after this time in any case. */
const INITIAL_LIST_TIMEOUT_MILLISECONDS = 4000
/** Time from the start for which the initial number of upstreams is kept while there is no demand. */
const INITIAL_COUNT_RETENTION_MILLISECONDS = 30_000

/** Number of upstreams that the load required at one moment. */
interface UpstreamNeed {
  at: Timestamp
  upstreams: number
}

/** Estimates the number of upstreams of one service. */
export class UpstreamCountEstimator {
  private readonly _sizing: FleetSizing
  private readonly _startedAt: Timestamp
  private _requiredUpstreams = 0
  private _initialUpstreams = 0
  private _initialListGrewAt: Timestamp
  private _hasDemand = false
  /** Whether the initial list of upstreams counts as complete. */
  private _initialListComplete = false
  /** What each plan needed, within the time after which the fleet grows. */
  private _momentaryNeeds: UpstreamNeed[] = []
  /** What was needed throughout that time, within the time after which the fleet shrinks. */
  private _sustainedNeeds: UpstreamNeed[] = []
  /** When the first demand was seen, or the last plan without any. */
  private _demandSince: Timestamp = 0

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
    if (!this._hasDemand) this._demandSince = now
    this._hasDemand ||= demand.promptTokensPerSecond + demand.outputTokensPerSecond > 0
    const serving = counts.reduce((sum, count) => sum + count.serving, 0)
    if (this._initialListComplete || serving <= this._initialUpstreams) return
    this._initialUpstreams = serving
    this._initialListGrewAt = now
    this._requiredUpstreams = Math.max(this._requiredUpstreams, Math.ceil(this._initialUpstreams * this._sizing.initialShare))
  }

  /**
   * Counts the upstreams that prefill the prompts in time. The observed rate includes the time that they spend on output
   * tokens. Until it is known, a fleet that serves is not extended.
   */
  private _countForPrefill ({ demand, waitingTokens, counts, observedTokensPerSecond }: FleetObservation): number {
    const { utilization, backlogSeconds, initialTokensPerSecond } = this._sizing
    const tokensPerSecond = demand.promptTokensPerSecond + waitingTokens / backlogSeconds
    const needed = Math.ceil(tokensPerSecond / ((observedTokensPerSecond ?? initialTokensPerSecond) * utilization))
    const isServing = counts.some(count => count.serving > 0)
    return observedTokensPerSecond === undefined && isServing ? Math.min(needed, this._requiredUpstreams) : needed
  }

  /** Returns the lowest of the numbers that were needed recently: a burst is over before another upstream has booted. */
  private _sustainedNeed (needed: number, now: Timestamp): number {
    this._momentaryNeeds = this._momentaryNeeds.filter(need => need.at > now - GROW_AFTER_MILLISECONDS)
    this._momentaryNeeds.push({ at: now, upstreams: needed })
    return Math.min(...this._momentaryNeeds.map(need => need.upstreams))
  }

  /** Counts the upstreams that have a place for each request that is executed at the same time. */
  private _countForPlaces ({ activeRequests, placesPerUpstream }: FleetObservation): number {
    return placesPerUpstream > 0 ? Math.ceil(activeRequests / (placesPerUpstream * this._sizing.occupancy)) : 0
  }

  /**
   * Returns the number of upstreams that the demand requires: it grows when more are needed for a while, and shrinks to
   * the highest number that was needed recently.
   */
  private _estimateFromDemand (observation: FleetObservation, now: Timestamp): number {
    if (!this._hasDemand && now < this._startedAt + INITIAL_COUNT_RETENTION_MILLISECONDS) return Math.max(this._sizing.minimumUpstreams, this._requiredUpstreams)
    const whole = Math.max(this._sizing.minimumUpstreams, this._countForPrefill(observation), this._countForPlaces(observation))
    const needed = this._sustainedNeed(whole + Math.ceil(observation.missingUpstreams), now)
    this._sustainedNeeds = this._sustainedNeeds.filter(need => need.at > now - SHRINK_AFTER_MILLISECONDS)
    this._sustainedNeeds.push({ at: now, upstreams: needed })
    const highest = Math.max(...this._sustainedNeeds.map(need => need.upstreams))
    const observedSince = Math.min(this._demandSince, this._startedAt + INITIAL_COUNT_RETENTION_MILLISECONDS)
    const isObservedLongEnough = now >= observedSince + SHRINK_AFTER_MILLISECONDS
    this._requiredUpstreams = isObservedLongEnough ? highest : Math.max(this._requiredUpstreams, highest)
    return this._requiredUpstreams
  }
}
