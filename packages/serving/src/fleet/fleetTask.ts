/**
 * The duty of ordering upstreams from the platform.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { DutyTask } from '@plumstage/coordination'
import type { Cloud, UpstreamOrder } from '../duties/cloud.js'
import type { ServingState } from '../servingState.js'
import type { Demand } from './demandMeter.js'
import { FleetPlanner } from './fleetPlanner.js'
import type { FleetCount } from './fleetSizing.js'

const PLANNING_INTERVAL_MILLISECONDS = 400
const ORDER_TIMEOUT_MILLISECONDS = 2000
const MILLISECONDS_PER_SECOND = 1000

/** What the task works with. */
export interface FleetTaskOptions {
  duty: DutyTask
  holder: string
  cloud: Cloud
  state: ServingState
  clock: Clock
  instrumentation: Instrumentation
}

/** Plans round by round while this gateway holds the duty. */
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
      if (!service.scaling) continue
      const planner = this._planners.get(service.name) ?? FleetPlanner.create(clock.now())
      this._planners.set(service.name, planner)
      const observation = { service: service.name, scaling: service.scaling, demand: this._demandOf(service.name), counts: this._countUpstreams(service.name), seenTokensPerSecond: state.prefillRateOf(service.name).tokensPerMillisecond * MILLISECONDS_PER_SECOND }
      // An order without an answer must not hold up the others.
      await Promise.all(planner.plan(observation, clock.now()).map(async order => await this._placeOrder(context, planner, order)))
    }
  }

  private async _placeOrder (context: CallContext, planner: FleetPlanner, order: UpstreamOrder): Promise<void> {
    const { duty, cloud, holder, clock, instrumentation } = this._options
    const held = duty.getHeldDuty()
    if (!held) return
    const call = context.createChild(clock.now() + ORDER_TIMEOUT_MILLISECONDS)
    const outcome = await cloud.orderUpstreams(call, { name: holder, fencingNumber: held.fencingNumber }, order)
    call.finish()
    const result = outcome.isOk() ? outcome.value : 'unanswered'
    instrumentation.emit('upstreams-ordered', { ...order, result, fencingNumber: held.fencingNumber })
    if (result === 'accepted' || result === 'unanswered') planner.recordAccepted(order, clock.now())
    if (result === 'unavailable' || result === 'refused') planner.recordUnavailable(order, clock.now())
    if (result === 'fenced') duty.abandon()
  }

  private _countUpstreams (service: string): FleetCount[] {
    const counts = new Map<string, FleetCount>()
    for (const { listed } of this._options.state.upstreams.listOfService(service)) {
      const { failureDomain, reclaimable } = listed
      const key = `${failureDomain}/${reclaimable}`
      const count = counts.get(key) ?? { failureDomain, reclaimable, serving: 0, leaving: 0 }
      counts.set(key, count)
      if (listed.state === 'ready') count.serving++
      else count.leaving++
    }
    return [...counts.values()]
  }

  /** Demand at all gateways together. */
  private _demandOf (service: string): Demand {
    const { state, clock } = this._options
    const total = { ...state.demand.demandOf(service, clock.now()) }
    for (const peer of state.peers.listPresent(clock.now())) {
      const demand = peer.report.demands.find(candidate => candidate.service === service)
      total.promptTokensPerSecond += demand?.promptTokensPerSecond ?? 0
      total.outputTokensPerSecond += demand?.outputTokensPerSecond ?? 0
    }
    return total
  }
}
