/**
 * The roll-outs that one gateway knows from the store, and which upstreams it may use for a request because of them.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'
import type { KeyValueChange, KeyValueEntry } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import { hashName } from '../aggregation/aggregate.js'
import type { NameHash } from '../aggregation/aggregate.js'
import type { DeploymentDecoder } from '../deployment/deploymentDecoder.js'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { StoreKeys } from '../storeKeys.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { RolloutEvidence } from './rolloutEvidence.js'
import type { AnswerOutcome } from './rolloutEvidence.js'
import { judgeVersion } from './rolloutJudge.js'
import type { AnswerCount, RouteEvidence } from './rolloutJudge.js'
import { decodeRolloutProgress, isFinal } from './rolloutOrder.js'
import type { RolloutOrder, RolloutProgress } from './rolloutOrder.js'

/** Share of the requests that goes to a version under observation. */
const OBSERVED_SHARE = 0.05
/** Without following the store for this long, a version under observation gets nothing. */
const MAXIMUM_SILENCE_MILLISECONDS = 3000
const JUDGEMENT_MILLISECONDS = 100
const HASH_RANGE = 2 ** 32
const CHOICE_KEY = 'rollout'

/** A roll-out of one service. */
export interface Rollout {
  order: RolloutOrder
  /** Revision of the order in the store. */
  orderRevision: number
  /** Undefined before the holder of the duty has begun with the order. */
  progress: RolloutProgress | undefined
  /** Revision of the entry that holds the progress; 0 when there is none. */
  progressRevision: number
}

/** A request for which upstreams are selected. */
export interface RolloutRequest {
  service: string
  requestId: string
  /** Whether it has to go on at the version that began it. */
  isBound: boolean
  /** Whether an attempt has failed; the next ones go to the old version. */
  hasFailed: boolean
}

/** What the other gateways have counted, by hash. */
export type AnswersOfOthers = (name: NameHash) => AnswerCount | undefined

/** By what a new version is judged. */
export interface RolloutJudging {
  configuration: Configuration | undefined
  othersOf: AnswersOfOthers
}

/** Keeps the roll-outs and the evidence of one gateway. */
export class RolloutRegistry implements StoreObserver {
  readonly evidence = RolloutEvidence.create()
  private readonly _decoder: DeploymentDecoder
  private readonly _keys: StoreKeys
  private readonly _orders = new Map<string, { order: RolloutOrder, revision: number }>()
  private readonly _progress = new Map<string, { progress: RolloutProgress | undefined, revision: number }>()
  private readonly _judgements = new Map<string, { mayServe: boolean, until: Timestamp }>()
  private readonly _log = getLogger('rollouts')
  /** When the store was last known to be followed. */
  private _followedAt: Timestamp = 0

  private constructor (decoder: DeploymentDecoder, keys: StoreKeys) {
    this._decoder = decoder
    this._keys = keys
  }

  static create (decoder: DeploymentDecoder, keys: StoreKeys): RolloutRegistry {
    return new RolloutRegistry(decoder, keys)
  }

  onSnapshot (entries: readonly KeyValueEntry[]): void {
    this._orders.clear()
    this._progress.clear()
    for (const entry of entries) this._put(entry)
    this._forgetFinished()
  }

  onChanges (changes: readonly KeyValueChange[]): void {
    for (const change of changes) {
      if (change.kind === 'put') this._put(change.entry)
      else this._remove(change.key)
    }
    this._forgetFinished()
  }

  /** Records that the store is being followed now. */
  recordFollowed (now: Timestamp): void {
    this._followedAt = now
  }

  /** Whether operators have ordered any roll-out. */
  get hasOrders (): boolean {
    return this._orders.size > 0
  }

  list (): Rollout[] {
    return [...this._orders.keys()].map(service => this.find(service)!)
  }

  find (service: string): Rollout | undefined {
    const known = this._orders.get(service)
    if (!known) return undefined
    const stored = this._progress.get(service)
    const isOfThisOrder = stored?.progress?.orderRevision === known.revision && stored.progress.to === known.order.to
    return { order: known.order, orderRevision: known.revision, progress: isOfThisOrder ? stored.progress : undefined, progressRevision: stored?.revision ?? 0 }
  }

  /** Whether an order for the service is being carried out, or is about to be. */
  isInProgress (service: string): boolean {
    const rollout = this.find(service)
    return rollout !== undefined && !(rollout.progress && isFinal(rollout.progress.stage))
  }

  /** Returns those of the upstreams that the request may go to. */
  select (request: RolloutRequest, upstreams: readonly Upstream[], judging: RolloutJudging, now: Timestamp): readonly Upstream[] {
    const rollout = this.find(request.service)
    if (!rollout) return upstreams
    const others = upstreams.filter(upstream => !isOfNewVersion(upstream, rollout))
    const stage = rollout.progress?.stage
    if (stage === undefined) return others.length > 0 ? others : upstreams
    if (stage === 'rolled-back') return others
    if (request.isBound) return this._mayServe(rollout, judging, now) ? upstreams : others
    if (stage === 'completed') return withoutOldVersions(upstreams, rollout)
    if (!this._mayServe(rollout, judging, now)) return others
    if (stage === 'moving') return withoutOldVersions(upstreams, rollout)
    const fresh = upstreams.filter(upstream => isOfNewVersion(upstream, rollout))
    const isObserver = !request.hasFailed && rendezvousWeight(CHOICE_KEY, request.requestId) < OBSERVED_SHARE * HASH_RANGE
    return isObserver && fresh.length > 0 ? chooseObserved(fresh, OBSERVED_SHARE * others.length) : others
  }

  /** Counts the answer of an upstream. One that is still warming up answers late whatever its version is. */
  recordAnswer (upstream: Upstream, route: string, outcome: AnswerOutcome, now: Timestamp): void {
    const { service } = upstream.listed
    if (!outcome.failed && upstream.warmUpEndsAt > now) return
    const rollout = this.hasOrders ? this.find(service) : undefined
    const isNew = rollout !== undefined && isOfNewVersion(upstream, rollout)
    if (!outcome.failed && !isNew) this.evidence.recordUsual(route, outcome.milliseconds)
    if (rollout && this.isInProgress(service)) this.evidence.record(orderNameOf(rollout), isNew ? 'new' : 'old', route, outcome)
  }

  /** Returns what all gateways have seen of both versions, by route. */
  listEvidence (rollout: Rollout, { configuration, othersOf }: RolloutJudging): RouteEvidence[] {
    return this.evidence.list(orderNameOf(rollout), configuration?.listRoutesOfService(rollout.order.service).map(({ name }) => name) ?? [], othersOf)
  }

  /** Whether the new version may get requests, by what is known here now. A judgement holds for a moment, so that not every request makes one. */
  private _mayServe (rollout: Rollout, judging: RolloutJudging, now: Timestamp): boolean {
    if (rollout.progress?.stage === 'observing' && now > this._followedAt + MAXIMUM_SILENCE_MILLISECONDS) return false
    const name = orderNameOf(rollout)
    const known = this._judgements.get(name)
    if (known && now < known.until) return known.mayServe
    const mayServe = judgeVersion(this.listEvidence(rollout, judging)) !== 'bad'
    this._judgements.set(name, { mayServe, until: now + JUDGEMENT_MILLISECONDS })
    return mayServe
  }

  private _put ({ key, value, modRevision }: KeyValueEntry): void {
    const service = this._keys.rolloutServiceOf(key)
    if (service !== undefined) return void this._progress.set(service, { progress: decodeRolloutProgress(value), revision: modRevision })
    if (!this._decoder.isRolloutOrder(key)) return
    const order = this._decoder.decodeRolloutOrder(key, value)
    if (order.isErr()) return this._log.error(`${key}: ${order.error.message}`)
    this._orders.set(order.value.service, { order: order.value, revision: modRevision })
  }

  private _remove (key: string): void {
    const service = this._keys.rolloutServiceOf(key)
    if (service !== undefined) this._progress.delete(service)
    else if (this._decoder.isRolloutOrder(key)) this._orders.delete(this._decoder.rolloutServiceOf(key))
  }

  /** Drops the counts when they decide nothing any more, since every report carries them. */
  private _forgetFinished (): void {
    if ([...this._orders.keys()].some(service => this.isInProgress(service))) return
    this.evidence.clear()
    this._judgements.clear()
  }
}

export function isOfNewVersion ({ listed }: Upstream, { order }: Rollout): boolean {
  return listed.softwareVersion === order.to
}

/** Leaves out the versions that the new one replaces, unless nothing else is there. Versions that came later stay. */
function withoutOldVersions (upstreams: readonly Upstream[], { progress }: Rollout): readonly Upstream[] {
  const replacing = upstreams.filter(({ listed }) => !progress?.from.includes(listed.softwareVersion ?? ''))
  return replacing.length > 0 ? replacing : upstreams
}

function orderNameOf ({ order, orderRevision }: Rollout): string {
  return `${order.service}#${orderRevision}`
}

/** Returns so few upstreams of the new version that each is as loaded as those of the old one. */
function chooseObserved (fresh: readonly Upstream[], count: number): readonly Upstream[] {
  const weights = new Map(fresh.map(upstream => [upstream, hashName(upstream.listed.id)]))
  return [...fresh].sort((left, right) => weights.get(right)! - weights.get(left)!).slice(0, Math.max(1, Math.round(count)))
}
