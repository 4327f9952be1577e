/**
 * Test fixture: gateways that exchange reports on a simulated clock, without sockets.
 *
 * @module
 */
import { SeededRandom } from '@plumstage/common'
import { DeploymentAdapter } from '@plumstage/platform'
import { AggregationNode, AggregationState, AggregationTree, NO_QUOTA_TOLERANCE, ReportExchange, ReportTopology, ServingState, decodeReport, encodeReport } from '@plumstage/serving'
import type { AggregationAction, GatewayReport, ServingSettings } from '@plumstage/serving'

const STEP_MILLISECONDS = 50
const STRONG_CORES = 1.35
const WEAK_CORES = 0.3
const STRONG_GATEWAYS = 5

export const SERVING_SETTINGS: ServingSettings = {
  name: 'edge-1',
  failureDomain: 'east',
  callerAddress: '10.1.0.1:80',
  readinessAddress: '10.1.0.1:81',
  peerAddress: '10.1.0.1:7600',
  processorCores: 1,
  isFirstStart: false,
  peerSeeds: [],
  addresses: { store: '10.9.0.1:80' },
  contactMilliseconds: 3000,
  graceMilliseconds: 8000,
  dutyLeaseMilliseconds: 3000,
  usageWindowMilliseconds: 5000,
  usageDelayMilliseconds: 10_000,
  quotaTolerance: NO_QUOTA_TOLERANCE,
  retryBound: { ratio: 0, slack: 1, windowMilliseconds: 10_000 },
  prefixReuseMilliseconds: 9000,
  reportsUsage: false,
  ordersUpstreams: false
}

/** One gateway of the network. */
export interface ReportingGateway {
  name: string
  address: string
  state: ServingState
  topology: ReportTopology
  exchange: ReportExchange
  node: AggregationNode
  aggregation: AggregationState
  isUp: boolean
  /** Whether no message passes between it and the others, although it serves its callers. */
  isCutOff: boolean
  /** Time that its reports take to reach the others. */
  delayMilliseconds: number
  nextReportAt: number
  nextUrgentAt: number
  sentReports: number
  sentBytes: number
}

interface PendingDelivery {
  bytes: Uint8Array
  sender: ReportingGateway
  recipient: string
  at: number
}

/** The gateways and their shared clock. */
export class ReportNetwork {
  readonly gateways: ReportingGateway[]
  now = 0
  private _pending: PendingDelivery[] = []

  private constructor (gateways: ReportingGateway[]) {
    this.gateways = gateways
  }

  /** Each gateway knows all others from the start on. */
  static create (count: number): ReportNetwork {
    const network = ReportNetwork.createUnregistered(count)
    network.register(network.gateways)
    return network
  }

  /** No gateway knows of another one. */
  static createUnregistered (count: number): ReportNetwork {
    const gateways = Array.from({ length: count }, (_, index) => createGateway(index))
    for (const { state } of gateways) {
      state.upstreams.apply([{ id: 'i-1', incarnation: '1', service: 'model', address: '10.2.0.1:90', failureDomain: 'east', capacity: 64, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }], 0)
    }
    return new ReportNetwork(gateways)
  }

  /** Makes these gateways known to all, as the store does. */
  register (registered: readonly ReportingGateway[]): void {
    for (const { state } of this.gateways) {
      for (const { name, state: other } of registered) state.peers.register(name, other.peers.self)
    }
  }

  /** Advances the clock; calls `onStep` for each gateway that is up in each step. */
  run (milliseconds: number, onStep?: (gateway: ReportingGateway) => void): void {
    const end = this.now + milliseconds
    for (; this.now < end; this.now += STEP_MILLISECONDS) {
      this._deliverDue()
      for (const gateway of this.gateways) {
        if (!gateway.isUp) continue
        onStep?.(gateway)
        this._report(gateway)
        this._aggregate(gateway)
        this._deliverDue()
        gateway.exchange.clearLoads(gateway.state.peers.takeUnresponsive(this.now))
      }
    }
  }

  private _report (sender: ReportingGateway): void {
    const isUrgent = this.now >= sender.nextUrgentAt && sender.state.isReportUrgent
    if (this.now < sender.nextReportAt && !isUrgent) return
    const { now } = this
    const isRelay = sender.topology.isRelay(now)
    sender.nextReportAt = now + sender.topology.intervalMilliseconds(now)
    sender.nextUrgentAt = isRelay ? now + sender.topology.intervalMilliseconds(now) / 2 : now
    const report = sender.exchange.createReport(false, now, now)
    if (sender.state.peers.reportMode === 'rounds') return
    for (const { address, requestsReports } of sender.topology.chooseRecipients(undefined, now)) {
      this._send(sender, address, { ...report, requestsReports, relayed: isRelay ? sender.exchange.createAggregate(address, now) : undefined })
    }
  }

  private _send (sender: ReportingGateway, recipient: string, report: GatewayReport): void {
    const bytes = encodeReport(report)
    sender.sentReports++
    sender.sentBytes += bytes.length
    this._pending.push({ bytes, sender, recipient, at: this.now + sender.delayMilliseconds })
  }

  private _aggregate (gateway: ReportingGateway): void {
    gateway.aggregation.expire(this.now)
    if (gateway.node.nextActionAt <= this.now) this._execute(gateway, gateway.node.advance(this.now))
  }

  private _execute (gateway: ReportingGateway, actions: readonly AggregationAction[]): void {
    for (const action of actions) {
      if (action.kind === 'send') this._send(gateway, action.address, gateway.exchange.createCarrier(action.step, false, this.now))
      else gateway.aggregation.apply(action.others, action.gateways, this.now)
    }
  }

  /** Delivers also what the recipients send at once. */
  private _deliverDue (): void {
    for (;;) {
      const due = this._pending.filter(delivery => delivery.at <= this.now)
      if (due.length === 0) return
      this._pending = this._pending.filter(delivery => delivery.at > this.now)
      for (const delivery of due) this._deliver(delivery)
    }
  }

  private _deliver ({ bytes, sender, recipient: address }: PendingDelivery): void {
    const recipient = this.gateways.find(gateway => gateway.address === address)
    if (!recipient?.isUp || recipient.isCutOff || sender.isCutOff) return
    const report = decodeReport(bytes)._unsafeUnwrap()
    const peer = recipient.state.peers.apply(report, sender.address, this.now)
    if (peer) recipient.exchange.apply(peer, this.now)
    if (report.aggregation) this._execute(recipient, recipient.node.receive(report.aggregation, sender.address, this.now))
  }
}

function createGateway (index: number): ReportingGateway {
  const name = `edge-${index}`
  const address = `10.1.0.${index}:7600`
  const processorCores = index < STRONG_GATEWAYS ? STRONG_CORES : WEAK_CORES
  const state = ServingState.create({ ...SERVING_SETTINGS, name, peerAddress: address, processorCores }, DeploymentAdapter.create(), SeededRandom.create(index))
  const aggregation = AggregationState.create(state, name)
  const { peers } = state
  let tree = AggregationTree.create([])
  let treeVersion = -1
  const currentTree = (): AggregationTree => {
    if (treeVersion === peers.addressesVersion) return tree
    treeVersion = peers.addressesVersion
    tree = AggregationTree.create(peers.listRegistrations().filter(({ aggregates }) => aggregates))
    return tree
  }
  return {
    name,
    address,
    state,
    topology: ReportTopology.create(peers),
    aggregation,
    node: AggregationNode.create({
      address,
      run: 'first',
      tree: currentTree,
      startsRounds: () => peers.reportMode === 'rounds',
      createOwn: now => aggregation.createOwn(false, now)
    }, 0),
    exchange: ReportExchange.create({ name, incarnation: 'first', failureDomain: 'east' }, state),
    isUp: true,
    isCutOff: false,
    delayMilliseconds: 0,
    nextReportAt: index,
    nextUrgentAt: 0,
    sentReports: 0,
    sentBytes: 0
  }
}
