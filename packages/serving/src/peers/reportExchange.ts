/**
 * Creates the reports of one gateway, and applies the reports of its peers to the gateway's state.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { AggregationStep } from '../aggregation/aggregationStep.js'
import type { ServingState } from '../servingState.js'
import type { GatewayReport, RelayedReports, ReportedAnswers, ReportedDemand, ReportedLinks, ReportedLoad } from './gatewayReport.js'
import type { Peer } from './peerTable.js'

/** Reports include the counts of this many windows before the current one, whose usage may not have been reported to the cloud yet. */
const REPORTED_WINDOWS = 1
/** One in this many reports lists known addresses. */
const REPORTS_PER_ADDRESS_LIST = 8
const MILLISECONDS_PER_SECOND = 1000
/** A gateway sends several steps of each aggregation round, so each of them carries only the latest of what is known. */
const MAXIMUM_CARRIED_ITEMS = 8
const MAXIMUM_KNOWN_ADDRESSES = 8
/** An aggregate is applied if it covers at least this fraction of the gateways that the widest one covers. */
const MINIMUM_COVERAGE_RATIO = 0.9

/** Identity of a gateway in its reports. */
export interface ReportSender {
  name: string
  incarnation: string
  failureDomain: string
}

/** Maps between the state of one gateway and the reports that it sends and receives. */
export class ReportExchange {
  private readonly _sender: ReportSender
  private readonly _state: ServingState
  private readonly _links: () => ReportedLinks
  private _sequence = 0

  private constructor (sender: ReportSender, state: ServingState, links: () => ReportedLinks) {
    this._sender = sender
    this._state = state
    this._links = links
  }

  /** `links` returns whether this gateway reaches upstreams itself. */
  static create (sender: ReportSender, state: ServingState, links: () => ReportedLinks = () => 'working'): ReportExchange {
    return new ReportExchange(sender, state, links)
  }

  /** Number of reports created since the start, which tells peers how long this gateway has run. */
  get sequence (): number {
    return this._sequence
  }

  /** Creates the next report, which is the same for all recipients. */
  createReport (leaving: boolean, now: Timestamp, timeOfDay: Timestamp): GatewayReport {
    const { view, upstreams, limits, quotas, usage, requestQuarantine, partQuarantine, peers } = this._state
    return {
      ...this._sender,
      sequence: ++this._sequence,
      leaving,
      configuration: view.configurationPosition,
      upstreams: view.upstreamsPosition,
      loads: upstreams.list().filter(upstream => upstream.localLoad.requests > 0).map(({ listed, localLoad: load }) => ({ upstream: listed.id, requests: load.requests, waitingTokens: Math.round(load.waitingTokens) })),
      limits: limits.createReport(upstreams.list(), now),
      links: this._links(),
      uses: quotas.createReport(now),
      windows: usage.listLocal(usage.windowAt(timeOfDay) - REPORTED_WINDOWS),
      suspicions: requestQuarantine.createReport(now),
      partSuspicions: partQuarantine.createReport(now),
      demands: this._createDemands(now),
      answers: this._listAnswers(),
      knownAddresses: this._sequence % REPORTS_PER_ADDRESS_LIST === 0 ? peers.listAddresses().slice(0, MAXIMUM_KNOWN_ADDRESSES) : []
    }
  }

  /** Creates the report that carries a step of an aggregation round. Short steps leave out what the others spread. */
  createCarrier (aggregation: AggregationStep, leaving: boolean, now: Timestamp): GatewayReport {
    const { view, upstreams, limits, requestQuarantine, partQuarantine } = this._state
    const isShort = aggregation.kind !== 'partial' && aggregation.kind !== 'total'
    return {
      ...this._sender,
      sequence: ++this._sequence,
      leaving,
      configuration: view.configurationPosition,
      upstreams: view.upstreamsPosition,
      links: this._links(),
      limits: isShort ? [] : limits.createReport(upstreams.list(), now, MAXIMUM_CARRIED_ITEMS),
      suspicions: isShort ? [] : requestQuarantine.createReport(now).slice(0, MAXIMUM_CARRIED_ITEMS),
      partSuspicions: isShort ? [] : partQuarantine.createReport(now).slice(0, MAXIMUM_CARRIED_ITEMS),
      loads: [],
      uses: [],
      windows: [],
      demands: [],
      knownAddresses: [],
      requestsReports: false,
      aggregation
    }
  }

  private _listAnswers (): ReportedAnswers[] {
    return [...this._state.rollouts.evidence.counts].map(([name, { answers, bad }]) => ({ name, answers, bad }))
  }

  private _createDemands (now: Timestamp): ReportedDemand[] {
    return this._state.demand.list(now).map(demand => {
      const { tokensPerMillisecond, samples } = this._state.capacities.measuredRateOf(demand.service)
      return { ...demand, prefillTokensPerSecond: Math.round(tokensPerMillisecond * MILLISECONDS_PER_SECOND), prefillSamples: Math.round(samples) }
    })
  }

  /** Creates the aggregate that a relay adds for one recipient; undefined when the recipient has not reported to it. */
  createAggregate (recipientAddress: string, now: Timestamp): RelayedReports | undefined {
    const { upstreams, quotas, peers } = this._state
    const recipient = peers.findByAddress(recipientAddress)
    if (!recipient) return undefined
    const present = peers.listPresent(now).filter(peer => peer !== recipient)
    const loads: ReportedLoad[] = []
    for (const upstream of upstreams.list()) {
      const { requests, waitingTokens } = upstream.sumPeerLoads(recipient.report.name)
      if (requests > 0) loads.push({ upstream: upstream.listed.id, requests, waitingTokens: Math.max(0, Math.round(waitingTokens)) })
    }
    return { gateways: present.length, loads, uses: quotas.sumPeerUsage(incarnationKey(recipient.report)) }
  }

  /** Applies the report of a peer to the state of this gateway. */
  apply ({ report, isContinuous }: Peer, now: Timestamp): void {
    const { quotas, usage, requestQuarantine, partQuarantine } = this._state
    if (!report.aggregation) this._applyLoads(report, isContinuous, now)
    this._applyLimits(report, now)
    quotas.applyReport(incarnationKey(report), report.uses, isContinuous)
    usage.applyReport(incarnationKey(report), report.windows)
    requestQuarantine.applyReport(report.suspicions, now)
    partQuarantine.applyReport(report.partSuspicions, now)
  }

  private _applyLoads (report: GatewayReport, isContinuous: boolean, now: Timestamp): void {
    const { upstreams } = this._state
    const loads = indexByUpstream(report.loads)
    for (const upstream of upstreams.list()) upstream.setPeerLoad(report.name, loads.get(upstream.listed.id))
    if (!this._state.peers.currentTotals(now)) this._applyAggregate(report, isContinuous, now)
  }

  /** A limit of another incarnation than the one listed here does not apply. */
  private _applyLimits ({ limits }: GatewayReport, now: Timestamp): void {
    for (const reported of limits) {
      const upstream = this._state.upstreams.get(reported.upstream)
      if (upstream?.listed.incarnation === reported.incarnation) this._state.limits.applyReport(upstream, reported, now)
    }
  }

  /** Stops counting the load of peers that have become unresponsive. */
  clearLoads (peers: readonly Peer[]): void {
    for (const { report } of peers) {
      for (const upstream of this._state.upstreams.list()) upstream.setPeerLoad(report.name, undefined)
    }
  }

  /** Removes the quota usage of expired peers. */
  removePeers (peers: readonly Peer[]): void {
    for (const { report } of peers) this._state.quotas.removeGateway(incarnationKey(report))
  }

  /** Uses the aggregates that cover the most gateways, or direct reports when no aggregate covers clearly more. */
  private _applyAggregate (report: GatewayReport, isContinuous: boolean, now: Timestamp): void {
    const { upstreams, quotas, peers } = this._state
    const widest = peers.widestAggregate(now)
    quotas.follow(widest ? 'relays' : 'direct')
    if (!widest) {
      for (const upstream of upstreams.list()) upstream.setAggregatedPeerLoad(undefined)
      return
    }
    const { relayed } = report
    if (!relayed || relayed.gateways < widest.gateways * MINIMUM_COVERAGE_RATIO) return
    const aggregated = indexByUpstream(relayed.loads)
    const direct = indexByUpstream(report.loads)
    for (const upstream of upstreams.list()) upstream.setAggregatedPeerLoad(addLoads(aggregated.get(upstream.listed.id), direct.get(upstream.listed.id)))
    quotas.applyRelayed(incarnationKey(report), addUsage(report), isContinuous, now)
  }
}

function incarnationKey ({ name, incarnation }: GatewayReport): string {
  return `${name}/${incarnation}`
}

function indexByUpstream (loads: readonly ReportedLoad[]): Map<string, ReportedLoad> {
  return new Map(loads.map(load => [load.upstream, load]))
}

function addLoads (left: ReportedLoad | undefined, right: ReportedLoad | undefined): { requests: number, waitingTokens: number } {
  return { requests: (left?.requests ?? 0) + (right?.requests ?? 0), waitingTokens: (left?.waitingTokens ?? 0) + (right?.waitingTokens ?? 0) }
}

/** Adds the usage of a relay to its aggregate, by workspace, since the aggregate excludes the relay itself. */
function addUsage ({ uses, relayed }: GatewayReport): GatewayReport['uses'] {
  const total = new Map(relayed?.uses.map(use => [use.workspace, { ...use }]))
  for (const use of uses) {
    const sum = total.get(use.workspace) ?? { workspace: use.workspace, admittedUnits: 0, offeredUnitsPerSecond: 0 }
    total.set(use.workspace, { ...sum, admittedUnits: sum.admittedUnits + use.admittedUnits, offeredUnitsPerSecond: sum.offeredUnitsPerSecond + use.offeredUnitsPerSecond })
  }
  return [...total.values()]
}
