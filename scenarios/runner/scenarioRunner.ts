/**
 * Runs scenarios on the virtual clock.
 *
 * @module
 */
import type { StoredKeyValue } from '@plumstage/standins'
import { checkInvariants } from '../checker/invariantChecker.js'
import type { FinalGatewayState, Violation } from '../checker/invariantChecker.js'
import type { VirtualGateway } from '../simulation/virtualGateway.js'
import type { VirtualUpstream } from '../simulation/virtualUpstream.js'
import { VirtualDeployment } from '../simulation/virtualDeployment.js'
import { checkExpectation } from './expectations.js'
import type { Scenario, ScenarioAction } from './scenarioSchema.js'

/** What became of one run. */
export interface ScenarioResult {
  violations: Violation[]
  /** Expectations of the scenario that were not met. */
  unmetExpectations: string[]
  deployment: VirtualDeployment
}

/** Runs a scenario to its end and checks it. */
export async function runScenario (scenario: Scenario, seed: number): Promise<ScenarioResult> {
  const world = await VirtualDeployment.create(scenario.size, seed)
  const performer = ActionExecutor.create(world)
  const steps = [...scenario.steps].sort((left, right) => left.at - right.at)
  for (const step of steps) {
    await world.runFor(Math.max(0, step.at - world.elapsedMilliseconds))
    performer.execute(step)
  }
  await world.runFor(scenario.restMilliseconds)
  return {
    violations: checkInvariants(world.history, world.gateways.map(finalStateOf)),
    unmetExpectations: scenario.expect.map(expectation => checkExpectation(expectation, world)).filter(problem => problem !== undefined),
    deployment: world
  }
}

/** Carries out the actions of scenarios. */
export class ActionExecutor {
  private readonly _deployment: VirtualDeployment
  private _backup: { entries: StoredKeyValue[], revision: number } | undefined

  private constructor (world: VirtualDeployment) {
    this._deployment = world
  }

  static create (world: VirtualDeployment): ActionExecutor {
    return new ActionExecutor(world)
  }

  execute (action: ScenarioAction): void {
    const world = this._deployment
    switch (action.do) {
      case 'send': return world.send({ ...action, gateway: action.gateway === undefined ? undefined : `gateway-${action.gateway}` })
      case 'reclaim': return this._reclaim(action)
      case 'kill-upstream': return this._killUpstream(this._upstream(action.upstream))
      case 'add-upstream': return void world.addUpstream(action.kind)
      case 'fault-upstream': return this._faultUpstream(this._upstream(action.upstream), action.faults)
      case 'fencing': this._upstream(action.upstream).enforcesFencing = action.honoured; return
      case 'pause-duty-holder': return this._pauseDutyHolder(action.milliseconds)
      case 'lag-instance-list': world.instanceList.lagMilliseconds = action.milliseconds; return
      case 'stop-gateway': return world.stopGateway(this._gateway(action.gateway))
      case 'reclaim-gateway': return world.reclaimGateway(this._gateway(action.gateway), action.noticeMilliseconds)
      case 'kill-gateway': return world.killGateway(this._gateway(action.gateway))
      case 'pause-gateway': world.history.unannouncedFailure = true; return this._gateway(action.gateway).process.pause()
      case 'resume-gateway': return this._gateway(action.gateway).process.resume()
      case 'add-gateway': return void world.addGateway()
      case 'cut': return world.setLinkBlocked(`gateway-${action.from}`, `gateway-${action.to}`, true)
      case 'heal': return world.setLinkBlocked(`gateway-${action.from}`, `gateway-${action.to}`, false)
      case 'key-value': return this._changeKeyValueService(action)
      case 'apply': return void world.storeRecords(action.records)
    }
  }

  private _reclaim (action: Extract<ScenarioAction, { do: 'reclaim' }>): void {
    const chosen = action.upstream === undefined ? this._deployment.upstreams.filter(upstream => upstream.failureDomain === action.failureDomain) : [this._upstream(action.upstream)]
    for (const upstream of chosen) if (upstream.isAlive) this._deployment.reclaimUpstream(upstream, action.noticeMilliseconds)
  }

  /** Pauses the gateway that acquired the duty last. */
  private _pauseDutyHolder (milliseconds: number): void {
    const acquired = this._deployment.history.events.findLast(event => event.kind === 'duty-acquired')
    const holder = this._deployment.gateways.find(gateway => gateway.name === acquired?.process)
    if (!holder) throw new Error('no gateway holds the duty')
    this._deployment.history.unannouncedFailure = true
    holder.process.pause()
    this._deployment.clock.schedule(this._deployment.clock.now() + milliseconds, () => holder.process.resume())
  }

  private _killUpstream (upstream: VirtualUpstream): void {
    this._deployment.history.unannouncedFailure = true
    upstream.kill()
    this._deployment.instanceList.remove(upstream.address)
  }

  private _faultUpstream (upstream: VirtualUpstream, faults: VirtualUpstream['faults']): void {
    this._deployment.history.unannouncedFailure = true
    upstream.faults = faults
  }

  private _changeKeyValueService (action: Extract<ScenarioAction, { do: 'key-value' }>): void {
    const server = this._deployment.keyValue
    if (action.delayMilliseconds !== undefined) server.delayMilliseconds = action.delayMilliseconds
    if (action.loseAnswers !== undefined) server.remainingLostResponses = action.loseAnswers
    if (action.compact) server.store.compact(server.store.revision)
    if (action.backUp) this._backup = { entries: server.store.backUp(), revision: server.store.revision }
    if (action.restoreRevision && this._backup) server.store.restore(this._backup.entries, this._backup.revision)
    if (action.down !== undefined) server.setDown(action.down)
  }

  private _upstream (number: number): VirtualUpstream {
    const upstream = this._deployment.upstreams[number - 1]
    if (!upstream) throw new Error(`there is no upstream ${number}; the scenario has ${this._deployment.upstreams.length}`)
    return upstream
  }

  private _gateway (number: number): VirtualGateway {
    const gateway = this._deployment.gateways[number - 1]
    if (!gateway) throw new Error(`there is no gateway ${number}; the scenario has ${this._deployment.gateways.length}`)
    return gateway
  }
}

export function finalStateOf (gateway: VirtualGateway): FinalGatewayState {
  return { name: gateway.name, serving: gateway.process.state === 'running' && !gateway.core.stopping, configurationRevision: gateway.core.configuration.state.revision }
}
