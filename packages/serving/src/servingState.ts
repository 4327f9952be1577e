/**
 * The state of a gateway and the policies that decide about its requests.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import type { ServiceRecord } from '@plumstage/records'
import { OverloadGuard } from './admission/overloadGuard.js'
import { RetryBudget } from './admission/retryBudget.js'
import type { RetryBound } from './admission/retryBudget.js'
import { hashName } from './aggregation/aggregate.js'
import { ResponseMemory } from './attempts/responseMemory.js'
import { ServiceCapacities } from './capacity/serviceCapacities.js'
import type { DecisionBasis } from './deployment/decisionBasis.js'
import type { DeploymentDecoder } from './deployment/deploymentDecoder.js'
import { DeploymentView } from './deployment/deploymentView.js'
import { StoreContact } from './deployment/storeContact.js'
import { DemandMeter } from './fleet/demandMeter.js'
import type { Demand } from './fleet/demandMeter.js'
import { ReturnSchedule } from './limits/returnSchedule.js'
import { UpstreamLimits } from './limits/upstreamLimits.js'
import { GatewayRanking } from './peers/gatewayRanking.js'
import { PeerTable } from './peers/peerTable.js'
import { WorkspaceQuotas } from './quotas/workspaceQuotas.js'
import { PartQuarantine } from './recovery/partQuarantine.js'
import { RequestQuarantine } from './recovery/requestQuarantine.js'
import { GenerationRouter } from './routing/generationRouter.js'
import { PlainRouter } from './routing/plainRouter.js'
import type { Router } from './routing/router.js'
import { PrefixCacheIndex } from './routing/prefixCacheIndex.js'
import type { AnswerCount } from './rollouts/rolloutJudge.js'
import { RolloutRegistry } from './rollouts/rolloutRegistry.js'
import type { RolloutJudging } from './rollouts/rolloutRegistry.js'
import type { ServingSettings } from './servingSettings.js'
import { StoreKeys } from './storeKeys.js'
import type { SoftwareId } from './streams/software.js'
import { UpstreamTable } from './upstreams/upstreamTable.js'
import type { Upstream } from './upstreams/upstreamTable.js'
import { UsageLedger } from './usage/usageLedger.js'

/** Largest random number that identifies a run of the gateway. */
const MAXIMUM_ORIGIN = 2 ** 31 - 1

/** Owns the state and the policies that all requests of one gateway share. */
export class ServingState {
  readonly view: DeploymentView
  readonly storeContact = StoreContact.create()
  readonly upstreams = UpstreamTable.create()
  readonly peers: PeerTable
  readonly limits: UpstreamLimits
  readonly quotas: WorkspaceQuotas
  readonly usage: UsageLedger
  readonly rollouts: RolloutRegistry
  readonly demand = DemandMeter.create()
  /** Memory of responses that are held until they, or an event of theirs, are complete. */
  readonly responseMemory = ResponseMemory.create()
  /** Requests that crash upstreams. */
  readonly requestQuarantine: RequestQuarantine
  /** Parts of prompts that crash upstreams. */
  readonly partQuarantine: PartQuarantine
  readonly prefixCache: PrefixCacheIndex
  readonly overload: OverloadGuard
  readonly capacities: ServiceCapacities
  private readonly _random: SeededRandom
  private readonly _retryBudgets = new Map<string, RetryBudget>()
  private readonly _returnSchedules = new Map<string, ReturnSchedule>()
  private _retryBound: RetryBound
  private readonly _plainRouter: Router
  private readonly _generationRouter: Router

  private constructor (settings: ServingSettings, decoder: DeploymentDecoder, random: SeededRandom) {
    this.view = DeploymentView.create(decoder)
    this.peers = PeerTable.create({ address: settings.peerAddress, processorCores: settings.processorCores, aggregates: true })
    const ranking = GatewayRanking.create(this.peers)
    this.requestQuarantine = RequestQuarantine.create(digest => ranking.rankFor(digest))
    this.partQuarantine = PartQuarantine.create(part => ranking.rankFor(String(part)))
    this.limits = UpstreamLimits.create(this.peers, random.nextInteger(1, MAXIMUM_ORIGIN))
    this.quotas = WorkspaceQuotas.create(settings.quotaTolerance)
    this.capacities = ServiceCapacities.create(this.peers)
    this.rollouts = RolloutRegistry.create(decoder, StoreKeys.create())
    this.usage = UsageLedger.create(settings.usageWindowMilliseconds)
    this.prefixCache = PrefixCacheIndex.create(settings.prefixReuseMilliseconds)
    this._retryBound = settings.retryBound
    this._random = random
    this.overload = OverloadGuard.create(random)
    this._plainRouter = PlainRouter.create(settings.failureDomain, random)
    this._generationRouter = GenerationRouter.create(settings.failureDomain, this.prefixCache)
  }

  static create (settings: ServingSettings, decoder: DeploymentDecoder, random: SeededRandom): ServingState {
    return new ServingState(settings, decoder, random)
  }

  /** Applies changed settings without a restart. */
  applySettings (settings: ServingSettings): void {
    this._retryBound = settings.retryBound
    this.quotas.tolerance = settings.quotaTolerance
    this.prefixCache.retentionMilliseconds = settings.prefixReuseMilliseconds
  }

  /** What this gateway knows by which it decides requests now. */
  decisionBasis (now: Timestamp): DecisionBasis {
    const { heardAt, position } = this.storeContact
    const storeSilentMilliseconds = heardAt === undefined ? undefined : Math.round(now - heardAt)
    return { configuration: this.view.configurationPosition, store: position, storeSilentMilliseconds, peers: this.peers.newestConfiguration }
  }

  /** Returns the router for generations if the service runs model engines, otherwise the one for plain services. */
  routerOf (service: ServiceRecord | undefined): Router {
    return service?.type === 'model-engine' ? this._generationRouter : this._plainRouter
  }

  /** The upstreams of the services that are configured; no requests go to others. */
  listConfiguredUpstreams (): Upstream[] {
    const { configuration } = this.view
    return this.upstreams.list().filter(({ listed }) => configuration?.services.has(listed.service) === true)
  }

  /**
   * Upstreams of a service to which this gateway may send a request now; only those that run `software`, if it is set,
   * and that `accepts` selects.
   */
  listUsable (service: string, software: SoftwareId | undefined, now: Timestamp, accepts: (upstream: Upstream) => boolean = () => true): readonly Upstream[] {
    return this.upstreams.listAvailable(service, now, upstream => runs(upstream, software) && accepts(upstream) && this.limits.hasRoom(upstream, now))
  }

  /** Whether upstreams of a service, and of `software` if it is set, are available but state limits that leave no room. */
  isLimited (service: string, software: SoftwareId | undefined, now: Timestamp): boolean {
    return this.upstreams.listAvailable(service, now, upstream => runs(upstream, software)).length > 0 && this.listUsable(service, software, now).length === 0
  }

  /** When the first upstream of a service, and of `software` if it is set, wants requests again; undefined unless all have asked to wait. */
  nextRetryAt (service: string, software: SoftwareId | undefined, now: Timestamp): Timestamp | undefined {
    return this.upstreams.nextRetryAt(service, now, upstream => runs(upstream, software))
  }

  /** Chooses when a caller that was rejected for the limits of upstreams may return; the delay in milliseconds. */
  bookReturn (service: string, software: SoftwareId | undefined, now: Timestamp): number {
    const schedule = this._returnSchedules.get(service) ?? ReturnSchedule.create(this._random)
    this._returnSchedules.set(service, schedule)
    const accepted = this.upstreams.listAvailable(service, now, upstream => runs(upstream, software)).reduce((sum, { limit }) => sum + (limit.requestsPerSecond ?? 0), 0)
    return schedule.book(accepted, this.peers.countPresent(now), now)
  }

  /**
   * Estimates the time until the least loaded upstream of a service starts the prefill of another prompt, in
   * milliseconds; 0 when no upstream is usable.
   */
  expectedWaitMilliseconds (service: string, software: SoftwareId | undefined, now: Timestamp): number {
    const usable = this.listUsable(service, software, now)
    if (usable.length === 0) return 0
    return Math.min(...usable.map(upstream => upstream.waitingTokens)) / this.capacities.capacityOf(service, now).tokensPerMillisecond
  }

  /** Demand for a service at all gateways. */
  demandOf (service: string, now: Timestamp): Demand {
    const total = { ...this.demand.demandOf(service, now) }
    const totals = this.peers.currentTotals(now)
    if (totals) return addDemand(total, totals.others.demands.get(hashName(service)))
    for (const { report } of this.peers.listPresent(now)) addDemand(total, report.demands.find(demand => demand.service === service))
    return total
  }

  /** By what the new versions of roll-outs are judged: the routes in force, and the answers that other gateways report. */
  rolloutJudging (now: Timestamp): RolloutJudging {
    const totals = this.peers.currentTotals(now)
    const present = totals ? [] : this.peers.listPresent(now)
    const sumReported = (name: number): AnswerCount => {
      const reported = present.flatMap(({ report }) => report.answers?.filter(answer => answer.name === name) ?? [])
      return reported.reduce((sum, { answers, bad }) => ({ answers: sum.answers + answers, bad: sum.bad + bad }), { answers: 0, bad: 0 })
    }
    return { configuration: this.view.configuration, othersOf: name => totals ? totals.others.answers.get(name) : sumReported(name) }
  }

  /** Whether peers should receive a report before the regular interval ends. */
  get isReportUrgent (): boolean {
    return this.quotas.isReportUrgent || this.limits.isReportUrgent || this.partQuarantine.isReportUrgent || this.requestQuarantine.isReportUrgent
  }

  /** Counts a request in the retry budget of its service. */
  recordRequest (service: string, now: Timestamp): void {
    this._budgetOf(service).recordRequest(this._retryBound, now)
  }

  /** Takes one retry from the budget of a service; returns whether there was one. */
  tryTakeRetry (service: string, now: Timestamp): boolean {
    return this._budgetOf(service).tryTake(this._retryBound, this.peers.countPresent(now), now)
  }

  private _budgetOf (service: string): RetryBudget {
    let budget = this._retryBudgets.get(service)
    if (!budget) {
      budget = RetryBudget.create()
      this._retryBudgets.set(service, budget)
    }
    return budget
  }
}

function runs (upstream: Upstream, software: SoftwareId | undefined): boolean {
  return software === undefined || upstream.software === software
}

function addDemand (total: Demand, demand: Demand | undefined): Demand {
  total.promptTokensPerSecond += demand?.promptTokensPerSecond ?? 0
  total.outputTokensPerSecond += demand?.outputTokensPerSecond ?? 0
  return total
}
