/**
 * A gateway with its listeners for callers, operators and other gateways.
 *
 * @module
 */
import { createServer } from 'node:http2'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { ConnectionResets, IdGenerator, Listener, SeededRandom, getLogger } from '@plumstage/common'
import type { Clock, Instrumentation } from '@plumstage/common'
import type { InstanceList, KeyValueService } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import { RequestReader } from './callers/requestReader.js'
import { CallerServer } from './callers/callerServer.js'
import { GatewayCore } from './gatewayCore.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { HttpEngineOrders } from './duties/engineOrders.js'
import { ConnectPeerLink, registerPeerHandlers } from './membership/peerConnectLink.js'
import type { PeerCredentials } from './membership/peerConnectLink.js'
import { GatewayMetrics } from './operators/gatewayMetrics.js'
import type { GatewayStatus } from './operators/gatewayStatus.js'
import { OperatorServer } from './operators/operatorServer.js'
import { RouteExplainer } from './operators/routeExplainer.js'
import { PooledUpstreamClients } from './upstreams/upstreamClients.js'

const RANDOM_SEED_LIMIT = 2 ** 31

/** External services that a gateway uses, with its clock and instrumentation. */
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
  private readonly _core: GatewayCore
  private readonly _peerCredentials: PeerCredentials
  private readonly _connectionResets: ConnectionResets
  private readonly _log = getLogger('gateway')
  private _callerListener!: Listener
  private _operatorListener!: Listener
  private _peerListener!: Listener
  private _stopped: Promise<void> | undefined

  private constructor (settings: GatewaySettings, platform: GatewayPlatform) {
    this._settings = settings
    this._platform = platform
    this._connectionResets = ConnectionResets.create(platform.clock)
    this._peerCredentials = { deployment: settings.deployment, token: settings.peerToken ?? platform.instrumentation.incarnation }
    this._core = GatewayCore.create({
      name: settings.name,
      deployment: settings.deployment,
      failureDomain: settings.failureDomain,
      peerAddress: settings.peerAdvertise ?? settings.peerListen,
      peerSeeds: settings.peerSeed,
      instanceAddress: settings.instanceAddress
    }, {
      ...platform,
      random: SeededRandom.create(Math.floor(Math.random() * RANDOM_SEED_LIMIT)),
      clients: PooledUpstreamClients.create(this._connectionResets),
      engineOrders: HttpEngineOrders.create(this._connectionResets),
      peerLink: ConnectPeerLink.create(this._peerCredentials, platform.clock)
    })
  }

  /** Creates a gateway, opens its listeners and starts its tasks. */
  static async create (settings: GatewaySettings, platform: GatewayPlatform): Promise<Gateway> {
    const gateway = new Gateway(settings, platform)
    await gateway._listen()
    gateway._core.run()
    return gateway
  }

  /** Address for callers. */
  get address (): string {
    return this._callerListener.address
  }

  /** Address for operators. */
  get operatorAddress (): string {
    return this._operatorListener.address
  }

  /** Address for other gateways. */
  get peerAddress (): string {
    return this._peerListener.address
  }

  get status (): GatewayStatus {
    return this._core.status
  }

  /** Reports an error that reaches no handler; the requests of all callers depend on the process, so it goes on. */
  reportError (error: unknown): void {
    this._core.tasks.report('process', error)
  }

  /** Stops gracefully: after the drain delay, closes the listener for callers and waits until every request has ended. */
  async stop (): Promise<void> {
    this._stopped ??= this._stopGracefully()
    await this._stopped
  }

  /** Stops at once without finishing requests, as when the process crashes. */
  async destroy (): Promise<void> {
    await Promise.all([this._core.destroy(), this._callerListener.destroy(), this._operatorListener.destroy(), this._peerListener.destroy()])
  }

  private async _listen (): Promise<void> {
    const peers = createServer(connectNodeAdapter({ routes: router => registerPeerHandlers(router, this._core.peers, this._core.handovers, this._peerCredentials) }))
    this._callerListener = await Listener.create(this._createCallerServer().createHttpServer(), this._settings.listen)
    this._operatorListener = await Listener.create(this._createOperatorServer().createHttpServer(), this._settings.operatorListen)
    this._peerListener = await Listener.create(peers, this._settings.peerListen)
    this._core.membership.setAddress(this._settings.peerAdvertise ?? this._peerListener.address)
    this._log.info(`Callers: ${this.address}. Operators: ${this.operatorAddress}. Peers: ${this.peerAddress}.`)
  }

  private _createCallerServer (): CallerServer {
    const { clock, instrumentation } = this._platform
    const configuration = (): Configuration => this._core.configuration.state.configuration
    return CallerServer.create({
      instrumentation,
      accept: (request, response) => this._core.accept(request, response),
      resume: async (requestId, workspace, response, lastPosition) => await this._core.handovers.attach(this._core.context, requestId, workspace, response, lastPosition),
      reader: RequestReader.create({ clock, maximumBodyBytes: this._settings.maximumBodyBytes, configuration }),
      requestIds: IdGenerator.create('req', instrumentation.incarnation),
      configuration,
      stopping: () => this._core.stopping
    })
  }

  private _createOperatorServer (): OperatorServer {
    const core = this._core
    const { clock, instrumentation } = this._platform
    const metrics = GatewayMetrics.create({
      connectionResets: () => this._connectionResets.counts,
      waiting: () => core.waitingCount,
      running: () => core.runningCount,
      configurationRevision: () => core.configuration.state.revision,
      following: () => core.configuration.health === 'following',
      presentMembers: () => core.membership.listPresent(clock.now()).length
    }, instrumentation)
    return OperatorServer.create({
      token: this._settings.operatorToken ?? instrumentation.incarnation,
      metrics,
      explainer: RouteExplainer.create(() => core.configuration.state.configuration, core.table, core.router, clock),
      status: () => core.status,
      notReadyReason: () => core.notReadyReason
    })
  }

  private async _stopGracefully (): Promise<void> {
    this._log.info('The gateway is stopping. Requests in flight are finished first.')
    await this._core.announceStop()
    await this._core.context.sleepUntil(this._platform.clock.now() + this._settings.drainDelayMilliseconds)
    const closed = this._callerListener.closeGracefully()
    await this._core.finishRequests()
    await closed
    // Requests may have arrived on open connections since the first wait.
    await this._core.finishRequests()
    this._platform.instrumentation.emit('gateway-stopped')
    await this.destroy()
    this._log.info('The gateway has stopped.')
  }
}
