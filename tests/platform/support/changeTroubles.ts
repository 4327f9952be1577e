/**
 * Troubles that act while the configuration changes, in series chosen by a seed.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'
import { wait } from '../../support/wait.js'
import type { ChangingDeployment } from './changingDeployment.js'
import type { ProcessorShare } from './processorShare.js'
import type { StoreTrouble } from './storeFront.js'

const STEP_MILLISECONDS = 2400
const STEP_LASTS_MILLISECONDS = 6000
const TURNED_AWAY_MILLISECONDS = 9000
const CUT_MILLISECONDS = 5500
const LONG_CUT_MILLISECONDS = 12_000
const FREEZE_MILLISECONDS = 4000
const STORE_DOWN_MILLISECONDS = 4500
const DOWN_MILLISECONDS = 1500
const SIGTERM_MILLISECONDS = 9000
const LONGEST_PAUSE_MILLISECONDS = 2500
/** Parts of the gateways on which a trouble acts. */
const USUAL_SHARE = 0.3
const HERD_SHARE = 0.55

/** Kinds of trouble. */
export const TROUBLES = ['step-back', 'step-ahead', 'turned-away', 'gateways-cut', 'long-cut', 'freeze', 'kill', 'herd-kill', 'planned-stop', 'store-down', 'store-losing', 'store-slow', 'compact', 'connections-cut', 'sighup', 'store-connections-silent', 'upstream-connections-silent'] as const
export type Trouble = typeof TROUBLES[number]

const REFUSALS: readonly StoreTrouble[] = ['busy', 'limited', 'reset', 'silent']

/** Acts on one deployment. */
export class ChangeTroubles {
  readonly log: string[] = []
  private readonly _deployment: ChangingDeployment
  private readonly _share: ProcessorShare
  private readonly _random: SeededRandom
  /** Gateways that are stopped or killed, and not back yet. */
  private readonly _restarting = new Set<number>()

  private constructor (deployment: ChangingDeployment, share: ProcessorShare, random: SeededRandom) {
    this._deployment = deployment
    this._share = share
    this._random = random
  }

  static create (deployment: ChangingDeployment, share: ProcessorShare, random: SeededRandom): ChangeTroubles {
    return new ChangeTroubles(deployment, share, random)
  }

  /** Lets troubles of some kinds act one after the other and overlapping, for some time. */
  async run (kinds: readonly Trouble[], milliseconds: number): Promise<void> {
    const endsAt = Date.now() + milliseconds
    const acting: Array<Promise<void>> = []
    while (Date.now() < endsAt) {
      await wait(this._random.nextFraction() * LONGEST_PAUSE_MILLISECONDS)
      acting.push(this.act(this._random.pick(kinds)!))
    }
    await Promise.all(acting)
  }

  /** Lets one trouble act until it has ended. */
  async act (kind: Trouble): Promise<void> {
    const startedAt = Date.now()
    const gateways = this._pickGateways(kind === 'herd-kill' ? HERD_SHARE : USUAL_SHARE)
    if (gateways.length === 0) return
    await this._actOn(kind, gateways)
    this.log.push(`${kind} on ${gateways.join(', ')} from ${startedAt} to ${Date.now()}`)
  }

  private async _actOn (kind: Trouble, gateways: readonly number[]): Promise<void> {
    if (kind === 'step-back') return await this._step(gateways, -STEP_MILLISECONDS)
    if (kind === 'step-ahead') return await this._step(gateways, STEP_MILLISECONDS)
    if (kind === 'turned-away') return await this._turnAway(gateways, this._random.pick(REFUSALS)!)
    if (kind === 'gateways-cut') return await this._cutOff(gateways, CUT_MILLISECONDS)
    if (kind === 'long-cut') return await this._cutOff(gateways, LONG_CUT_MILLISECONDS)
    if (kind === 'freeze') return await this._freeze(gateways)
    if (kind === 'kill' || kind === 'herd-kill') return await this._restart(gateways, 'SIGKILL', DOWN_MILLISECONDS)
    if (kind === 'planned-stop') return await this._restart(gateways.slice(0, 1), 'SIGTERM', SIGTERM_MILLISECONDS)
    if (kind === 'store-down') return await this._cutFromStore(this._deployment.gateways.numbers, 'silent', STORE_DOWN_MILLISECONDS)
    if (kind === 'store-losing') return await this._cutFromStore(this._deployment.gateways.numbers, 'losing', STORE_DOWN_MILLISECONDS)
    if (kind === 'store-slow') return await this._cutFromStore(this._deployment.gateways.numbers, 'slow', STORE_DOWN_MILLISECONDS)
    if (kind === 'sighup') return this._signal(gateways, 'SIGHUP')
    if (kind === 'store-connections-silent' || kind === 'upstream-connections-silent') return this._silence(kind)
    if (kind === 'compact') this._deployment.store.compact()
    if (kind === 'connections-cut') this._deployment.store.cutConnections()
    this._deployment.judge.recordStoreTrouble()
  }

  /** The open connections of all gateways go silent for good; new ones work. */
  private _silence (kind: 'store-connections-silent' | 'upstream-connections-silent'): void {
    const { fronts, upstreams, gateways, judge } = this._deployment
    for (const standin of kind === 'store-connections-silent' ? fronts : upstreams) standin.silenceConnections()
    judge.recordDisturbance(gateways.numbers)
  }

  private async _step (gateways: readonly number[], milliseconds: number): Promise<void> {
    for (const offset of [milliseconds, 0]) {
      for (const gateway of gateways) this._deployment.stepTimeOfDay(gateway, offset)
      this._deployment.judge.recordDisturbance(gateways)
      if (offset !== 0) await wait(STEP_LASTS_MILLISECONDS)
    }
  }

  /** The gateways are judged meanwhile, since they learn from their peers what changes. */
  private async _turnAway (gateways: readonly number[], trouble: StoreTrouble): Promise<void> {
    this._deployment.judge.recordTurnedAway(gateways, TURNED_AWAY_MILLISECONDS)
    await this._troubleFronts(gateways, trouble, TURNED_AWAY_MILLISECONDS)
  }

  private async _cutFromStore (gateways: readonly number[], trouble: StoreTrouble, milliseconds: number): Promise<void> {
    const { judge } = this._deployment
    judge.recordTrouble(gateways)
    await this._troubleFronts(gateways, trouble, milliseconds)
    judge.recordCalm(gateways)
  }

  private async _troubleFronts (gateways: readonly number[], trouble: StoreTrouble, milliseconds: number): Promise<void> {
    const { fronts } = this._deployment
    for (const gateway of gateways) fronts[gateway - 1].beginTrouble(trouble)
    await wait(milliseconds)
    for (const gateway of gateways) fronts[gateway - 1].endTrouble(trouble)
  }

  private async _cutOff (gateways: readonly number[], milliseconds: number): Promise<void> {
    this._setCutOff(gateways, true)
    await this._cutFromStore(gateways, 'silent', milliseconds)
    this._setCutOff(gateways, false)
    this._deployment.judge.recordDisturbance(gateways)
  }

  private async _freeze (gateways: readonly number[]): Promise<void> {
    const { judge } = this._deployment
    judge.recordTrouble(gateways)
    this._share.freeze(gateways)
    await wait(FREEZE_MILLISECONDS)
    this._share.thaw(gateways)
    judge.recordCalm(gateways)
  }

  private async _restart (gateways: readonly number[], signal: NodeJS.Signals, milliseconds: number): Promise<void> {
    for (const gateway of gateways) this._restarting.add(gateway)
    this._deployment.beginRestart(gateways)
    this._signal(gateways, signal)
    await wait(milliseconds)
    this._signal(gateways, 'SIGKILL')
    await this._deployment.endRestart(gateways)
    for (const gateway of gateways) this._restarting.delete(gateway)
  }

  private _setCutOff (gateways: readonly number[], isCutOff: boolean): void {
    for (const gateway of gateways) this._deployment.gateways.sendMessage(gateway, { isCutOff })
  }

  private _signal (gateways: readonly number[], signal: NodeJS.Signals): void {
    for (const gateway of gateways) this._deployment.gateways.signal(gateway, signal)
  }

  /** Picks gateways that run, whatever else acts on them; one runs on in any case. */
  private _pickGateways (share: number): number[] {
    const { numbers } = this._deployment.gateways
    const running = numbers.filter(number => !this._restarting.has(number))
    const count = Math.min(Math.ceil(numbers.length * share), running.length - 1)
    const picked: number[] = []
    while (picked.length < count) picked.push(...running.splice(this._random.nextInteger(0, running.length - 1), 1))
    return picked
  }
}
