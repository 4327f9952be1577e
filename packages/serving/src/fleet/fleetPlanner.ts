/**
 * Decides how many upstreams of each kind a service is to have in each failure domain.
 *
 * Reclaimable upstreams cost a fraction of the others, all of a failure domain go at once, and then none may be had
 * anywhere for a while. So each domain holds enough of them that what is left carries the load after a reclaim, and
 * others are ordered only for what the reclaimable ones don't carry, or would not after the next reclaim.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ScalingBounds } from '@plumstage/records'
import type { UpstreamOrder } from '../duties/cloud.js'
import { DEFAULT_FLEET_SIZING } from './fleetSizing.js'
import type { FleetCount, FleetObservation, FleetSizing } from './fleetSizing.js'
import { UpstreamCountEstimator } from './upstreamCountEstimator.js'

/** Time in which a domain that refused an order is not asked again. */
const REFUSAL_BACKOFF_MILLISECONDS = 3000
/** After a reclaim or a refusal, reclaimable upstreams count as hard to get for this long. */
const SHORTAGE_MILLISECONDS = 5000
/** Time beyond the boot time after which an order that has not shown is repeated. */
const ORDER_MARGIN_MILLISECONDS = 2500
const MILLISECONDS_PER_SECOND = 1000
/** Ends of the keys under which the state of each kind in a failure domain is kept. */
const RECLAIMABLE_KEY_SUFFIX = '/reclaimable'
const ON_DEMAND_KEY_SUFFIX = '/other'

interface OrderState {
  desired: number | undefined
  orderedAt: Timestamp
  unavailableUntil: Timestamp
}

/** What a failure domain is to have of the upstreams that are not reclaimable. */
interface DomainPlan {
  failureDomain: string
  onDemand: number
  /** Most that it may have beside its reclaimable ones. */
  onDemandLimit: number
}

/** Plans one service. */
export class FleetPlanner {
  private readonly _sizing: FleetSizing
  private readonly _orderStates = new Map<string, OrderState>()
  private readonly _estimator: UpstreamCountEstimator
  private _shortageUntil: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (sizing: FleetSizing, now: Timestamp) {
    this._sizing = sizing
    this._estimator = UpstreamCountEstimator.create(now, sizing)
  }

  static create (now: Timestamp, sizing: FleetSizing = DEFAULT_FLEET_SIZING): FleetPlanner {
    return new FleetPlanner(sizing, now)
  }

  /** Returns the orders that are to be given now. */
  plan (observation: FleetObservation, now: Timestamp): UpstreamOrder[] {
    this._recordReclaims(observation, now)
    const needed = this._estimator.estimate(observation, now)
    if (needed === undefined) return []
    const reclaimable = this._planReclaimable(observation, needed, now)
    const isComing = this._hasPendingReclaimable(observation.scaling, now) || (now >= this._shortageUntil && reclaimable.length > 0)
    return [...reclaimable, ...this._planOnDemand(observation, needed, isComing, now)]
  }

  /** The order was accepted, or may have been. */
  recordAccepted (order: UpstreamOrder, now: Timestamp): void {
    const subject = this._orderStateOf(order.failureDomain, order.reclaimable)
    subject.desired = order.desired
    subject.orderedAt = now
  }

  /** No upstreams of the kind are to be had in the failure domain now. */
  recordUnavailable (order: UpstreamOrder, now: Timestamp): void {
    this._orderStateOf(order.failureDomain, order.reclaimable).unavailableUntil = now + REFUSAL_BACKOFF_MILLISECONDS
    if (order.reclaimable) this._shortageUntil = now + SHORTAGE_MILLISECONDS
  }

  private _planReclaimable (observation: FleetObservation, needed: number, now: Timestamp): UpstreamOrder[] {
    const { scaling, counts, service } = observation
    if (scaling.reclaimablePriceFraction === undefined) return []
    const domains = domainsByPrice(scaling)
    const remaining = Math.max(1, domains.length - 1)
    const desired = Math.min(scaling.maximum, Math.ceil(needed / remaining + this._sizing.reclaimableReserve * Math.sqrt(needed)))
    return domains
      .map(failureDomain => {
        const room = Math.max(0, scaling.maximum - this._countOnDemand(counts, failureDomain))
        const held = this._retainDuringShortage(desired, countOf(counts, failureDomain, true).serving, now)
        return { service, failureDomain, reclaimable: true, desired: Math.min(room, held) }
      })
      .filter(order => this._isDue(order, observation, now))
  }

  /** Others that a failure domain has, or will have when its last order has been carried out. */
  private _countOnDemand (counts: readonly FleetCount[], failureDomain: string): number {
    return Math.max(countOf(counts, failureDomain, false).serving, this._orderStateOf(failureDomain, false).desired ?? 0)
  }

  /** Reclaimable upstreams that a failure domain has, or will have when its last order has been carried out. */
  private _countReclaimable (counts: readonly FleetCount[], failureDomain: string): number {
    return Math.max(countOf(counts, failureDomain, true).serving, this._orderStateOf(failureDomain, true).desired ?? 0)
  }

  /** Reclaimable upstreams that are there are kept while no others are to be had. */
  private _retainDuringShortage (desired: number, serving: number, now: Timestamp): number {
    return now < this._shortageUntil ? Math.max(desired, serving) : desired
  }

  /** Orders others for what reclaimable ones don't carry now, and would not after the next reclaim. */
  private _planOnDemand (observation: FleetObservation, needed: number, isComing: boolean, now: Timestamp): UpstreamOrder[] {
    const { scaling, service } = observation
    return this._distributeOnDemand(observation, this._targetOnDemand(observation, needed, isComing, now))
      .map(({ failureDomain, onDemand: others }) => ({ service, failureDomain, reclaimable: false, desired: Math.min(others, scaling.maximum) }))
      .filter(order => this._isDue(order, observation, now))
  }

  /** Keeps the others where they are as far as possible, so that none is exchanged for one in another domain. */
  private _distributeOnDemand ({ counts, scaling }: FleetObservation, wanted: number): DomainPlan[] {
    const plans = domainsByPrice(scaling).map(failureDomain => ({
      failureDomain,
      others: this._countOnDemand(counts, failureDomain),
      room: scaling.maximum - this._countReclaimable(counts, failureDomain)
    }))
    let total = plans.reduce((sum, plan) => sum + plan.others, 0)
    for (; total > wanted; total--) findMaximum(plans.toReversed(), plan => plan.onDemand).onDemand--
    for (; total < wanted && plans.some(plan => plan.others < plan.room); total++) findMaximum(plans.filter(plan => plan.others < plan.room), plan => -plan.onDemand).onDemand++
    return plans
  }

  /**
   * Others that are there are kept until reclaimable ones carry the load even without the domain that has most of them;
   * new ones are ordered for that only while reclaimable ones are hard to get.
   */
  private _targetOnDemand ({ counts, scaling }: FleetObservation, needed: number, isComing: boolean, now: Timestamp): number {
    const reclaimable = counts.filter(count => count.reclaimable).map(count => count.serving)
    const serving = reclaimable.reduce((sum, count) => sum + count, 0)
    const others = domainsByPrice(scaling).reduce((sum, domain) => sum + this._countOnDemand(counts, domain), 0)
    const surviving = serving - Math.max(0, ...reclaimable)
    const fewest = Math.max(0, needed - serving)
    const most = Math.max(fewest, Math.ceil(needed * this._sizing.survivingShare) - surviving)
    if (now < this._shortageUntil) return most
    return Math.min(most, isComing ? others : Math.max(fewest, others))
  }

  /** Whether reclaimable upstreams have been ordered and may still be booting. */
  private _hasPendingReclaimable (scaling: ScalingBounds, now: Timestamp): boolean {
    if (now < this._shortageUntil) return false
    const since = now - scaling.bootSeconds * MILLISECONDS_PER_SECOND - ORDER_MARGIN_MILLISECONDS
    return [...this._orderStates].some(([key, subject]) => key.endsWith(RECLAIMABLE_KEY_SUFFIX) && subject.orderedAt > since)
  }

  private _isDue (order: UpstreamOrder, { scaling, counts }: FleetObservation, now: Timestamp): boolean {
    const subject = this._orderStateOf(order.failureDomain, order.reclaimable)
    if (subject.unavailableUntil > now) return false
    const { serving } = countOf(counts, order.failureDomain, order.reclaimable)
    if (serving === order.desired && (subject.desired ?? order.desired) === order.desired) return false
    if (subject.desired !== order.desired) return true
    return now >= subject.orderedAt + scaling.bootSeconds * MILLISECONDS_PER_SECOND + ORDER_MARGIN_MILLISECONDS
  }

  /** A reclaim takes all reclaimable upstreams of a domain; they have to be ordered again. */
  private _recordReclaims ({ counts }: FleetObservation, now: Timestamp): void {
    for (const count of counts) {
      if (!count.reclaimable || count.leaving === 0 || count.serving > 0) continue
      const subject = this._orderStateOf(count.failureDomain, true)
      if (subject.desired === undefined || subject.desired === 0) continue
      subject.desired = 0
      this._shortageUntil = now + SHORTAGE_MILLISECONDS
    }
  }

  private _orderStateOf (failureDomain: string, reclaimable: boolean): OrderState {
    const key = failureDomain + (reclaimable ? RECLAIMABLE_KEY_SUFFIX : ON_DEMAND_KEY_SUFFIX)
    let subject = this._orderStates.get(key)
    if (!subject) {
      subject = { desired: undefined, orderedAt: Number.NEGATIVE_INFINITY, unavailableUntil: Number.NEGATIVE_INFINITY }
      this._orderStates.set(key, subject)
    }
    return subject
  }
}

function domainsByPrice (scaling: ScalingBounds): string[] {
  return Object.entries(scaling.priceByDomain).sort(([, left], [, right]) => left - right).map(([domain]) => domain)
}

/** Returns the first plan with the highest value. */
function findMaximum (plans: readonly DomainPlan[], valueOf: (plan: DomainPlan) => number): DomainPlan {
  return plans.reduce((most, plan) => valueOf(plan) > valueOf(most) ? plan : most)
}

function countOf (counts: readonly FleetCount[], failureDomain: string, reclaimable: boolean): FleetCount {
  return counts.find(count => count.failureDomain === failureDomain && count.reclaimable === reclaimable) ?? { failureDomain, reclaimable, serving: 0, leaving: 0 }
}
