/**
 * Generates scenarios from seeds: a random mix of requests and failures, followed by a period without failures.
 *
 * @module
 */
import { SeededRandom } from '@plumstage/common'
import { scenarioSchema } from '../runner/scenarioSchema.js'
import type { Scenario, ScenarioAction } from '../runner/scenarioSchema.js'

const ACTIVE_MILLISECONDS = 20_000
const REST_MILLISECONDS = 60_000
const MINIMUM_ACTIONS = 15
const MAXIMUM_ACTIONS = 45
/** Share of the scenarios that contain only announced failures. */
const ANNOUNCED_ONLY_SHARE = 0.3

type UnvalidatedFields = { [field: string]: unknown }

/**
 * Which failures a scenario may contain: only those through which no response may be lost (reclaims, planned stops,
 * blocked links, faults of the key-value service), or also crashes, pauses and faults of upstreams.
 */
type FailureMix = 'announced' | 'all'

/** Generates the actions of one scenario from a seed. */
class ScenarioGenerator {
  private readonly _random: SeededRandom
  private readonly _mix: FailureMix
  private readonly _actions: UnvalidatedFields[] = []
  private readonly _gateways: number
  private readonly _engines: number
  private readonly _plainServices: number
  /** Gateways that were stopped, killed or reclaimed. */
  private readonly _removedGateways = new Set<number>()
  private _gatewayCount: number
  private _upstreamCount: number
  private _nextLabel = 1

  private constructor (seed: number) {
    this._random = SeededRandom.create(seed)
    this._mix = this._random.nextFraction() < ANNOUNCED_ONLY_SHARE ? 'announced' : 'all'
    this._gateways = this._random.nextInteger(2, 4)
    this._engines = this._random.nextInteger(2, 5)
    this._plainServices = this._random.nextInteger(1, 3)
    this._gatewayCount = this._gateways
    this._upstreamCount = this._engines + this._plainServices
  }

  static create (seed: number): ScenarioGenerator {
    return new ScenarioGenerator(seed)
  }

  generate (): UnvalidatedFields {
    const count = this._random.nextInteger(MINIMUM_ACTIONS, MAXIMUM_ACTIONS)
    for (let index = 0; index < count; index++) this._drawAction(this._random.nextInteger(0, ACTIVE_MILLISECONDS))
    this._endFailures()
    return {
      name: 'random',
      proves: `a random mix of ${this._mix} failures`,
      size: { gateways: this._gateways, engines: this._engines, plainServices: this._plainServices, concurrencyPerUpstream: this._random.nextInteger(2, 16) },
      restMilliseconds: REST_MILLISECONDS,
      steps: this._actions
    }
  }

  private _drawAction (at: number): void {
    if (this._random.nextFraction() < 0.5) return this._drawRequests(at)
    const announced = [this._drawReclaim, this._drawAddUpstream, this._drawStop, this._drawReclaimGateway, this._drawAddGateway, this._drawKeyValue, this._drawApply, this._drawCut, this._drawLag]
    const unannounced = [this._drawCrash, this._drawKillUpstream, this._drawFault, this._drawKillGateway, this._drawPause, this._drawPause]
    const draw = this._random.pick(this._mix === 'all' ? [...announced, ...unannounced] : announced)!
    draw.call(this, at)
  }

  private _drawRequests (at: number): void {
    const kind = this._random.pick(['stream', 'stream', 'whole', 'read', 'write', 'write'] as const)!
    const keyed = kind === 'write' && this._random.nextFraction() < 0.7
    const same = keyed && this._random.nextFraction() < 0.5
    const label = `${kind} ${this._nextLabel++}`
    const request = { do: 'send', label, kind, count: this._random.nextInteger(1, 10), tokens: this._random.nextInteger(1, 150), content: label, same, keyed }
    this._add(at, request)
    if (!same) return
    for (let repeat = this._random.nextInteger(0, 3); repeat > 0; repeat--) this._add(at + this._random.nextInteger(1, 8000), { ...request, count: 1 })
  }

  private _drawReclaim (at: number): void {
    if (this._random.nextFraction() < 0.2) return this._add(at, { do: 'reclaim', failureDomain: `domain-${this._random.nextInteger(1, 3)}`, noticeMilliseconds: this._random.nextInteger(3000, 8000) })
    this._add(at, { do: 'reclaim', upstream: this._random.nextInteger(1, this._engines + this._plainServices), noticeMilliseconds: this._random.nextInteger(3000, 8000) })
  }

  private _drawAddUpstream (at: number): void {
    this._upstreamCount++
    this._add(at, { do: 'add-upstream', kind: this._random.pick(['engine', 'plain'])! })
  }

  private _drawStop (at: number): void {
    const gateway = this._removeRandomGateway()
    if (gateway !== undefined) this._add(at, { do: 'stop-gateway', gateway })
  }

  private _drawKillGateway (at: number): void {
    const gateway = this._removeRandomGateway()
    if (gateway !== undefined) this._add(at, { do: 'kill-gateway', gateway })
  }

  /** Chooses a gateway to remove; undefined if only one is left. */
  private _removeRandomGateway (): number | undefined {
    const remaining = Array.from({ length: this._gateways }, (_, index) => index + 1).filter(number => !this._removedGateways.has(number))
    if (remaining.length < 2) return undefined
    const gateway = this._random.pick(remaining)!
    this._removedGateways.add(gateway)
    return gateway
  }

  private _drawReclaimGateway (at: number): void {
    const gateway = this._removeRandomGateway()
    if (gateway !== undefined) this._add(at, { do: 'reclaim-gateway', gateway, noticeMilliseconds: this._random.nextInteger(3000, 8000) })
  }

  private _drawAddGateway (at: number): void {
    this._gatewayCount++
    this._add(at, { do: 'add-gateway' })
  }

  private _drawPause (at: number): void {
    const gateway = this._random.nextInteger(1, this._gateways)
    this._add(at, { do: 'pause-gateway', gateway })
    this._add(at + this._random.nextInteger(500, 25_000), { do: 'resume-gateway', gateway })
  }

  private _drawKillUpstream (at: number): void {
    this._add(at, { do: 'kill-upstream', upstream: this._random.nextInteger(1, this._engines + this._plainServices) })
  }

  /** Sends a request that crashes every engine that executes it, one to four times, and adds two engines. */
  private _drawCrash (at: number): void {
    const content = `crash ${this._nextLabel++}`
    for (let repeat = this._random.nextInteger(1, 4); repeat > 0; repeat--) this._add(at + this._random.nextInteger(0, 10_000), { do: 'send', label: content, kind: 'stream', count: 1, tokens: 10, content, same: true })
    this._add(at, { do: 'add-upstream', kind: 'engine' })
    this._add(at, { do: 'add-upstream', kind: 'engine' })
  }

  private _drawFault (at: number): void {
    const upstream = this._random.nextInteger(1, this._engines + this._plainServices)
    const faults = this._random.pick([{ frozen: true }, { cutAfter: this._random.nextInteger(0, 20) }, { refuseWith: 503 }, { refuseWith: 500 }, { sendsLate: true }, { skipsTokens: true }, { foreignId: true }])!
    this._add(at, { do: 'fault-upstream', upstream, faults })
    this._add(at + this._random.nextInteger(500, 15_000), { do: 'fault-upstream', upstream, faults: {} })
  }

  private _drawKeyValue (at: number): void {
    const until = at + this._random.nextInteger(500, 15_000)
    const choice = this._random.nextInteger(0, 3)
    if (choice === 0) this._add(at, { do: 'key-value', down: true })
    else if (choice === 1) this._add(at, { do: 'key-value', delayMilliseconds: this._random.nextInteger(100, 4000) })
    else if (choice === 2) this._add(at, { do: 'key-value', loseAnswers: this._random.nextInteger(1, 5) })
    else this._add(at, { do: 'key-value', compact: true })
    this._add(until, { do: 'key-value', down: false, delayMilliseconds: 0 })
  }

  private _drawApply (at: number): void {
    this._add(at, { do: 'apply', records: `{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: extra }, spec: { rank: ${this._random.nextInteger(0, 9)}, startWithinMilliseconds: ${at + 1} } }` })
  }

  private _drawCut (at: number): void {
    const from = this._random.nextInteger(1, this._gateways)
    const to = this._random.nextInteger(1, this._gateways)
    if (from === to) return
    this._add(at, { do: 'cut', from, to })
    this._add(at + this._random.nextInteger(500, 20_000), { do: 'heal', from, to })
  }

  private _drawLag (at: number): void {
    this._add(at, { do: 'lag-instance-list', milliseconds: this._random.nextInteger(0, 1500) })
  }

  /** Ends every ongoing failure and adds upstreams, so that all remaining requests can finish. */
  private _endFailures (): void {
    const last = Math.max(ACTIVE_MILLISECONDS, ...this._actions.map(action => Number(action.at)))
    this._add(last, { do: 'key-value', down: false, delayMilliseconds: 0, loseAnswers: 0 })
    this._add(last, { do: 'add-upstream', kind: 'engine' })
    this._add(last, { do: 'add-upstream', kind: 'plain' })
    for (let gateway = 1; gateway <= this._gateways; gateway++) this._add(last, { do: 'resume-gateway', gateway })
  }

  private _add (at: number, action: UnvalidatedFields): void {
    this._actions.push({ at, ...action })
  }
}

/** Returns the scenario of a seed; the same seed always gives the same scenario. */
export function createRandomScenario (seed: number): Scenario {
  const scenario = scenarioSchema.parse(ScenarioGenerator.create(seed).generate())
  return { ...scenario, steps: sortByTime(scenario.steps) }
}

/** Sorts by time; the sort is stable, so that gateways and upstreams are numbered in the order in which they were drawn. */
function sortByTime (steps: readonly ScenarioAction[]): ScenarioAction[] {
  return [...steps].sort((left, right) => left.at - right.at)
}
