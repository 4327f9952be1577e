/**
 * Exchanges state with the other gateways: by reports, by aggregation rounds, and by snapshots of the deployment.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { BackgroundTasks, CallContext, Clock, Instrumentation, SeededRandom, Timestamp } from '@plumstage/common'
import { AggregationState } from '../aggregation/aggregationState.js'
import { AggregationTask } from '../aggregation/aggregationTask.js'
import type { AggregationStep } from '../aggregation/aggregationStep.js'
import type { ViewChange } from '../deployment/deploymentView.js'
import type { ServingState } from '../servingState.js'
import type { ReportedLinks } from './gatewayReport.js'
import { GossipTask } from './gossipTask.js'
import type { LostHistoryCheck } from './lostHistoryCheck.js'
import type { PeerSocket } from './peerSocket.js'
import type { Peer } from './peerTable.js'
import { ReportExchange } from './reportExchange.js'
import { ReportSender } from './reportSender.js'

/** A gateway that has no configuration this long after its start pulls the deployment from peers. */
const INITIAL_PULL_DELAY_MILLISECONDS = 400
const PULL_RETRY_MILLISECONDS = 500

/** Dependencies and callbacks of the exchange. */
export interface PeerExchangeOptions {
  name: string
  failureDomain: string
  state: ServingState
  socket: PeerSocket
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  timeOfDay: () => Timestamp
  random: SeededRandom
  instrumentation: Instrumentation
  tasks: BackgroundTasks
  /** Whether this gateway reaches upstreams itself. */
  links: () => ReportedLinks
  /** Name of the gateway that holds the cloud duty; undefined when none does. */
  dutyHolder: () => string | undefined
  /** Time in which the watch of this gateway brings a change that its peers know. */
  watchMilliseconds: () => number
  /** Tells whether the list of a peer belongs to a history that the store has lost. */
  lostHistory: LostHistoryCheck
  isStopping: () => boolean
  onPeerLeaving: (address: string) => void
  onChange: (change: ViewChange) => void
}

/** The exchange of one gateway with its peers. */
export class PeerExchange {
  private readonly _options: PeerExchangeOptions
  private readonly _reports: ReportExchange
  private readonly _sender: ReportSender
  private readonly _gossip: GossipTask
  private readonly _aggregation: AggregationTask
  private readonly _log = getLogger('peers')

  private constructor (options: PeerExchangeOptions) {
    const { name, failureDomain, state, links, instrumentation: { incarnation } } = options
    this._options = options
    this._reports = ReportExchange.create({ name, incarnation, failureDomain }, state, links)
    this._sender = ReportSender.create(options.socket, options.clock)
    this._gossip = this._createGossip()
    this._aggregation = this._createAggregation()
  }

  static create (options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options)
  }

  /** Whether a peer that is heard has sent more reports, and so has run longer. */
  get hasSenior (): boolean {
    const { state, clock } = this._options
    return state.peers.listPresent(clock.now()).some(peer => peer.report.sequence > this._reports.sequence)
  }

  /** Number of items that were left out of reports because they did not fit. */
  get leftOutReportItems (): number {
    return this._sender.leftOutItems
  }

  /** Starts the exchange; it ends with the context. */
  start (): void {
    const { context, tasks } = this._options
    tasks.start('peer-reports', context, async () => await this._gossip.run())
    tasks.start('initial-deployment', context, async () => await this._pullInitialDeployment())
    this._aggregation.start(context)
  }

  /** Tells the peers that this gateway shuts down: all of them if some have tunnels open through it. */
  announceStop (hasOpenTunnels: boolean): void {
    if (hasOpenTunnels) this._gossip.sendReportToAll()
    else this._gossip.sendReport()
  }

  private _createGossip (): GossipTask {
    const { socket, context, clock, timeOfDay, instrumentation, state, dutyHolder, watchMilliseconds, lostHistory, isStopping, onChange } = this._options
    return GossipTask.create({
      socket,
      sender: this._sender,
      context,
      clock,
      instrumentation,
      peers: state.peers,
      view: state.view,
      createReport: () => this._reports.createReport(isStopping(), clock.now(), timeOfDay()),
      onAggregationStep: (step, sender) => this._aggregation.receive(step, sender),
      createAggregate: address => this._reports.createAggregate(address, clock.now()),
      watchMilliseconds,
      lostHistory,
      dutyHolder,
      isReportUrgent: () => state.isReportUrgent,
      onReport: peer => this._applyReport(peer),
      onPeersUnresponsive: peers => this._reports.clearLoads(peers),
      onPeersExpired: peers => this._removeExpired(peers),
      onChange
    })
  }

  private _createAggregation (): AggregationTask {
    const { state, clock, isStopping, instrumentation } = this._options
    const { incarnation } = instrumentation
    return AggregationTask.create({
      peers: state.peers,
      state: AggregationState.create(state, incarnation),
      run: incarnation,
      clock,
      instrumentation,
      isStopping,
      send: (address, step) => this._sendStep(address, step)
    })
  }

  private _sendStep (address: string, step: AggregationStep): void {
    const { clock, isStopping } = this._options
    this._sender.send(this._reports.createCarrier(step, isStopping(), clock.now()), address)
  }

  private _applyReport (peer: Peer): void {
    this._reports.apply(peer, this._options.clock.now())
    if (peer.report.leaving) this._options.onPeerLeaving(peer.address)
  }

  /** One that is still registered may just not report here any more. */
  private _removeExpired (expired: readonly Peer[]): void {
    const { peers } = this._options.state
    this._reports.removePeers(expired)
    for (const { report } of expired) {
      if (peers.addressOf(report.name) !== undefined) continue
      this._options.instrumentation.emit('gateway-gone', { name: report.name })
      this._log.info(`Gateway ${report.name} was removed after a long time without reports.`)
    }
  }

  /** Pulls the deployment from peers when the gateway starts while the store is unavailable. */
  private async _pullInitialDeployment (): Promise<void> {
    const { clock, context, state, random } = this._options
    await context.sleepUntil(clock.now() + INITIAL_PULL_DELAY_MILLISECONDS)
    while (!context.cancelled && state.view.configuration === undefined) {
      const address = random.pick(state.peers.listAddresses())
      if (address !== undefined) await this._gossip.pull(address)
      await context.sleepUntil(clock.now() + PULL_RETRY_MILLISECONDS)
    }
  }
}
