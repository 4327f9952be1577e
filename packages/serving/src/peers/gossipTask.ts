/**
 * Exchanges reports with the other gateways in datagrams, and takes over what they know of the deployment when this
 * gateway is behind.
 *
 * @module
 */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { request } from 'undici'
import { describeError, getLogger, splitAddress } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { DeploymentView, ViewChange } from '../deployment/deploymentView.js'
import { parseDeploymentSnapshot } from '../deployment/snapshotSchema.js'
import { decodeReport, encodeReport } from './gatewayReport.js'
import type { GatewayReport, RelayedReports } from './gatewayReport.js'
import type { Peer, PeerTable } from './peerTable.js'
import { ReportTopology } from './reportTopology.js'

/** How often it is checked whether a report can't wait. */
const POLL_MILLISECONDS = 100
/** Least part of the interval between two reports of a relay, however urgent. */
const MINIMUM_URGENT_INTERVAL_RATIO = 0.4
const PULL_TIMEOUT_MILLISECONDS = 800
/** A gateway that is behind waits this long for its own watch first. */
const PULL_DELAY_MILLISECONDS = 250

/** Path under which a gateway gives others what it knows of the deployment. */
export const SNAPSHOT_PATH = '/deployment'

/** What the task works with. */
export interface GossipTaskOptions {
  /** Address of this gateway for datagrams. */
  address: string
  /** Ends when the gateway does. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
  peers: PeerTable
  view: DeploymentView
  createReport: () => GatewayReport
  /** What a relay adds for the gateway at an address. */
  createAggregate: (address: string) => RelayedReports | undefined
  /** Name of the gateway that holds the duties. */
  dutyHolder: () => string | undefined
  /** Whether something has happened that the others should know at once. */
  isReportUrgent: () => boolean
  onReport: (peer: Peer) => void
  /** Gateways have fallen silent. */
  onPeersUnresponsive: (peers: Peer[]) => void
  /** Gateways have been silent for so long that they are forgotten. */
  onPeersExpired: (peers: Peer[]) => void
  onChange: (change: ViewChange) => void
}

/** Owns the datagram socket of one gateway. */
export class GossipTask {
  private readonly _options: GossipTaskOptions
  private readonly _log = getLogger('peers')
  private readonly _socket: Socket
  private _behindSince: Timestamp | undefined
  private _pulling = false
  private readonly _topology: ReportTopology
  private _nextReportAt: Timestamp = 0
  private _nextUrgentAt: Timestamp = 0

  private constructor (options: GossipTaskOptions) {
    this._options = options
    this._topology = ReportTopology.create(options.peers)
    this._socket = createSocket('udp4')
    this._socket.on('error', error => this._log.warn(`The datagram socket at ${options.address} failed: ${error.message}. Reports go on when it works again.`))
    this._socket.on('message', (bytes, sender) => this._receive(bytes, sender))
  }

  static async create (options: GossipTaskOptions): Promise<GossipTask> {
    const task = new GossipTask(options)
    const { host, port } = splitAddress(options.address)
    await new Promise<void>((resolve, reject) => {
      task._socket.once('error', reject)
      task._socket.bind(port, host, () => { task._socket.off('error', reject); resolve() })
    })
    return task
  }

  async run (): Promise<void> {
    const { clock, peers, context } = this._options
    context.onCancel(() => this._socket.close())
    while (!context.cancelled) {
      if (clock.now() >= this._nextReportAt || (clock.now() >= this._nextUrgentAt && this._options.isReportUrgent())) this.sendReport()
      const absent = peers.takeUnresponsive(clock.now())
      if (absent.length > 0) this._options.onPeersUnresponsive(absent)
      const gone = peers.expire(clock.now())
      if (gone.length > 0) this._options.onPeersExpired(gone)
      await context.sleepUntil(clock.now() + POLL_MILLISECONDS)
    }
  }

  /** Sends a report at once to all gateways that are to have it. */
  sendReport (): void {
    const { clock, dutyHolder, createReport, createAggregate: createRelayed } = this._options
    const now = clock.now()
    const interval = this._topology.intervalMilliseconds(now)
    const isRelay = this._topology.isRelay(now)
    this._nextReportAt = now + interval
    this._nextUrgentAt = isRelay ? now + interval * MINIMUM_URGENT_INTERVAL_RATIO : now
    const recipients = this._topology.chooseRecipients(dutyHolder(), now)
    if (recipients.length === 0) return
    const report = createReport()
    const bytes = encodeReport(report)
    for (const address of recipients) this._send(isRelay ? encodeReport({ ...report, relayed: createRelayed(address) }) : bytes, address)
  }

  /** Takes over what another gateway knows; used when the store does not answer. */
  async pull (address: string): Promise<boolean> {
    const { clock, view, instrumentation, context } = this._options
    const call = context.createChild(clock.now() + PULL_TIMEOUT_MILLISECONDS)
    try {
      const response = await request(`http://${address}${SNAPSHOT_PATH}`, { signal: call.signal })
      const snapshot = parseDeploymentSnapshot(await response.body.json())
      const change = view.applyPeerSnapshot(snapshot)
      instrumentation.emit('deployment-pulled', { from: address, configurationRevision: view.configurationRevision, upstreamsRevision: view.upstreamsRevision })
      this._options.onChange(change)
      return true
    } catch (error) {
      this._log.debug(`The deployment was not read from ${address}: ${describeError(error)}. Another gateway is asked.`)
      return false
    } finally {
      call.finish()
    }
  }

  private _send (bytes: Uint8Array, address: string): void {
    const { host, port } = splitAddress(address)
    this._socket.send(bytes, port, host, error => { if (error) this._log.debug(`A report to ${address} was not sent: ${error.message}.`) })
  }

  private _receive (bytes: Buffer, sender: RemoteInfo): void {
    const report = decodeReport(bytes)
    if (report.isErr()) return this._log.warn(`${sender.address}: ${report.error.message}`)
    const { clock, peers } = this._options
    const peer = peers.apply(report.value, `${sender.address}:${sender.port}`, clock.now())
    if (!peer) return
    for (const address of report.value.knownAddresses) peers.addKnownAddress(address, clock.now())
    this._options.onReport(peer)
    this._pullIfBehind(peer)
  }

  /** Pulls from a gateway that knows more, if this one's own watch has not caught up meanwhile. */
  private _pullIfBehind (peer: Peer): void {
    const { clock, view } = this._options
    const now = clock.now()
    const isBehind = peer.report.configurationRevision > view.configurationRevision || peer.report.upstreamsRevision > view.upstreamsRevision
    if (!isBehind) return
    this._behindSince ??= now
    if (now < this._behindSince + PULL_DELAY_MILLISECONDS || this._pulling) return
    this._pulling = true
    this._behindSince = undefined
    void this.pull(peer.address).finally(() => { this._pulling = false })
  }
}
