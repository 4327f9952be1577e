/**
 * Exchanges reports with peers in datagrams, and pulls the configuration and the list of upstreams from a peer that has
 * a newer revision.
 *
 * @module
 */
import { PeriodicLog, describeError, getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import { START_POSITION } from '@plumstage/coordination'
import type { StorePosition } from '@plumstage/coordination'
import type { AggregationStep } from '../aggregation/aggregationStep.js'
import { supersedes } from '../deployment/configurationPosition.js'
import type { DeploymentSnapshot, DeploymentView, ViewChange } from '../deployment/deploymentView.js'
import { decodeReport } from './gatewayReport.js'
import type { GatewayReport, RelayedReports } from './gatewayReport.js'
import type { LostHistoryCheck } from './lostHistoryCheck.js'
import type { PeerSocket } from './peerSocket.js'
import type { Peer, PeerTable } from './peerTable.js'
import type { ReportSender } from './reportSender.js'
import { ReportTopology } from './reportTopology.js'
import { readPeerSnapshot } from './snapshotClient.js'
import { SnapshotPull } from './snapshotPull.js'

/** How often the task checks whether a report is due or urgent, and whether peers have become unresponsive. */
const POLL_MILLISECONDS = 100
/** An urgent report of a relay is sent at the earliest after this fraction of its regular interval. */
const MINIMUM_URGENT_INTERVAL_RATIO = 0.4
const PULL_TIMEOUT_MILLISECONDS = 800

/** Dependencies and callbacks of the task. */
export interface GossipTaskOptions {
  /** Receives the datagrams of this gateway. */
  socket: PeerSocket
  sender: ReportSender
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
  peers: PeerTable
  view: DeploymentView
  createReport: () => GatewayReport
  /** Handles a step of an aggregation round that a peer has sent. */
  onAggregationStep: (step: AggregationStep, sender: string) => void
  /** Creates the aggregate that a relay adds to its report for the gateway at an address. */
  createAggregate: (address: string) => RelayedReports | undefined
  /** Tells whether the list of a peer belongs to a history that the store has lost. */
  lostHistory: LostHistoryCheck
  /** Time in which the watch of this gateway brings a change that its peers know. */
  watchMilliseconds: () => number
  /** Name of the gateway that holds the cloud duty; undefined when none does. */
  dutyHolder: () => string | undefined
  /** Whether peers should receive a report before the regular interval ends. */
  isReportUrgent: () => boolean
  onReport: (peer: Peer) => void
  /** Called once for peers that have become unresponsive. */
  onPeersUnresponsive: (peers: Peer[]) => void
  /** Called for peers that were removed after a long time without a report. */
  onPeersExpired: (peers: Peer[]) => void
  onChange: (change: ViewChange) => void
}

/** Sends and receives the reports of one gateway. */
export class GossipTask {
  private readonly _options: GossipTaskOptions
  private readonly _log = getLogger('peers')
  private readonly _failedPulls: PeriodicLog
  private readonly _snapshotPull = SnapshotPull.create()
  private _pulling = false
  private readonly _topology: ReportTopology
  private _nextReportAt: Timestamp = 0
  private _nextUrgentAt: Timestamp = 0

  private constructor (options: GossipTaskOptions) {
    this._options = options
    this._failedPulls = PeriodicLog.create(this._log, options.clock)
    this._topology = ReportTopology.create(options.peers)
    options.socket.onReport((bytes, sender) => this._receive(bytes, sender))
  }

  static create (options: GossipTaskOptions): GossipTask {
    return new GossipTask(options)
  }

  async run (): Promise<void> {
    const { clock, peers, context } = this._options
    while (!context.cancelled) {
      if (clock.now() >= this._nextReportAt || (clock.now() >= this._nextUrgentAt && this._isReportUrgent)) this.sendReport()
      const unresponsive = peers.takeUnresponsive(clock.now())
      if (unresponsive.length > 0) this._options.onPeersUnresponsive(unresponsive)
      const expired = peers.expire(clock.now())
      if (expired.length > 0) this._options.onPeersExpired(expired)
      await context.sleepUntil(clock.now() + POLL_MILLISECONDS)
    }
  }

  /** In aggregation rounds, what is urgent goes with the next one. */
  private get _isReportUrgent (): boolean {
    return this._options.peers.reportMode !== 'rounds' && this._options.isReportUrgent()
  }

  /** Sends a report immediately to all recipients that the topology chooses. */
  sendReport (): void {
    const { sender, clock, dutyHolder, createReport, createAggregate } = this._options
    const now = clock.now()
    const interval = this._topology.intervalMilliseconds(now)
    const isRelay = this._topology.isRelay(now)
    this._nextReportAt = now + interval
    this._nextUrgentAt = isRelay ? now + interval * MINIMUM_URGENT_INTERVAL_RATIO : now
    const recipients = this._topology.chooseRecipients(dutyHolder(), now)
    if (recipients.length === 0) return
    const report = createReport()
    for (const { address, requestsReports } of recipients) {
      const relayed = isRelay ? createAggregate(address) : undefined
      sender.send({ ...report, requestsReports, relayed }, address)
    }
  }

  /** Sends a report to all known gateways, which may have something open at this one. */
  sendReportToAll (): void {
    const { sender, peers, createReport } = this._options
    const report = { ...createReport(), requestsReports: false }
    for (const address of peers.listAddresses()) sender.send(report, address)
  }

  /** Applies the snapshot of a peer; returns whether that succeeded. Used when this gateway is behind or the store is unavailable. */
  async pull (address: string): Promise<boolean> {
    const { clock, view, instrumentation, context } = this._options
    const pullContext = context.createChild(clock.now() + PULL_TIMEOUT_MILLISECONDS)
    try {
      const snapshot = await readPeerSnapshot(address, pullContext)
      const change = view.applyPeerSnapshot(await this._withoutLostHistory(snapshot, address), clock.now())
      const { configurationPosition, upstreamsPosition } = view
      instrumentation.emit('deployment-pulled', { from: address, configurationVersion: configurationPosition?.version, configurationRevision: view.configurationRevision, upstreamsRevision: upstreamsPosition.revision, era: upstreamsPosition.era })
      this._options.onChange(change)
      return true
    } catch (error) {
      instrumentation.emit('deployment-pull-failed', { from: address, error: describeError(error) })
      this._failedPulls.warn(`The deployment snapshot of ${address} could not be read: ${describeError(error)}. A later pull may use another gateway.`)
      return false
    } finally {
      pullContext.finish()
    }
  }

  /** A configuration states its own version, and is used whatever history it belongs to. */
  private async _withoutLostHistory (snapshot: DeploymentSnapshot, address: string): Promise<DeploymentSnapshot> {
    if (!await this._isOfLostHistory(snapshot.upstreams, address)) return snapshot
    return { configuration: snapshot.configuration, upstreams: { ...START_POSITION, entries: [] } }
  }

  /** Whether a peer's list belongs to a history that the store has lost; it is then not awaited for a while. */
  private async _isOfLostHistory ({ era, revision }: StorePosition, address: string): Promise<boolean> {
    const { clock, context, instrumentation, lostHistory } = this._options
    if (!await lostHistory.isLost({ era, revision }, context)) return false
    this._snapshotPull.disregard({ era, revision }, clock.now())
    instrumentation.emit('peer-list-disregarded', { from: address, era, revision })
    return true
  }

  private _receive (bytes: Buffer, sender: string): void {
    const report = decodeReport(bytes)
    if (report.isErr()) return this._log.warn(`${sender}: ${report.error.message}`)
    const { clock, peers, onAggregationStep } = this._options
    const peer = peers.apply(report.value, sender, clock.now())
    if (peer) this._apply(peer)
    // The step may be passed on at once, with what the report that carries it has brought.
    if (report.value.aggregation) onAggregationStep(report.value.aggregation, sender)
  }

  private _apply (peer: Peer): void {
    const { clock, peers } = this._options
    for (const address of peer.report.knownAddresses) peers.addKnownAddress(address, clock.now())
    this._options.onReport(peer)
    this._pullIfBehind(peer)
  }

  /** Pulls from a peer with a newer state if the watch of this gateway has not caught up in its time. */
  private _pullIfBehind ({ address, report }: Peer): void {
    const { clock, view, watchMilliseconds } = this._options
    if (this._pulling) return
    const own = { configuration: view.configurationPosition, upstreams: view.upstreamsPosition }
    if (!this._snapshotPull.decide(report, own, watchMilliseconds(), clock.now())) return
    this._pulling = true
    void this._pullUnlessLost(address, report).finally(() => { this._pulling = false })
  }

  /** Asks the store about the list of the peer before pulling it: all gateways are behind one that has not noticed a return. */
  private async _pullUnlessLost (address: string, { configuration, upstreams }: GatewayReport): Promise<void> {
    const isLost = await this._isOfLostHistory(upstreams, address)
    const hasNewerConfiguration = configuration !== undefined && supersedes(configuration, this._options.view.configurationPosition)
    if (!isLost || hasNewerConfiguration) await this.pull(address)
  }
}
