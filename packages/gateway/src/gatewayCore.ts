/**
 * A gateway without its listeners: its decisions and the tasks that execute them. All external dependencies are passed
 * in, so that it runs on sockets and the system clock as well as in a simulation.
 *
 * @module
 */
import { BackgroundTasks, CallContext, IdGenerator } from '@plumstage/common'
import type { Clock, Instrumentation, SeededRandom, Timestamp } from '@plumstage/common'
import { DutyTask, KeySpace } from '@plumstage/coordination'
import type { Instance, InstanceList, KeyValueService } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import { DispatchTask } from './admission/dispatchTask.js'
import { Dispatcher } from './admission/dispatcher.js'
import type { InboundRequest } from './attempts/inboundRequest.js'
import { RequestRegistry } from './attempts/requestRegistry.js'
import { RequestTask } from './attempts/requestTask.js'
import type { RequestServices } from './attempts/requestTask.js'
import { StreamedResponse } from './attempts/streamedResponse.js'
import type { CallerResponse } from './callers/callerResponse.js'
import { KeyValueClaimRegistry } from './claims/claimRegistry.js'
import { ConfigurationState } from './configuration/configurationState.js'
import { ConfigurationTask } from './configuration/configurationTask.js'
import { MembershipTable } from './membership/membershipTable.js'
import type { PeerLink } from './membership/peerLink.js'
import { PeerTask } from './membership/peerTask.js'
import type { GatewayStatus } from './operators/gatewayStatus.js'

import { EngineOrderTask } from './duties/engineOrderTask.js'
import type { EngineOrders } from './duties/engineOrders.js'
import { HandoverTask } from './recovery/handoverTask.js'
import { QuarantineTable } from '@plumstage/serving'
import { ReclaimTask } from './recovery/reclaimTask.js'
import { PrefixIndex } from './routing/prefixIndex.js'
import { ScoreRouter } from './routing/router.js'
import { InstanceListTask } from './upstreams/instanceListTask.js'
import { keyOfUpstream } from './upstreams/upstream.js'
import type { UpstreamDeparture } from './upstreams/upstream.js'
import type { UpstreamClients } from './upstreams/upstreamClients.js'
import { UpstreamTable } from './upstreams/upstreamTable.js'
import type { UpstreamChange } from './upstreams/upstreamTable.js'

/** How long before the reclaim deadline the handover starts. */
const HANDOVER_MARGIN_MILLISECONDS = 1500
const MAXIMUM_DUTY_CANDIDATES = 3

/** Identity of a gateway within its deployment. */
export interface GatewayIdentity {
  name: string
  deployment: string
  failureDomain: string
  /** Address of its peer listener; can be set later, when the listener has been opened. */
  peerAddress: string
  peerSeeds: readonly string[]
  /** Address of this gateway in the instance list; undefined when it is not listed. */
  instanceAddress?: string
}

/** External dependencies of a gateway. */
export interface GatewayEnvironment {
  clock: Clock
  random: SeededRandom
  instrumentation: Instrumentation
  keyValueService: KeyValueService
  instanceList?: InstanceList
  clients: UpstreamClients
  peerLink: PeerLink
  engineOrders: EngineOrders
}

/** Creates the components of a gateway and connects them. */
export class GatewayCore {
  readonly context: CallContext
  /** The tasks of the gateway, which report errors that nothing else handles. */
  readonly tasks: BackgroundTasks
  readonly table = UpstreamTable.create()
  readonly router: ScoreRouter
  readonly membership: MembershipTable
  readonly configuration: ConfigurationTask
  readonly peers: PeerTask
  readonly requests = RequestRegistry.create()
  readonly handovers: HandoverTask
  private readonly _environment: GatewayEnvironment
  private readonly _quarantine = QuarantineTable.create()
  private readonly _prefixIndex = PrefixIndex.create()
  private readonly _dispatch: DispatchTask
  private readonly _claims: KeyValueClaimRegistry
  private readonly _reclaims: ReclaimTask
  private readonly _orderDuty: DutyTask
  private readonly _requestServices: RequestServices
  private readonly _instanceAddress: string | undefined
  private _stopping = false

  private constructor (identity: GatewayIdentity, environment: GatewayEnvironment) {
    const { clock, instrumentation, keyValueService, clients } = environment
    const keySpace = KeySpace.create(identity.deployment)
    this._environment = environment
    this._instanceAddress = identity.instanceAddress
    this.context = CallContext.create(clock)
    this.tasks = BackgroundTasks.create(clock, instrumentation)
    this.router = ScoreRouter.create(identity.failureDomain, this._prefixIndex)
    this.configuration = ConfigurationTask.create(keyValueService, keySpace, clock, ConfigurationState.create(), instrumentation)
    this._dispatch = DispatchTask.create(Dispatcher.create(identity.name, this.table, this.router, this._prefixIndex, this.configuration.state.configuration), clock)
    this._claims = KeyValueClaimRegistry.create(keyValueService, keySpace, clock, identity.name, IdGenerator.create('claim', instrumentation.incarnation), instrumentation)
    this._orderDuty = DutyTask.create(keyValueService, keySpace.dutyKey('engine-orders'), identity.name, () => this._isDutyCandidate, clock, instrumentation)
    this._reclaims = ReclaimTask.create(this.requests, clock, instrumentation)
    this.membership = MembershipTable.create({
      name: identity.name,
      address: identity.peerAddress,
      failureDomain: identity.failureDomain,
      incarnation: clock.now(),
      state: 'alive',
      heartbeat: 0,
      configurationRevision: 0
    }, identity.peerSeeds)
    this.peers = PeerTask.create({
      clock,
      random: environment.random,
      instrumentation,
      link: environment.peerLink,
      membership: this.membership,
      configuration: this.configuration,
      quarantine: this._quarantine,
      listDepartures: () => this.table.listDepartures(),
      onMembershipChanged: () => this._applyMembers(),
      onDepartures: departures => this._applyDepartures(departures)
    })
    this.handovers = HandoverTask.create({
      clock,
      instrumentation,
      link: environment.peerLink,
      membership: this.membership,
      requests: this.requests,
      configuration: () => this.configuration.state.configuration,
      accept: (request, response, streamedResponse) => this.accept(request, response, streamedResponse)
    })
    this._requestServices = { clock, instrumentation, dispatch: this._dispatch, clients, table: this.table, claims: this._claims, quarantine: this._quarantine, reportToPeers: async () => await this.peers.exchangeWithAll(this.context) }
  }

  static create (identity: GatewayIdentity, environment: GatewayEnvironment): GatewayCore {
    return new GatewayCore(identity, environment)
  }

  get stopping (): boolean {
    return this._stopping
  }

  get waitingCount (): number {
    return this._dispatch.waitingCount
  }

  get runningCount (): number {
    return this._dispatch.runningCount
  }

  /** Why the gateway does not accept requests now; undefined if it does. */
  get notReadyReason (): string | undefined {
    if (this._stopping) return 'the gateway is stopping'
    return this.configuration.state.revision === 0 ? 'no configuration is in force yet' : undefined
  }

  get status (): GatewayStatus {
    return {
      self: { ...this.membership.self },
      stopping: this._stopping,
      keyValueService: { health: this.configuration.health, problem: this.configuration.problem },
      unreadableRecords: this.configuration.state.listUnreadable(),
      members: this.membership.listPeers(this._environment.clock.now()),
      upstreams: this.table.list(),
      suspicions: this._quarantine.list(this._environment.clock.now()),
      requests: { inFlight: this.requests.size, waiting: this.waitingCount, running: this.runningCount }
    }
  }

  /** Starts the tasks. */
  run (): void {
    const { clock, instanceList, instrumentation } = this._environment
    this.configuration.addListener(configuration => this._applyConfiguration(configuration))
    this._startTask('configuration', this.configuration)
    this._startTask('peers', this.peers)
    if (instanceList) this._startTask('instance-list', InstanceListTask.create(instanceList, clock, instances => this._applyInstances(instances)))
    this._runDuties()
    const { name, failureDomain } = this.membership.self
    instrumentation.emit('gateway-started', { name, failureDomain })
  }

  /**
   * Whether this gateway is a candidate for duties: it is if fewer than `MAXIMUM_DUTY_CANDIDATES` gateways that are
   * present and not suspect precede it by name. When one of them leaves, the next one takes its place.
   */
  private get _isDutyCandidate (): boolean {
    const { self } = this.membership
    const preceding = this.membership.listPresent(this._environment.clock.now()).filter(known => !known.suspect && known.member.name < self.name)
    return preceding.length < MAXIMUM_DUTY_CANDIDATES
  }

  private _startTask (name: string, task: { run: (context: CallContext) => Promise<void> }): void {
    this.tasks.start(name, this.context, async context => await task.run(context))
  }

  private _runDuties (): void {
    const { clock, instrumentation, engineOrders } = this._environment
    const configuration = (): Configuration => this.configuration.state.configuration
    this._startTask('order-duty', this._orderDuty)
    this._startTask('engine-orders', EngineOrderTask.create({ clock, instrumentation, duty: this._orderDuty, orders: engineOrders, table: this.table, configuration }))
  }

  /** Starts to process a validated request. */
  accept (request: InboundRequest, response: CallerResponse, streamedResponse: StreamedResponse = StreamedResponse.create()): RequestTask {
    const task = RequestTask.create(this._requestServices, request, response, streamedResponse, ended => this.requests.remove(ended))
    this.requests.add(task)
    task.start()
    return task
  }

  /** Announces to operators, load balancers and peers that this gateway is leaving. */
  async announceStop (): Promise<void> {
    this._stopping = true
    this._environment.instrumentation.emit('gateway-stopping', { inFlight: this.requests.size })
    this.membership.leave()
    await this.peers.runRound(this.context)
  }

  /** Resolves when every accepted request has ended and every claim has been written. */
  async finishRequests (): Promise<void> {
    await this.requests.waitUntilEmpty()
    await this._claims.flush()
  }

  /** Stops all tasks. */
  async destroy (): Promise<void> {
    this.context.cancel('shutdown')
    this._dispatch.stop()
    this._environment.peerLink.close()
    await this._environment.clients.close()
  }

  private _applyConfiguration (configuration: Configuration): void {
    const now = this._environment.clock.now()
    this._applyUpstreamChanges(this.table.applyConfiguration(configuration, now))
    this._dispatch.applyConfiguration(configuration, now)
    this.membership.setConfigurationRevision(configuration.revision)
  }

  /** Prepares for the reclaim of this gateway's instance: requests that can't end in time are handed over to peers. */
  private async _prepareForReclaim (deadline: Timestamp): Promise<void> {
    await this.announceStop()
    await this.context.sleepUntil(deadline - HANDOVER_MARGIN_MILLISECONDS)
    await this.handovers.handOverAll(this.context)
  }

  private _applyInstances (instances: readonly Instance[]): void {
    const localInstance = instances.find(instance => instance.address === this._instanceAddress)
    if (localInstance?.state === 'leaving' && !this._stopping) this.tasks.watch('reclaim', this._prepareForReclaim(localInstance.deadline ?? this._environment.clock.now()))
    this._applyUpstreamChanges(this.table.applyInstances(instances, this._environment.clock.now()))
    this._dispatch.dispatchWaiting()
  }

  private _applyMembers (): void {
    const present = this.membership.listPresent(this._environment.clock.now()).map(known => known.member.name)
    this._dispatch.applyGateways([this.membership.self.name, ...present])
  }

  private _applyDepartures (departures: readonly UpstreamDeparture[]): void {
    const now = this._environment.clock.now()
    this._applyUpstreamChanges(departures.flatMap(departure => this.table.applyDeparture(departure, now)))
  }

  private _applyUpstreamChanges (changes: readonly UpstreamChange[]): void {
    for (const { kind, upstream } of changes) {
      this._environment.instrumentation.emit(`upstream-${kind}`, { service: upstream.service, upstream: upstream.address, incarnation: upstream.incarnation })
      if (kind === 'leaving') this._reclaims.migrateRequests(upstream)
      if (kind !== 'removed') continue
      this._environment.clients.forget(upstream)
      this._prefixIndex.forgetUpstream(keyOfUpstream(upstream))
    }
  }
}
