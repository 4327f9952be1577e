/**
 * A gateway without its listeners: the decisions and the tasks that carry them out. Everything it reaches is handed
 * in, so that it runs over sockets and the system clock as well as on a test bench.
 *
 * @module
 */
import { CallContext, IdentitySequence } from '@plumstage/common'
import type { Clock, Instrumentation, SeededRandom } from '@plumstage/common'
import { KeySpace } from '@plumstage/platform'
import type { Instance, InstanceList, KeyValueService } from '@plumstage/platform'
import type { Configuration } from '@plumstage/records'
import { DispatchTask } from './admission/dispatchTask.js'
import { Dispatcher } from './admission/dispatcher.js'
import type { InboundCall } from './attempts/inboundCall.js'
import { RequestRegistry } from './attempts/requestRegistry.js'
import { RequestTask } from './attempts/requestTask.js'
import type { RequestServices } from './attempts/requestTask.js'
import type { CallerResponse } from './callers/callerResponse.js'
import { KeyValueClaimRegistry } from './claims/claimRegistry.js'
import { ConfigurationState } from './configuration/configurationState.js'
import { ConfigurationTask } from './configuration/configurationTask.js'
import { MembershipTable } from './membership/membershipTable.js'
import type { PeerLink } from './membership/peerLink.js'
import { PeerTask } from './membership/peerTask.js'
import type { GatewayStatus } from './operators/gatewayStatus.js'
import { ReclaimTask } from './recovery/reclaimTask.js'
import { PrefixIndex } from './routing/prefixIndex.js'
import { ScoreRouter } from './routing/router.js'
import { InstanceListTask } from './upstreams/instanceListTask.js'
import { keyOfUpstream } from './upstreams/upstream.js'
import type { UpstreamDeparture } from './upstreams/upstream.js'
import type { UpstreamClients } from './upstreams/upstreamClients.js'
import { UpstreamTable } from './upstreams/upstreamTable.js'
import type { UpstreamChange } from './upstreams/upstreamTable.js'

/** Who a gateway is. */
export interface GatewayIdentity {
  name: string
  deployment: string
  failureDomain: string
  /** Address of its peer listener; it may be set later. */
  peerAddress: string
  peerSeeds: readonly string[]
}

/** What a gateway reaches. */
export interface GatewayEnvironment {
  clock: Clock
  random: SeededRandom
  instrumentation: Instrumentation
  keyValueService: KeyValueService
  instanceList?: InstanceList
  clients: UpstreamClients
  peerLink: PeerLink
}

/** The working parts of a gateway. */
export class GatewayCore {
  readonly context: CallContext
  readonly table = UpstreamTable.create()
  readonly router: ScoreRouter
  readonly membership: MembershipTable
  readonly configuration: ConfigurationTask
  readonly peers: PeerTask
  readonly requests = RequestRegistry.create()
  private readonly _environment: GatewayEnvironment
  private readonly _prefixIndex = PrefixIndex.create()
  private readonly _dispatch: DispatchTask
  private readonly _claims: KeyValueClaimRegistry
  private readonly _reclaims: ReclaimTask
  private readonly _requestServices: RequestServices
  private _stopping = false

  private constructor (identity: GatewayIdentity, environment: GatewayEnvironment) {
    const { clock, instrumentation, keyValueService, clients } = environment
    const keySpace = KeySpace.create(identity.deployment)
    this._environment = environment
    this.context = CallContext.create(clock)
    this.router = ScoreRouter.create(identity.failureDomain, this._prefixIndex)
    this.configuration = ConfigurationTask.create(keyValueService, keySpace, clock, ConfigurationState.create(), instrumentation)
    this._dispatch = DispatchTask.create(Dispatcher.create(this.table, this.router, this._prefixIndex, this.configuration.state.configuration), clock)
    this._claims = KeyValueClaimRegistry.create(keyValueService, keySpace, clock, identity.name, IdentitySequence.create('claim', instrumentation.incarnation), instrumentation)
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
      listDepartures: () => this.table.listDepartures(),
      onDepartures: departures => this._applyDepartures(departures)
    })
    this._requestServices = { clock, instrumentation, dispatch: this._dispatch, clients, table: this.table, claims: this._claims }
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

  /** Why the gateway does not take calls now; undefined when it does. */
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
      members: this.membership.listOthers(this._environment.clock.now()),
      upstreams: this.table.list(),
      requests: { inFlight: this.requests.size, waiting: this.waitingCount, running: this.runningCount }
    }
  }

  /** Starts the tasks. */
  run (): void {
    const { clock, instanceList, instrumentation } = this._environment
    this.configuration.addListener(configuration => this._applyConfiguration(configuration))
    void this.configuration.run(this.context)
    void this.peers.run(this.context)
    if (instanceList) void InstanceListTask.create(instanceList, clock, instances => this._applyInstances(instances)).run(this.context)
    const { name, failureDomain } = this.membership.self
    instrumentation.emit('gateway-started', { name, failureDomain })
  }

  /** Takes a checked call into service. */
  accept (call: InboundCall, response: CallerResponse): void {
    const task = RequestTask.create(this._requestServices, call, response, ended => this.requests.remove(ended))
    this.requests.add(task)
    task.start()
  }

  /** Says to operators, balancers and peers that this gateway is leaving. */
  async announceStop (): Promise<void> {
    this._stopping = true
    this._environment.instrumentation.emit('gateway-stopping', { inFlight: this.requests.size })
    this.membership.leave()
    await this.peers.tellSome(this.context)
  }

  /** Resolves when every accepted request has ended and every claim is written. */
  async finishRequests (): Promise<void> {
    await this.requests.waitUntilEmpty()
    await this._claims.settle()
  }

  /** Ends all tasks. */
  async destroy (): Promise<void> {
    this.context.cancel('shutdown')
    this._dispatch.stop()
    await this._environment.clients.close()
  }

  private _applyConfiguration (configuration: Configuration): void {
    const now = this._environment.clock.now()
    this._actOn(this.table.applyConfiguration(configuration, now))
    this._dispatch.applyConfiguration(configuration, now)
    this.membership.setConfigurationRevision(configuration.revision)
  }

  private _applyInstances (instances: readonly Instance[]): void {
    this._actOn(this.table.applyInstances(instances, this._environment.clock.now()))
    this._dispatch.pump()
  }

  private _applyDepartures (departures: readonly UpstreamDeparture[]): void {
    const now = this._environment.clock.now()
    this._actOn(departures.flatMap(departure => this.table.applyDeparture(departure, now)))
  }

  private _actOn (changes: readonly UpstreamChange[]): void {
    for (const { kind, upstream } of changes) {
      this._environment.instrumentation.emit(`upstream-${kind}`, { service: upstream.service, upstream: upstream.address, incarnation: upstream.incarnation })
      if (kind === 'leaving') this._reclaims.evacuate(upstream)
      if (kind !== 'removed') continue
      this._environment.clients.forget(upstream)
      this._prefixIndex.forgetUpstream(keyOfUpstream(upstream))
    }
  }
}
