/**
 * Carries out the orders of operators to move services to other versions, while this gateway holds the duty for it.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { DutyTask, KeyValueService } from '@plumstage/coordination'
import type { DeploymentDecoder } from '../deployment/deploymentDecoder.js'
import type { ServingState } from '../servingState.js'
import type { StoreKeys } from '../storeKeys.js'
import { sumRoutes } from './rolloutJudge.js'
import { encodeRolloutProgress, isFinal } from './rolloutOrder.js'
import type { RolloutProgress, RolloutStage } from './rolloutOrder.js'
import { decideRollout } from './rolloutPlan.js'
import type { RolloutDecision } from './rolloutPlan.js'
import { isOfNewVersion } from './rolloutRegistry.js'
import type { Rollout } from './rolloutRegistry.js'

const DECISION_INTERVAL_MILLISECONDS = 400
const WRITE_TIMEOUT_MILLISECONDS = 1000

/** Dependencies of the task. */
export interface RolloutTaskOptions {
  duty: DutyTask
  store: KeyValueService
  keys: StoreKeys
  decoder: DeploymentDecoder
  state: ServingState
  clock: Clock
  timeOfDay: () => Timestamp
  instrumentation: Instrumentation
}

/** When this gateway first saw that the traffic of an order moves. */
interface Move {
  orderRevision: number
  since: Timestamp
}

/** The answers of the old version of a service, and when their number last changed here. */
interface OldAnswers {
  count: number
  changedAt: Timestamp
}

/** Decides on every roll-out and writes its progress. */
export class RolloutTask {
  private readonly _options: RolloutTaskOptions
  /** When the moves began that this gateway has seen, by service. */
  private readonly _moves = new Map<string, Move>()
  private readonly _oldAnswers = new Map<string, OldAnswers>()

  private constructor (options: RolloutTaskOptions) {
    this._options = options
  }

  static create (options: RolloutTaskOptions): RolloutTask {
    return new RolloutTask(options)
  }

  async run (context: CallContext): Promise<void> {
    const { clock, duty, state } = this._options
    while (!context.cancelled) {
      if (duty.getHeldDuty()) for (const rollout of state.rollouts.list()) await this._advance(context, rollout)
      await context.sleepUntil(clock.now() + DECISION_INTERVAL_MILLISECONDS)
    }
  }

  private async _advance (context: CallContext, rollout: Rollout): Promise<void> {
    const { progress } = rollout
    if (!progress) return await this._begin(context, rollout)
    if (isFinal(progress.stage)) return
    const decision = this._decide(rollout, progress)
    if (decision.stage === progress.stage) return
    await this._write(context, rollout, { ...progress, stage: decision.stage }, decision.reason)
  }

  private async _begin (context: CallContext, rollout: Rollout): Promise<void> {
    const { state, timeOfDay } = this._options
    const { order, orderRevision } = rollout
    const startedAt = timeOfDay()
    const versions = state.upstreams.listOfService(order.service).filter(upstream => !isOfNewVersion(upstream, rollout)).map(({ listed }) => listed.softwareVersion ?? '')
    const progress: RolloutProgress = { stage: 'observing', to: order.to, from: [...new Set(versions)], orderRevision, startedAt, deadlineAt: startedAt + order.durationMilliseconds }
    await this._write(context, rollout, progress, 'an operator ordered it')
  }

  private _decide (rollout: Rollout, progress: RolloutProgress): RolloutDecision {
    const { state, clock, timeOfDay } = this._options
    const now = timeOfDay()
    const upstreams = state.upstreams.listOfService(rollout.order.service)
    const evidence = state.rollouts.listEvidence(rollout, state.rolloutJudging(clock.now()))
    const oldRequests = upstreams.filter(upstream => !isOfNewVersion(upstream, rollout)).reduce((sum, { requests }) => sum + requests, 0)
    const newUpstreams = upstreams.filter(upstream => isOfNewVersion(upstream, rollout) && !upstream.isLeaving).length
    const oldAnsweredAt = this._noteOldAnswers(rollout.order.service, sumRoutes(evidence).oldVersion.answers, now)
    const decision = decideRollout(progress, { evidence, newUpstreams, oldRequests, oldAnsweredAt }, this._movingSince(rollout, progress, now), now)
    if (decision.stage !== progress.stage) this._emitDecided(rollout, decision, sumRoutes(evidence).newVersion, oldRequests)
    return decision
  }

  /** Returns when the number of answers of the old version last changed. */
  private _noteOldAnswers (service: string, count: number, now: Timestamp): Timestamp {
    const known = this._oldAnswers.get(service)
    if (known?.count === count) return known.changedAt
    this._oldAnswers.set(service, { count, changedAt: now })
    return now
  }

  private _movingSince ({ order, orderRevision }: Rollout, { stage }: RolloutProgress, now: Timestamp): Timestamp | undefined {
    if (stage !== 'moving') return undefined
    const known = this._moves.get(order.service)
    if (known?.orderRevision === orderRevision) return known.since
    this._moves.set(order.service, { orderRevision, since: now })
    return now
  }

  private _emitDecided ({ order }: Rollout, { stage, verdict, reason }: RolloutDecision, { answers, bad }: { answers: number, bad: number }, oldRequests: number): void {
    this._options.instrumentation.emit('rollout-decided', { service: order.service, to: order.to, stage, verdict, reason, answers, bad, oldRequests })
  }

  /** Writes the progress and the status for operators together, unless another holder has written since this one read. */
  private async _write (context: CallContext, { order, progressRevision }: Rollout, progress: RolloutProgress, reason: string): Promise<void> {
    const { store, keys, decoder, clock, instrumentation } = this._options
    const key = keys.rolloutKey(order.service)
    const callContext = context.createChild(clock.now() + WRITE_TIMEOUT_MILLISECONDS)
    const written = await store.transact(callContext, {
      conditions: [{ kind: 'mod-revision', key, revision: progressRevision }],
      onSuccess: [
        { kind: 'put', key, value: encodeRolloutProgress(progress) },
        { kind: 'put', ...decoder.encodeRolloutStatus(order, statusOf(progress.stage)) }
      ],
      onFailure: []
    })
    callContext.finish()
    const result = written.isErr() ? 'unanswered' : written.value.succeeded ? 'written' : 'outdated'
    instrumentation.emit('rollout-written', { service: order.service, to: order.to, stage: progress.stage, reason, result })
  }
}

function statusOf (stage: RolloutStage): 'in-progress' | 'completed' | 'rolled-back' {
  return isFinal(stage) ? stage as 'completed' | 'rolled-back' : 'in-progress'
}
