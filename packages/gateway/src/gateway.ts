/**
 * A gateway: its decisions, the tasks that carry them out, and its listeners.
 *
 * @module
 */
import { createServer } from 'node:http2'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { CallContext, IdentitySequence, SeededRandom, getLogger } from '@plumstage/common'
import type { Clock, Instrumentation } from '@plumstage/common'
import { KeySpace } from '@plumstage/platform'
import type { Instance, InstanceList, KeyValueService } from '@plumstage/platform'
import type { Configuration } from '@plumstage/records'
import { DispatchTask } from './admission/dispatchTask.js'
import { Dispatcher } from './admission/dispatcher.js'
import { RequestRegistry } from './attempts/requestRegistry.js'
import { CallReader } from './callers/callReader.js'
import { CallerServer } from './callers/callerServer.js'
import { KeyValueClaimRegistry } from './claims/claimRegistry.js'
import { ConfigurationState } from './configuration/configurationState.js'
import { ConfigurationTask } from './configuration/configurationTask.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { Listener } from './listener.js'
import { MembershipTable } from './membership/membershipTable.js'
import { PeerTask } from './membership/peerTask.js'
import { GatewayMetrics } from './operators/gatewayMetrics.js'
import type { GatewayStatus } from './operators/gatewayStatus.js'
import { OperatorServer } from './operators/operatorServer.js'
import { RouteExplainer } from './operators/routeExplainer.js'
import { ReclaimTask } from './recovery/reclaimTask.js'
import { PrefixIndex } from './routing/prefixIndex.js'
import { ScoreRouter } from './routing/router.js'
import { InstanceListTask } from './upstreams/instanceListTask.js'
import type { UpstreamDeparture } from './upstreams/upstream.js'
import { UpstreamClients } from './upstreams/upstreamClients.js'
import { UpstreamTable } from './upstreams/upstreamTable.js'
import type { UpstreamChange } from './upstreams/upstreamTable.js'
import { keyOfUpstream } from './upstreams/upstream.js'

const RANDOM_SEED_LIMIT = 2 ** 31

/** What a gateway is given from outside. */
export interface GatewayPlatform {
  clock: Clock
  instrumentation: Instrumentation
  keyValueService: KeyValueService
  instanceList?: InstanceList
}

/** A running gateway. */
export class Gateway {
  private readonly _settings: GatewaySettings
  private readonly _platform: GatewayPlatform
  private readonly _context: CallContext
  private readonly _log = getLogger('gateway')
  private readonly _table = UpstreamTable.create()
  private readonly _prefixIndex = PrefixIndex.create()
  private readonly _router: ScoreRouter
  private readonly _registry = RequestRegistry.create()
  private readonly _clients = UpstreamClients.create()
  private readonly _configuration: ConfigurationTask
  private readonly _dispatch: DispatchTask
  private readonly _claims: KeyValueClaimRegistry
  private readonly _reclaims: ReclaimTask
  private readonly _membership: MembershipTable
  private readonly _peers: PeerTask
  private _callers!: Listener
  private _operators!: Listener
  private _peerListener!: Listener
  private _stopping: Promise<void> | undefined

  private constructor (settings: GatewaySettings, platform: GatewayPlatform) {
    const { clock, instrumentation } = platform
    const keySpace = KeySpace.create(settings.deployment)
    this._settings = settings
    this._platform = platform
    this._context = CallContext.create(clock)
    this._router = ScoreRouter.create(settings.failureDomain, this._prefixIndex)
    this._configuration = ConfigurationTask.create(platform.keyValueService, keySpace, clock, ConfigurationState.create(), instrumentation)
    this._dispatch = DispatchTask.create(Dispatcher.create(this._table, this._router, this._prefixIndex, this._configuration.state.configuration), clock)
    this._claims = KeyValueClaimRegistry.create(platform.keyValueService, keySpace, clock, settings.name, IdentitySequence.create('claim', instrumentation.incarnation), instrumentation)
    this._reclaims = ReclaimTask.create(this._registry, clock, instrumentation)
    this._membership = MembershipTable.create({
      name: settings.name,
      address: settings.peerAdvertise ?? settings.peerListen,
      failureDomain: settings.failureDomain,
      incarnation: clock.now(),
      state: 'alive',
      heartbeat: 0,
      configurationRevision: 0
    }, settings.peerSeed)
    this._peers = PeerTask.create({
      clock,
      random: SeededRandom.create(Math.floor(Math.random() * RANDOM_SEED_LIMIT)),
      instrumentation,
      membership: this._membership,
      configuration: this._configuration,
      listDepartures: () => this._table.listDepartures(),
      onDepartures: departures => this._applyDepartures(departures)
    }, { deployment: settings.deployment, token: settings.peerToken ?? instrumentation.incarnation })
  }

  /** Creates a gateway and opens its listeners. */
  static async create (settings: GatewaySettings, platform: GatewayPlatform): Promise<Gateway> {
    const gateway = new Gateway(settings, platform)
    await gateway._listen()
    gateway._run()
    return gateway
  }

  /** Address for callers. */
  get address (): string {
    return this._callers.address
  }

  /** Address for operators. */
  get operatorAddress (): string {
    return this._operators.address
  }

  /** Address for other gateways. */
  get peerAddress (): string {
    return this._peerListener.address
  }

  get status (): GatewayStatus {
    return {
      self: { ...this._membership.self },
      stopping: this._stopping !== undefined,
      keyValueService: { health: this._configuration.health, problem: this._configuration.problem },
      unreadableRecords: this._configuration.state.listUnreadable(),
      members: this._membership.listOthers(this._platform.clock.now()),
      upstreams: this._table.list(),
      requests: { inFlight: this._registry.size, waiting: this._dispatch.waitingCount, running: this._dispatch.runningCount }
    }
  }

  /** Stops without cutting off any request: new connections go elsewhere, what runs ends by itself. */
  async stop (): Promise<void> {
    this._stopping ??= this._stopGracefully()
    await this._stopping
  }

  /** Ends at once, as a process that dies does. */
  async destroy (): Promise<void> {
    this._context.cancel('shutdown')
    this._dispatch.stop()
    await Promise.all([this._callers.destroy(), this._operators.destroy(), this._peerListener.destroy(), this._clients.close()])
  }

  private async _listen (): Promise<void> {
    const { clock, instrumentation } = this._platform
    const currentConfiguration = (): Configuration => this._configuration.state.configuration
    const callers = CallerServer.create({
      services: { clock, instrumentation, dispatch: this._dispatch, clients: this._clients, table: this._table, claims: this._claims },
      registry: this._registry,
      reader: CallReader.create({ clock, maximumBodyBytes: this._settings.maximumBodyBytes, configuration: currentConfiguration }),
      requestIds: IdentitySequence.create('req', instrumentation.incarnation),
      configuration: currentConfiguration,
      stopping: () => this._stopping !== undefined
    })
    const operators = OperatorServer.create({
      token: this._settings.operatorToken ?? instrumentation.incarnation,
      metrics: this._createMetrics(),
      explainer: RouteExplainer.create(currentConfiguration, this._table, this._router, clock),
      status: () => this.status,
      notReadyReason: () => this._findNotReadyReason()
    })
    const peers = createServer(connectNodeAdapter({ routes: router => this._peers.register(router) }))
    this._callers = await Listener.create(callers.createHttpServer(), this._settings.listen)
    this._operators = await Listener.create(operators.createHttpServer(), this._settings.operatorListen)
    this._peerListener = await Listener.create(peers, this._settings.peerListen)
    this._membership.setAddress(this._settings.peerAdvertise ?? this._peerListener.address)
    this._log.info(`Callers: ${this.address}. Operators: ${this.operatorAddress}. Peers: ${this.peerAddress}.`)
  }

  private _run (): void {
    this._configuration.addListener(configuration => this._applyConfiguration(configuration))
    void this._configuration.run(this._context)
    void this._peers.run(this._context)
    if (this._platform.instanceList) void InstanceListTask.create(this._platform.instanceList, this._platform.clock, instances => this._applyInstances(instances)).run(this._context)
    this._platform.instrumentation.emit('gateway-started', { name: this._settings.name, failureDomain: this._settings.failureDomain })
  }

  private _createMetrics (): GatewayMetrics {
    return GatewayMetrics.create({
      waiting: () => this._dispatch.waitingCount,
      running: () => this._dispatch.runningCount,
      configurationRevision: () => this._configuration.state.revision,
      following: () => this._configuration.health === 'following',
      presentMembers: () => this._membership.listPresent(this._platform.clock.now()).length
    }, this._platform.instrumentation)
  }

  private _findNotReadyReason (): string | undefined {
    if (this._stopping) return 'the gateway is stopping'
    return this._configuration.state.revision === 0 ? 'no configuration is in force yet' : undefined
  }

  private _applyConfiguration (configuration: Configuration): void {
    const now = this._platform.clock.now()
    this._actOn(this._table.applyConfiguration(configuration, now))
    this._dispatch.applyConfiguration(configuration, now)
    this._membership.setConfigurationRevision(configuration.revision)
  }

  private _applyInstances (instances: readonly Instance[]): void {
    this._actOn(this._table.applyInstances(instances, this._platform.clock.now()))
    this._dispatch.pump()
  }

  private _applyDepartures (departures: readonly UpstreamDeparture[]): void {
    const now = this._platform.clock.now()
    this._actOn(departures.flatMap(departure => this._table.applyDeparture(departure, now)))
  }

  private _actOn (changes: readonly UpstreamChange[]): void {
    for (const { kind, upstream } of changes) {
      this._platform.instrumentation.emit(`upstream-${kind}`, { service: upstream.service, upstream: upstream.address, incarnation: upstream.incarnation })
      if (kind === 'leaving') this._reclaims.evacuate(upstream)
      if (kind !== 'removed') continue
      this._clients.forget(upstream)
      this._prefixIndex.forgetUpstream(keyOfUpstream(upstream))
    }
  }

  private async _stopGracefully (): Promise<void> {
    this._log.info('The gateway is stopping. Requests in flight are finished first.')
    this._platform.instrumentation.emit('gateway-stopping', { inFlight: this._registry.size })
    this._membership.leave()
    await this._peers.tellNow(this._context)
    await this._context.sleepUntil(this._platform.clock.now() + this._settings.drainDelayMilliseconds)
    const closed = this._callers.closeGracefully()
    await this._registry.waitUntilEmpty()
    await closed
    await this._registry.waitUntilEmpty()
    await this._claims.settle()
    this._platform.instrumentation.emit('gateway-stopped')
    await this.destroy()
    this._log.info('The gateway has stopped.')
  }
}
