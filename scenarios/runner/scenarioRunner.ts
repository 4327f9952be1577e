/**
 * Runs scenarios on the virtual clock.
 *
 * @module
 */
import type { StoredKeyValue } from '@plumstage/standins'
import { checkPromises } from '../checker/promiseChecker.js'
import type { FinalGatewayState, Violation } from '../checker/promiseChecker.js'
import type { VirtualGateway } from '../world/virtualGateway.js'
import type { VirtualUpstream } from '../world/virtualUpstream.js'
import { VirtualWorld } from '../world/virtualWorld.js'
import { checkExpectation } from './expectations.js'
import type { Scenario, ScenarioAction } from './scenarioSchema.js'

/** What became of one run. */
export interface ScenarioResult {
  violations: Violation[]
  /** Expectations of the scenario that were not met. */
  unmet: string[]
  world: VirtualWorld
}

/** Runs a scenario to its end and checks it. */
export async function runScenario (scenario: Scenario, seed: number): Promise<ScenarioResult> {
  const world = await VirtualWorld.create(scenario.size, seed)
  const performer = ActionPerformer.create(world)
  const steps = [...scenario.steps].sort((left, right) => left.at - right.at)
  for (const step of steps) {
    await world.runFor(Math.max(0, step.at - world.elapsed))
    performer.perform(step)
  }
  await world.runFor(scenario.restMilliseconds)
  return {
    violations: checkPromises(world.evidence, world.gateways.map(describeGateway)),
    unmet: scenario.expect.map(expectation => checkExpectation(expectation, world)).filter(problem => problem !== undefined),
    world
  }
}

/** Carries out the actions of scenarios. */
export class ActionPerformer {
  private readonly _world: VirtualWorld
  private _backup: { entries: StoredKeyValue[], revision: number } | undefined

  private constructor (world: VirtualWorld) {
    this._world = world
  }

  static create (world: VirtualWorld): ActionPerformer {
    return new ActionPerformer(world)
  }

  perform (action: ScenarioAction): void {
    const world = this._world
    switch (action.do) {
      case 'send': return world.send({ ...action, gateway: action.gateway === undefined ? undefined : `gateway-${action.gateway}` })
      case 'reclaim': return this._reclaim(action)
      case 'kill-upstream': return this._killUpstream(this._upstream(action.upstream))
      case 'add-upstream': return void world.addUpstream(action.kind)
      case 'fault-upstream': return this._faultUpstream(this._upstream(action.upstream), action.faults)
      case 'fencing': this._upstream(action.upstream).honoursFencing = action.honoured; return
      case 'pause-duty-holder': return this._pauseDutyHolder(action.milliseconds)
      case 'lag-instance-list': world.instances.lagMilliseconds = action.milliseconds; return
      case 'stop-gateway': return world.stopGateway(this._gateway(action.gateway))
      case 'reclaim-gateway': return world.reclaimGateway(this._gateway(action.gateway), action.noticeMilliseconds)
      case 'kill-gateway': return world.killGateway(this._gateway(action.gateway))
      case 'pause-gateway': world.evidence.unannouncedFailure = true; return this._gateway(action.gateway).process.pause()
      case 'resume-gateway': return this._gateway(action.gateway).process.resume()
      case 'add-gateway': return void world.addGateway()
      case 'cut': return world.setCut(`gateway-${action.from}`, `gateway-${action.to}`, true)
      case 'heal': return world.setCut(`gateway-${action.from}`, `gateway-${action.to}`, false)
      case 'key-value': return this._changeKeyValue(action)
      case 'apply': return void world.storeRecords(action.records)
    }
  }

  private _reclaim (action: Extract<ScenarioAction, { do: 'reclaim' }>): void {
    const chosen = action.upstream === undefined ? this._world.upstreams.filter(upstream => upstream.failureDomain === action.failureDomain) : [this._upstream(action.upstream)]
    for (const upstream of chosen) if (upstream.alive) this._world.reclaimUpstream(upstream, action.noticeMilliseconds)
  }

  /** Pauses the gateway that acquired the duty last. */
  private _pauseDutyHolder (milliseconds: number): void {
    const acquired = this._world.evidence.events.findLast(event => event.kind === 'duty-acquired')
    const holder = this._world.gateways.find(gateway => gateway.name === acquired?.process)
    if (!holder) throw new Error('no gateway holds the duty')
    this._world.evidence.unannouncedFailure = true
    holder.process.pause()
    this._world.clock.schedule(this._world.clock.now() + milliseconds, () => holder.process.resume())
  }

  private _killUpstream (upstream: VirtualUpstream): void {
    this._world.evidence.unannouncedFailure = true
    upstream.kill()
    this._world.instances.remove(upstream.address)
  }

  private _faultUpstream (upstream: VirtualUpstream, faults: VirtualUpstream['faults']): void {
    this._world.evidence.unannouncedFailure = true
    upstream.faults = faults
  }

  private _changeKeyValue (action: Extract<ScenarioAction, { do: 'key-value' }>): void {
    const server = this._world.keyValue
    if (action.delayMilliseconds !== undefined) server.delayMilliseconds = action.delayMilliseconds
    if (action.loseAnswers !== undefined) server.loseAnswers = action.loseAnswers
    if (action.compact) server.store.compact(server.store.revision)
    if (action.backUp) this._backup = { entries: server.store.backUp(), revision: server.store.revision }
    if (action.restoreRevision && this._backup) server.store.restore(this._backup.entries, this._backup.revision)
    if (action.down !== undefined) server.setDown(action.down)
  }

  private _upstream (number: number): VirtualUpstream {
    const upstream = this._world.upstreams[number - 1]
    if (!upstream) throw new Error(`there is no upstream ${number}; the scenario has ${this._world.upstreams.length}`)
    return upstream
  }

  private _gateway (number: number): VirtualGateway {
    const gateway = this._world.gateways[number - 1]
    if (!gateway) throw new Error(`there is no gateway ${number}; the scenario has ${this._world.gateways.length}`)
    return gateway
  }
}

export function describeGateway (gateway: VirtualGateway): FinalGatewayState {
  return { name: gateway.name, serving: gateway.process.state === 'running' && !gateway.core.stopping, configurationRevision: gateway.core.configuration.state.revision }
}
