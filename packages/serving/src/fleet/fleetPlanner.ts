/**
 * Decides how many reclaimable and on-demand upstreams a service should have in each failure domain.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ScalingBounds } from '@plumstage/records'
import type { UpstreamOrder } from '../duties/cloud.js'
import { DEFAULT_FLEET_SIZING } from './fleetSizing.js'
import type { FleetCount, FleetObservation, FleetSizing } from './fleetSizing.js'
import { UpstreamCountEstimator } from './upstreamCountEstimator.js'

/** After refusing an order, a failure domain gets no further order of that kind for this long. */
const REFUSAL_BACKOFF_MILLISECONDS = 3000
/** After a reclaim or a refused order, a shortage of reclaimable capacity is assumed for this long. */
const SHORTAGE_MILLISECONDS = 5000
/** An order is repeated if its upstreams have not appeared this long after the boot time. */
const ORDER_MARGIN_MILLISECONDS = 2500
const MILLISECONDS_PER_SECOND = 1000
/** Suffixes of the keys of `_orderStates`, which begin with the failure domain. */
const RECLAIMABLE_KEY_SUFFIX = '/reclaimable'
const ON_DEMAND_KEY_SUFFIX = '/on-demand'

/** Orders of one kind of upstream in one failure domain. */
interface OrderState {
  /** Number that was last ordered; undefined before the first order. */
  desired: number | undefined
  orderedAt: Timestamp
  unavailableUntil: Timestamp
}

/** Planned on-demand upstreams of a failure domain. */
interface DomainPlan {
  failureDomain: string
  onDemand: number
  /** Maximum that the bounds of the service allow in addition to the reclaimable upstreams. */
  onDemandLimit: number
}

/**
 * Plans one service.
 *
 * Reclaimable upstreams cost a fraction of the on-demand price, but a reclaim takes all those of a failure domain at
 * once, and then none may be available in any domain for a while. So each domain has enough of them that the other
 * domains carry the load after a reclaim. On-demand upstreams are ordered only for the load that reclaimable ones do
 * not carry now or would not carry after the next reclaim.
 */
export class FleetPlanner {
  private readonly _sizing: FleetSizing
  private readonly _orderStates = new Map<string, OrderState>()
  private readonly _estimator: UpstreamCountEstimator
  private _shortageUntil: Timestamp = Number.NEGATIVE_INFINITY
  /** Until when no reclaimable upstreams are given up, because reclaims before this planner's time are not known. */
  private readonly _retainUntil: Timestamp
  private _neededUpstreams: number | undefined

  private constructor (sizing: FleetSizing, now: Timestamp) {
    this._sizing = sizing
    this._retainUntil = now + SHORTAGE_MILLISECONDS
    this._estimator = UpstreamCountEstimator.create(now, sizing)
  }

  static create (now: Timestamp, sizing: FleetSizing = DEFAULT_FLEET_SIZING): FleetPlanner {
    return new FleetPlanner(sizing, now)
  }

  /** Number of upstreams that the service needs by the last plan; undefined before there was one. */
  get neededUpstreams (): number | undefined {
    return this._neededUpstreams
  }

  /** Returns the orders to place now. */
  plan (observation: FleetObservation, now: Timestamp): UpstreamOrder[] {
    this._recordReclaims(observation, now)
    const needed = this._estimator.estimate(observation, now)
    this._neededUpstreams = needed
    if (needed === undefined) return this._planFirstReclaimable(observation, now)
    const reclaimable = this._planReclaimable(observation, needed, now)
    const hasPendingReclaimable = this._hasPendingReclaimable(observation.scaling, now) || (now >= this._shortageUntil && reclaimable.length > 0)
    return [...reclaimable, ...this._planOnDemand(observation, needed, hasPendingReclaimable, now)]
  }

  /** Records an order that was accepted or, without a response, may have been. */
  recordAccepted (order: UpstreamOrder, now: Timestamp): void {
    const state = this._orderStateOf(order.failureDomain, order.reclaimable)
    state.desired = order.desired
    state.orderedAt = now
  }

  /** Records an order that was refused, or for which the failure domain has no upstreams available. */
  recordUnavailable (order: UpstreamOrder, now: Timestamp): void {
    this._orderStateOf(order.failureDomain, order.reclaimable).unavailableUntil = now + REFUSAL_BACKOFF_MILLISECONDS
    if (order.reclaimable) this._shortageUntil = now + SHORTAGE_MILLISECONDS
  }

  /**
   * Orders a minimum of reclaimable upstreams while the list of existing upstreams still grows, if it has only on-demand
   * ones so far, so that those can be given up sooner.
   */
  private _planFirstReclaimable (observation: FleetObservation, now: Timestamp): UpstreamOrder[] {
    const serving = observation.counts.filter(count => count.serving > 0)
    if (serving.length === 0 || serving.some(count => count.reclaimable)) return []
    return this._planReclaimable(observation, this._sizing.minimumUpstreams, now)
      .filter(order => order.desired > (this._orderStateOf(order.failureDomain, true).desired ?? 0))
  }

  private _planReclaimable (observation: FleetObservation, needed: number, now: Timestamp): UpstreamOrder[] {
    const { scaling, counts, service } = observation
    if (scaling.reclaimablePriceFraction === undefined) return []
    const domains = domainsByPrice(scaling)
    const remainingDomains = Math.max(1, domains.length - 1)
    const desired = Math.min(scaling.maximum, Math.ceil(needed / remainingDomains + this._sizing.reclaimableReserve * Math.sqrt(needed)))
    return domains
      .map(failureDomain => {
        const limit = Math.max(0, scaling.maximum - this._countOnDemand(counts, failureDomain))
        const retained = this._retainDuringShortage(desired, countOf(counts, failureDomain, true).serving, now)
        return { service, failureDomain, reclaimable: true, desired: Math.min(limit, retained) }
      })
      .filter(order => this._isDue(order, observation, now))
  }

  /** Counts the on-demand upstreams that a failure domain has, or will have when its last order has been fulfilled. */
  private _countOnDemand (counts: readonly FleetCount[], failureDomain: string): number {
    return Math.max(countOf(counts, failureDomain, false).serving, this._orderStateOf(failureDomain, false).desired ?? 0)
  }

  /**
   * Counts the reclaimable upstreams that a failure domain has, or will have when its last order has been fulfilled.
   */
  private _countReclaimable (counts: readonly FleetCount[], failureDomain: string): number {
    return Math.max(countOf(counts, failureDomain, true).serving, this._orderStateOf(failureDomain, true).desired ?? 0)
  }

  /**
   * Keeps the existing reclaimable upstreams during a shortage, when they could not be replaced. A planner that has just
   * taken over does not know of a shortage yet.
   */
  private _retainDuringShortage (desired: number, serving: number, now: Timestamp): number {
    return now < Math.max(this._shortageUntil, this._retainUntil) ? Math.max(desired, serving) : desired
  }

  /**
   * Orders on-demand upstreams for the load that reclaimable ones do not carry now or would not after the next reclaim.
   */
  private _planOnDemand (observation: FleetObservation, needed: number, hasPendingReclaimable: boolean, now: Timestamp): UpstreamOrder[] {
    const { scaling, service } = observation
    return this._distributeOnDemand(observation, this._targetOnDemand(observation, needed, hasPendingReclaimable, now))
      .map(({ failureDomain, onDemand }) => ({ service, failureDomain, reclaimable: false, desired: Math.min(onDemand, scaling.maximum) }))
      .filter(order => this._isDue(order, observation, now))
  }

  /**
   * Keeps existing on-demand upstreams in their domains where possible, so that none is replaced by one in another. Of
   * domains with equal numbers, the cheapest gets additional upstreams first and the most expensive loses them first.
   */
  private _distributeOnDemand ({ counts, scaling }: FleetObservation, target: number): DomainPlan[] {
    const plans = domainsByPrice(scaling).map(failureDomain => ({
      failureDomain,
      onDemand: this._countOnDemand(counts, failureDomain),
      onDemandLimit: scaling.maximum - this._countReclaimable(counts, failureDomain)
    }))
    let total = plans.reduce((sum, plan) => sum + plan.onDemand, 0)
    for (; total > target; total--) findMaximum(plans.toReversed(), plan => plan.onDemand).onDemand--
    for (; total < target && plans.some(plan => plan.onDemand < plan.onDemandLimit); total++) findMaximum(plans.filter(plan => plan.onDemand < plan.onDemandLimit), plan => -plan.onDemand).onDemand++
    return plans
  }

  /**
   * Returns the target number of on-demand upstreams. Existing ones are kept until reclaimable ones carry the load even
   * without the domain that has the most of them; new ones are ordered for that case only during a shortage.
   */
  private _targetOnDemand ({ counts, scaling }: FleetObservation, needed: number, hasPendingReclaimable: boolean, now: Timestamp): number {
    const reclaimable = counts.filter(count => count.reclaimable).map(count => count.serving)
    const serving = reclaimable.reduce((sum, count) => sum + count, 0)
    const current = domainsByPrice(scaling).reduce((sum, domain) => sum + this._countOnDemand(counts, domain), 0)
    const surviving = serving - Math.max(0, ...reclaimable)
    const minimum = Math.max(0, needed - serving)
    const maximum = Math.max(minimum, Math.ceil(needed * this._sizing.survivingShare) - surviving)
    if (now < this._shortageUntil) return maximum
    return Math.min(maximum, hasPendingReclaimable ? current : Math.max(minimum, current))
  }

  /** Whether ordered reclaimable upstreams may still be booting. */
  private _hasPendingReclaimable (scaling: ScalingBounds, now: Timestamp): boolean {
    if (now < this._shortageUntil) return false
    const since = now - scaling.bootSeconds * MILLISECONDS_PER_SECOND - ORDER_MARGIN_MILLISECONDS
    return [...this._orderStates].some(([key, state]) => key.endsWith(RECLAIMABLE_KEY_SUFFIX) && state.orderedAt > since)
  }

  /** Whether to place an order: it differs from the last one, or the last one was not fulfilled in time. */
  private _isDue (order: UpstreamOrder, { scaling, counts }: FleetObservation, now: Timestamp): boolean {
    const state = this._orderStateOf(order.failureDomain, order.reclaimable)
    if (state.unavailableUntil > now) return false
    const { serving } = countOf(counts, order.failureDomain, order.reclaimable)
    if (serving === order.desired && (state.desired ?? order.desired) === order.desired) return false
    if (state.desired !== order.desired) return true
    return now >= state.orderedAt + scaling.bootSeconds * MILLISECONDS_PER_SECOND + ORDER_MARGIN_MILLISECONDS
  }

  /**
   * Resets the orders of domains whose reclaimable upstreams were all reclaimed, so that they are ordered again, and
   * assumes a shortage.
   */
  private _recordReclaims ({ counts }: FleetObservation, now: Timestamp): void {
    for (const count of counts) {
      if (!count.reclaimable || count.leaving === 0 || count.serving > 0) continue
      const state = this._orderStateOf(count.failureDomain, true)
      if (state.desired === undefined || state.desired === 0) continue
      state.desired = 0
      this._shortageUntil = now + SHORTAGE_MILLISECONDS
    }
  }

  private _orderStateOf (failureDomain: string, reclaimable: boolean): OrderState {
    const key = failureDomain + (reclaimable ? RECLAIMABLE_KEY_SUFFIX : ON_DEMAND_KEY_SUFFIX)
    let state = this._orderStates.get(key)
    if (!state) {
      state = { desired: undefined, orderedAt: Number.NEGATIVE_INFINITY, unavailableUntil: Number.NEGATIVE_INFINITY }
      this._orderStates.set(key, state)
    }
    return state
  }
}

function domainsByPrice (scaling: ScalingBounds): string[] {
  return Object.entries(scaling.priceByDomain).sort(([, left], [, right]) => left - right).map(([domain]) => domain)
}

/** Returns the first plan with the highest value. */
function findMaximum (plans: readonly DomainPlan[], valueOf: (plan: DomainPlan) => number): DomainPlan {
  return plans.reduce((best, plan) => valueOf(plan) > valueOf(best) ? plan : best)
}

function countOf (counts: readonly FleetCount[], failureDomain: string, reclaimable: boolean): FleetCount {
  return counts.find(count => count.failureDomain === failureDomain && count.reclaimable === reclaimable) ?? { failureDomain, reclaimable, serving: 0, leaving: 0 }
}
