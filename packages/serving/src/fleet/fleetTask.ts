/**
 * Orders upstreams from the platform while this gateway holds the duty for it.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { DutyTask } from '@plumstage/coordination'
import type { ScalingBounds } from '@plumstage/records'
import type { Cloud, UpstreamOrder } from '../duties/cloud.js'
import { countMissingUpstreams } from '../limits/missingCapacity.js'
import type { ServingState } from '../servingState.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { FleetPlanner } from './fleetPlanner.js'
import type { FleetCount, FleetObservation } from './fleetSizing.js'

const PLANNING_INTERVAL_MILLISECONDS = 400
const ORDER_TIMEOUT_MILLISECONDS = 2000
const MILLISECONDS_PER_SECOND = 1000

/** Dependencies of the task. */
export interface FleetTaskOptions {
  duty: DutyTask
  holder: string
  cloud: Cloud
  state: ServingState
  clock: Clock
  instrumentation: Instrumentation
}

/** Periodically plans the fleet of every service and places the orders. */
export class FleetTask {
  private readonly _options: FleetTaskOptions
  private _planners = new Map<string, FleetPlanner>()

  private constructor (options: FleetTaskOptions) {
    this._options = options
  }

  static create (options: FleetTaskOptions): FleetTask {
    return new FleetTask(options)
  }

  async run (context: CallContext): Promise<void> {
    const { clock, duty } = this._options
    while (!context.cancelled) {
      if (duty.getHeldDuty()) await this._planAll(context)
      else if (this._planners.size > 0) this._planners = new Map()
      await context.sleepUntil(clock.now() + PLANNING_INTERVAL_MILLISECONDS)
    }
  }

  private async _planAll (context: CallContext): Promise<void> {
    const { state, clock } = this._options
    for (const service of state.view.configuration?.services.values() ?? []) {
      // During a roll-out, both versions are listed, and orders could not say which of them is meant.
      if (!service.scaling || state.rollouts.isInProgress(service.name)) continue
      const planner = this._planners.get(service.name) ?? FleetPlanner.create(clock.now())
      this._planners.set(service.name, planner)
      const observation = this._observe(service.name, service.scaling)
      const neededBefore = planner.neededUpstreams
      const orders = planner.plan(observation, clock.now())
      if (planner.neededUpstreams !== neededBefore) this._emitNeeded(planner, observation)
      // Orders are placed in parallel, so that one without a response does not delay the others.
      await Promise.all(orders.map(async order => await this._placeOrder(context, planner, order)))
    }
  }

  private _observe (service: string, scaling: ScalingBounds): FleetObservation {
    const { state, clock } = this._options
    const upstreams = state.upstreams.listOfService(service).filter(upstream => !upstream.isLeaving)
    const { tokensPerMillisecond, isKnown } = state.capacities.capacityOf(service, clock.now())
    const observedTokensPerSecond = isKnown ? tokensPerMillisecond * MILLISECONDS_PER_SECOND : undefined
    return {
      service,
      scaling,
      demand: state.demandOf(service, clock.now()),
      counts: this._countUpstreams(service),
      observedTokensPerSecond,
      waitingTokens: upstreams.reduce((sum, upstream) => sum + upstream.waitingTokens, 0),
      activeRequests: upstreams.reduce((sum, upstream) => sum + upstream.requests, 0),
      placesPerUpstream: Math.min(...upstreams.map(upstream => upstream.listed.capacity)),
      missingUpstreams: this._countMissing(service, upstreams, observedTokensPerSecond)
    }
  }

  private _countMissing (service: string, upstreams: readonly Upstream[], tokensPerSecond: number | undefined): number {
    const { state, clock } = this._options
    const tokensPerRequest = state.demand.promptTokensPerRequest(service, clock.now())
    if (tokensPerRequest === undefined || tokensPerSecond === undefined) return 0
    const limits = upstreams.map(({ limit }) => limit.requestsPerSecond).filter(limit => limit !== undefined)
    return countMissingUpstreams(limits, tokensPerRequest, tokensPerSecond)
  }

  private _emitNeeded (planner: FleetPlanner, { service, demand, waitingTokens, activeRequests, observedTokensPerSecond }: FleetObservation): void {
    const { promptTokensPerSecond, outputTokensPerSecond } = demand
    const rate = observedTokensPerSecond === undefined ? undefined : Math.round(observedTokensPerSecond)
    this._options.instrumentation.emit('fleet-sized', { service, neededUpstreams: planner.neededUpstreams, promptTokensPerSecond, outputTokensPerSecond, waitingTokens: Math.round(waitingTokens), activeRequests, observedTokensPerSecond: rate })
  }

  private async _placeOrder (context: CallContext, planner: FleetPlanner, order: UpstreamOrder): Promise<void> {
    const { duty, cloud, holder, clock, instrumentation } = this._options
    const call = duty.beginCall(context, ORDER_TIMEOUT_MILLISECONDS)
    if (!call) return
    const { fencingNumber, mayAct } = call
    const outcome = await cloud.orderUpstreams(call.context, { name: holder, fencingNumber, mayAct }, order)
    call.context.finish()
    const result = outcome.isOk() ? outcome.value : 'unanswered'
    instrumentation.emit('upstreams-ordered', { ...order, result, fencingNumber })
    if (result === 'accepted' || result === 'unanswered') planner.recordAccepted(order, clock.now())
    if (result === 'unavailable' || result === 'refused') planner.recordUnavailable(order, clock.now())
    if (result === 'fenced') duty.abandon()
  }

  private _countUpstreams (service: string): FleetCount[] {
    const counts = new Map<string, FleetCount>()
    for (const { listed, isLeaving } of this._options.state.upstreams.listOfService(service)) {
      const { failureDomain, reclaimable } = listed
      const key = `${failureDomain}/${reclaimable}`
      const count = counts.get(key) ?? { failureDomain, reclaimable, serving: 0, leaving: 0 }
      counts.set(key, count)
      if (!isLeaving) count.serving++
      else count.leaving++
    }
    return [...counts.values()]
  }
}
