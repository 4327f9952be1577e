/**
 * A serving gateway: creates its state, background tasks and listeners, connects them, and shuts them down.
 *
 * @module
 */
import { BackgroundTasks, CallContext, GuardedClock, Listener, TimeOfDayMonitor } from '@plumstage/common'
import type { Clock, ConnectionResets, Instrumentation, SeededRandom, Timestamp } from '@plumstage/common'
import { DutyTask } from '@plumstage/coordination'
import type { KeyValueService } from '@plumstage/coordination'
import { RunningRequests } from './attempts/runningRequests.js'
import { StreamMigration } from './attempts/streamMigration.js'
import type { UpstreamProtocol } from './attempts/upstreamProtocol.js'
import type { CallerProtocol } from './callers/callerProtocol.js'
import { CallerServer } from './callers/callerServer.js'
import { PauseMonitor } from './callers/pauseMonitor.js'
import { createReadinessServer } from './callers/readinessServer.js'
import { RequestAdmission } from './callers/requestAdmission.js'
import type { DeploymentDecoder } from './deployment/deploymentDecoder.js'
import { AppliedPosition } from './deployment/appliedPosition.js'
import { DeploymentChanges } from './deploymentChanges.js'
import { DeploymentSelection } from './deployment/deploymentSelection.js'
import { DeploymentTask } from './deployment/deploymentTask.js'
import type { Cloud } from './duties/cloud.js'
import { CloudDuties } from './duties/cloudDuties.js'
import { dutyLeaseTimingOf } from './duties/dutyLeaseTiming.js'
import { UpstreamAccess } from './links/upstreamAccess.js'
import { GatewayRegistry } from './peers/gatewayRegistry.js'
import { InternalListeners } from './observability/internalListeners.js'
import { createMetricSources } from './observability/servingMetricSources.js'
import { LostHistoryCheck } from './peers/lostHistoryCheck.js'
import { MembershipTask } from './peers/membershipTask.js'
import { PeerSocket } from './peers/peerSocket.js'
import { PeerExchange } from './peers/peerExchange.js'
import { formatPart } from './recovery/promptPart.js'
import type { ServingSettings } from './servingSettings.js'
import { ServingState } from './servingState.js'
import { GatewayStop } from './stopping/gatewayStop.js'
import { RequestDurations } from './stopping/requestDurations.js'
import { StoreKeys } from './storeKeys.js'
import { StreamTracking } from './streams/streamTracking.js'

/** External dependencies of a serving gateway. */
export interface ServingEnvironment {
  clock: Clock
  /** Clock for leases; it never measures less time than has actually passed. */
  leaseClock: Clock
  timeOfDay: () => Timestamp
  random: SeededRandom
  instrumentation: Instrumentation
  store: KeyValueService
  decoder: DeploymentDecoder
  callerProtocol: CallerProtocol
  upstreamProtocol: UpstreamProtocol
  /** Undefined when the gateway neither orders upstreams nor reports usage. */
  cloud?: Cloud
  /** Counts the connections that this gateway resets. */
  connectionResets: ConnectionResets
  /** Address for metrics; undefined when metrics are not served. */
  metricsAddress?: string
  /** Number of log lines that were dropped because the reader of the log was too slow. */
  droppedLogLines: () => number
}

/** A running gateway. */
export class ServingGateway {
  readonly state: ServingState
  /** The tasks of the gateway, which report errors that nothing else handles. */
  readonly tasks: BackgroundTasks
  private _settings: ServingSettings
  private readonly _environment: ServingEnvironment
  private readonly _context: CallContext
  private readonly _running = RunningRequests.create()
  private readonly _durations = RequestDurations.create()
  private readonly _pauses: PauseMonitor
  private readonly _access: UpstreamAccess
  private readonly _keys: StoreKeys
  private readonly _duty: DutyTask
  private readonly _deploymentTask: DeploymentTask
  private readonly _changes: DeploymentChanges
  private readonly _callerServer: CallerServer
  private readonly _migration: StreamMigration
  private readonly _listeners: Listener[] = []
  private readonly _peerExchange: PeerExchange
  private readonly _socket: PeerSocket
  private readonly _applied = AppliedPosition.create()
  private readonly _streams: StreamTracking
  /** Undefined when the gateway does not call the cloud. */
  private readonly _duties: CloudDuties | undefined
  private readonly _internalListeners: InternalListeners
  private readonly _registry: GatewayRegistry
  private readonly _stop: GatewayStop
  /** Resolves when the graceful shutdown has ended; undefined until it begins. */
  private _stopped: Promise<void> | undefined

  private constructor (settings: ServingSettings, environment: ServingEnvironment, tasks: BackgroundTasks, socket: PeerSocket) {
    this.tasks = tasks
    const { clock, leaseClock, instrumentation, store, connectionResets } = environment
    this._socket = socket
    this._settings = settings
    this._environment = environment
    this._context = CallContext.create(clock)
    this._migration = StreamMigration.create(this._running, clock)
    this._stop = this._createStop()
    this.state = ServingState.create(settings, environment.decoder, environment.random)
    this.state.limits.onChange(({ listed, limit }, source) => instrumentation.emit('upstream-limit-changed', { upstream: listed.id, service: listed.service, requestsPerSecond: limit.requestsPerSecond, source }))
    this.state.partQuarantine.onChange((part, change, crashes) => instrumentation.emit(`prompt-part-${change}`, { part: formatPart(part), crashes }))
    this.state.requestQuarantine.onChange((digest, change, crashes) => instrumentation.emit(`request-digest-${change}`, { digest, crashes }))
    this._keys = StoreKeys.create()
    this._registry = GatewayRegistry.create(this._keys, this.state.peers, clock)
    this._pauses = PauseMonitor.create(leaseClock)
    this._access = UpstreamAccess.create({ state: this.state, peerAddress: settings.peerAddress, failureDomain: settings.failureDomain, contactMilliseconds: settings.contactMilliseconds, isStopping: () => this._stop.isStopping, clock, instrumentation, tasks, connectionResets, reconsiderPaths: () => this._reconsiderPaths() })
    this._duty = DutyTask.create(store, this._keys.dutyKey, settings.name, () => this._seeksDuty(), leaseClock, instrumentation, dutyLeaseTimingOf(settings.dutyLeaseMilliseconds))
    this._streams = this._createStreams()
    this._duties = this._createDuties()
    this._changes = this._createChanges()
    this._peerExchange = this._createPeerExchange()
    this._deploymentTask = this._createDeploymentTask()
    this._callerServer = this._createCallerServer()
    this._internalListeners = this._createInternalListeners()
  }

  /** Opens the listeners and starts the tasks. Rejects with a `ListenError`, without anything left open, if one can't be opened. */
  static async create (settings: ServingSettings, environment: ServingEnvironment): Promise<ServingGateway> {
    const tasks = BackgroundTasks.create(environment.clock, environment.instrumentation)
    const guarded = { ...environment, clock: GuardedClock.create(environment.clock, tasks) }
    const gateway = new ServingGateway(settings, guarded, tasks, await PeerSocket.create(settings.peerAddress, tasks, environment.clock))
    await gateway._listen().catch(async (error: unknown) => {
      await gateway.destroy()
      throw error
    })
    gateway._startTasks()
    return gateway
  }

  /** Address for callers. */
  get callerAddress (): string {
    return this._listeners.at(-1)!.address
  }

  /** Whether the gateway accepts new connections, as reported to readiness checks. */
  get isReady (): boolean {
    return !this._stop.isStopping && this.state.view.configuration !== undefined
  }

  /**
   * Applies changed settings: the retry limit, the prefix reuse time, the usage delay, the grace period and the peer
   * seeds. All other settings, such as the name, the addresses and the lease of the cloud duty, take effect at the next
   * start.
   */
  applySettings (settings: ServingSettings): void {
    const { name, failureDomain, callerAddress, readinessAddress, peerAddress, addresses, dutyLeaseMilliseconds } = this._settings
    this._settings = { ...settings, name, failureDomain, callerAddress, readinessAddress, peerAddress, addresses, dutyLeaseMilliseconds }
    this.state.applySettings(this._settings)
    for (const seed of settings.peerSeeds) this.state.peers.addKnownAddress(seed, this._environment.clock.now())
  }

  /** Shuts down gracefully: readiness checks fail, then no new connections are accepted, and running requests may finish. Another call waits for the same shutdown. */
  async stop (): Promise<void> {
    this._stopped ??= this._stop.run().then(async () => await this.destroy())
    await this._stopped
  }

  /** Cancels all tasks and closes the listeners and connections immediately. */
  async destroy (): Promise<void> {
    this._context.cancel('shutdown')
    this._socket.close()
    this._migration.cancel()
    await Promise.all([this._internalListeners.destroy(), ...this._listeners.map(async listener => await listener.destroy()), this._access.close()])
  }

  /** The listener for callers comes last: a gateway that can't open the others accepts no caller. */
  private async _listen (): Promise<void> {
    const { callerProtocol } = this._environment
    this._listeners.push(await Listener.create(createReadinessServer(callerProtocol.readinessPath, () => this.isReady), this._settings.readinessAddress))
    this._listeners.push(await Listener.create(this._callerServer.server, this._settings.callerAddress))
  }

  private _createStop (): GatewayStop {
    const { clock, instrumentation } = this._environment
    return GatewayStop.create({
      running: this._running,
      durations: this._durations,
      callerServer: () => this._callerServer,
      tunnels: () => this._access.tunnels,
      graceMilliseconds: () => this._settings.graceMilliseconds,
      announce: () => this._peerExchange.announceStop(this._access.tunnels.openTunnels > 0),
      context: this._context,
      clock,
      instrumentation
    })
  }

  private _createStreams (): StreamTracking {
    const { store, decoder, clock, instrumentation } = this._environment
    return StreamTracking.create({
      store,
      keys: this._keys,
      decoder,
      view: this.state.view,
      peers: this.state.peers,
      socket: this._socket,
      applied: this._applied,
      isFollowingStore: () => this._deploymentTask.isFollowingStore,
      isFirstStart: this._settings.isFirstStart,
      context: this._context,
      clock,
      instrumentation
    })
  }

  private _createInternalListeners (): InternalListeners {
    const { clock, instrumentation, metricsAddress, droppedLogLines, connectionResets } = this._environment
    const metrics = createMetricSources({ state: this.state, running: this._running, access: this._access, streams: this._streams, deployment: this._deploymentTask, socket: this._socket, peerExchange: this._peerExchange, connectionResets, droppedLogLines, clock })
    return InternalListeners.create({ peerAddress: this._settings.peerAddress, metricsAddress, view: this.state.view, tunnels: this._access.tunnels, metrics, clock, instrumentation })
  }

  private _createDeploymentTask (): DeploymentTask {
    const { store, decoder, clock, random, instrumentation } = this._environment
    return DeploymentTask.create({
      store,
      view: this.state.view,
      clock,
      random,
      instrumentation,
      tasks: this.tasks,
      applied: this._applied,
      contact: this.state.storeContact,
      createSelection: () => DeploymentSelection.create(decoder, this._keys),
      countGateways: () => this.state.peers.listRegistrations().length,
      observers: [this._registry, this._streams.observer, this.state.rollouts, ...this._duties?.observers ?? []],
      onChange: change => this._changes.apply(change)
    })
  }

  private _createChanges (): DeploymentChanges {
    const { clock, instrumentation } = this._environment
    return DeploymentChanges.create({
      state: this.state,
      streams: this._streams,
      access: this._access,
      migration: this._migration,
      isFollowingStore: () => this._deploymentTask.isFollowingStore,
      onConfiguration: () => this._callerServer.applyConfiguration(),
      clock,
      instrumentation
    })
  }

  private _createDuties (): CloudDuties | undefined {
    const { store, cloud, clock, instrumentation, timeOfDay } = this._environment
    if (!cloud) return undefined
    return CloudDuties.create({ duty: this._duty, cloud, store, keys: this._keys, decoder: this._environment.decoder, state: this.state, settings: this._settings, usageDelayMilliseconds: () => this._settings.usageDelayMilliseconds, clock, timeOfDay, instrumentation, tasks: this.tasks })
  }

  private _createCallerServer (): CallerServer {
    const { clock, timeOfDay, instrumentation, upstreamProtocol, callerProtocol } = this._environment
    return CallerServer.create({
      services: { clock, timeOfDay, instrumentation, tasks: this.tasks, state: this.state, protocol: upstreamProtocol, access: this._access, running: this._running, durations: this._durations, streamOrigins: this._streams.origins, crashProbe: this._access },
      admission: RequestAdmission.create(this.state),
      protocol: callerProtocol,
      pauses: this._pauses,
      stop: this._stop
    })
  }

  private _createPeerExchange (): PeerExchange {
    const { clock, timeOfDay, random, instrumentation, store } = this._environment
    const { name, failureDomain } = this._settings
    const isFollowingStore = (): boolean => this._deploymentTask.isFollowingStore
    return PeerExchange.create({
      name,
      failureDomain,
      state: this.state,
      socket: this._socket,
      context: this._context,
      clock,
      timeOfDay,
      random,
      instrumentation,
      tasks: this.tasks,
      links: () => this._access.linkState,
      dutyHolder: () => this._registry.dutyHolder,
      watchMilliseconds: () => this._deploymentTask.watchMilliseconds,
      lostHistory: LostHistoryCheck.create({ store, key: this._keys.softwareHistoryKey, isFollowingStore, ownPosition: () => this.state.view.upstreamsPosition, clock }),
      isStopping: () => this._stop.isStopping,
      onPeerLeaving: address => this._access.retirePeer(address),
      onChange: change => this._changes.apply(change)
    })
  }

  private _startTasks (): void {
    const { store, clock, leaseClock, timeOfDay, instrumentation } = this._environment
    const { name, peerSeeds } = this._settings
    for (const seed of peerSeeds) this.state.peers.addKnownAddress(seed, clock.now())
    const membership = MembershipTask.create({ store, key: this._keys.gatewayKey(name), registration: this.state.peers.self, clock: leaseClock, instrumentation })
    this._startTask('pause-monitor', this._pauses)
    this._startTask('time-of-day-monitor', TimeOfDayMonitor.create({ clock, timeOfDay, instrumentation }))
    this._startTask('deployment', this._deploymentTask)
    this._peerExchange.start()
    this._access.start(this._context)
    this._streams.start(this.tasks)
    this._internalListeners.start(this._context)
    this._startTask('entry-expiry', this._changes)
    this._startTask('membership', membership)
    this._duties?.start(this._context)
    instrumentation.emit('started', { name, failureDomain: this._settings.failureDomain })
  }

  private _startTask (name: string, task: { run: (context: CallContext) => Promise<void> }): void {
    this.tasks.start(name, this._context, async context => await task.run(context))
  }

  private _reconsiderPaths (): void {
    for (const task of this._running.list()) task.reconsiderPath()
  }

  /** Whether to try to acquire the cloud duty now. */
  private _seeksDuty (): boolean {
    return !this._stop.isStopping && this._registry.isDutyOpenTo(this._peerExchange.hasSenior ? 'junior' : 'senior')
  }
}
