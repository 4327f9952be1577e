/**
 * The report that a gateway sends to its peers, and its encoding as a datagram.
 *
 * @module
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { gossip } from '@plumstage/protocol'
import { describeError, isNetworkAddress } from '@plumstage/common'
import type { StorePosition } from '@plumstage/coordination'
import { decodeStep, encodeStep } from '../aggregation/aggregationStep.js'
import type { AggregationStep } from '../aggregation/aggregationStep.js'
import type { ConfigurationPosition } from '../deployment/configurationPosition.js'
import type { ReportedLimit } from '../limits/reportedLimit.js'
import type { WorkspaceUsage } from '../quotas/workspaceUsage.js'
import type { PartSuspicion } from '../recovery/suspectPart.js'
import { toUint32, toUint64 } from './reportNumbers.js'

/** Load of one gateway on one upstream. */
export interface ReportedLoad {
  upstream: string
  requests: number
  waitingTokens: number
}

/** Requests of a workspace that started executing in one reporting window. */
export interface ReportedWindowCount {
  window: number
  workspace: string
  requests: number
}

/** A request that was executing when upstreams crashed, and may have caused the crashes. */
export interface ReportedSuspicion {
  digest: string
  /** Upstream incarnations that crashed while they executed the request. */
  crashes: readonly string[]
  /** Crashes that the request is known not to have caused. */
  cleared: readonly string[]
  /** For each crash the id of the last event that had arrived; gateways of earlier releases do not state it. */
  progress?: readonly number[]
  /** For each crash whether the request had begun there. */
  begun?: readonly boolean[]
  /** For each crash whether the request was sent as a trial. */
  trials?: readonly boolean[]
}

/** Demand of callers for a service at one gateway. */
export interface ReportedDemand {
  service: string
  promptTokensPerSecond: number
  outputTokensPerSecond: number
  /** Rate at which one upstream prefills prompts, as measured by this gateway. */
  prefillTokensPerSecond: number
  /** Number of samples that the rate is based on; 0 when it is an assumption. */
  prefillSamples: number
}

/** Sums over the gateways that report directly to a relay, except the recipient. */
export interface RelayedReports {
  /** Number of gateways included. */
  gateways: number
  loads: ReportedLoad[]
  uses: WorkspaceUsage[]
}

/** What a gateway reports of its own links to upstreams. */
export type ReportedLinks = 'working' | 'lost' | 'unstated'

const LINK_STATES = { working: gossip.LinkState.WORKING, lost: gossip.LinkState.LOST, unstated: gossip.LinkState.UNSPECIFIED }

/** Answers of one version of a service on one route during a roll-out. */
export interface ReportedAnswers {
  /** Hash of the order, the version and the route. */
  name: number
  answers: number
  bad: number
}

/** State of one gateway. */
export interface GatewayReport {
  name: string
  incarnation: string
  sequence: number
  failureDomain: string
  leaving: boolean
  /** The configuration in force; undefined when there is none. */
  configuration: ConfigurationPosition | undefined
  /** Position of the last known change to the list of upstreams. */
  upstreams: StorePosition
  loads: ReportedLoad[]
  uses: WorkspaceUsage[]
  windows: ReportedWindowCount[]
  suspicions: ReportedSuspicion[]
  partSuspicions: PartSuspicion[]
  demands: ReportedDemand[]
  knownAddresses: string[]
  limits: ReportedLimit[]
  /** Whether it reaches upstreams itself; gateways of earlier releases do not state it and open no tunnels. */
  links: ReportedLinks
  /** Only in the reports of relays. */
  relayed?: RelayedReports
  /** Whether the sender expects the reports of the recipient; undefined from gateways of earlier releases, which don't state it. */
  requestsReports?: boolean
  /** Answers of both versions of services that are being rolled out; gateways of earlier releases state none. */
  answers?: ReportedAnswers[]
  /** A step of an aggregation round; loads, usage, windows and demands of the sender are then left out. */
  aggregation?: AggregationStep
}

/** Encodes a report as one datagram; numbers that do not fit into their fields become the nearest that do. */
export function encodeReport (report: GatewayReport): Uint8Array {
  const { configuration, upstreams, relayed } = report
  return toBinary(gossip.GatewayReportSchema, create(gossip.GatewayReportSchema, {
    ...report,
    sequence: toUint64(report.sequence),
    configurationRevision: toUint64(configuration?.revision ?? 0),
    configurationEra: toUint32(configuration?.era ?? 0),
    configurationVersion: configuration?.version,
    upstreamsRevision: toUint64(upstreams.revision),
    upstreamsEra: toUint32(upstreams.era),
    loads: report.loads.map(encodeLoad),
    uses: report.uses.map(encodeUsage),
    relayed: relayed && { gateways: toUint32(relayed.gateways), loads: relayed.loads.map(encodeLoad), uses: relayed.uses.map(encodeUsage) },
    windows: report.windows.map(({ window, workspace, requests }) => ({ window: toUint64(window), workspace, requests: toUint32(requests) })),
    demands: report.demands.map(encodeDemand),
    limits: report.limits.map(limit => ({ ...limit, ageMilliseconds: toUint32(limit.ageMilliseconds), number: toUint32(limit.number) })),
    answers: report.answers?.map(({ name, answers, bad }) => ({ name, answers: toUint32(answers), bad: toUint32(bad) })),
    links: LINK_STATES[report.links],
    aggregation: report.aggregation && encodeStep(report.aggregation),
    suspicions: report.suspicions.map(encodeSuspicion),
    partSuspicions: report.partSuspicions.map(encodePartSuspicion)
  }))
}

/** Decodes a datagram. */
export function decodeReport (bytes: Uint8Array): Result<GatewayReport, Error> {
  try {
    const message = fromBinary(gossip.GatewayReportSchema, bytes)
    const { name, incarnation, failureDomain, leaving, loads, suspicions, partSuspicions, demands } = message
    return ok({
      name,
      incarnation,
      failureDomain,
      leaving,
      loads,
      suspicions,
      partSuspicions,
      demands,
      knownAddresses: message.knownAddresses.filter(isNetworkAddress),
      limits: message.limits.filter(isReadable),
      answers: message.answers,
      links: decodeLinks(message.links),
      requestsReports: message.requestsReports,
      aggregation: decodeStep(message.aggregation),
      sequence: Number(message.sequence),
      configuration: decodeConfigurationPosition(message),
      upstreams: { era: message.upstreamsEra, revision: Number(message.upstreamsRevision) },
      uses: message.uses.map(decodeUsage),
      relayed: message.relayed && { gateways: message.relayed.gateways, loads: message.relayed.loads, uses: message.relayed.uses.map(decodeUsage) },
      windows: message.windows.map(count => ({ window: Number(count.window), workspace: count.workspace, requests: count.requests }))
    })
  } catch (error) {
    return err(new Error(`The datagram is not a gateway report: ${describeError(error)}. Check that only gateways of this release send to the port.`))
  }
}

function decodeConfigurationPosition ({ configurationRevision, configurationEra, configurationVersion }: gossip.GatewayReport): ConfigurationPosition | undefined {
  if (configurationRevision === 0n) return undefined
  const version = Number.isFinite(configurationVersion) ? configurationVersion : undefined
  return { version, era: configurationEra, revision: Number(configurationRevision) }
}

/** A state of a later release that is not known here counts as not stated. */
function decodeLinks (state: gossip.LinkState): ReportedLinks {
  if (state === gossip.LinkState.WORKING) return 'working'
  return state === gossip.LinkState.LOST ? 'lost' : 'unstated'
}

/** A limit that is not a number of requests would be taken for one that has ended, or for none at all. */
function isReadable ({ requestsPerSecond }: gossip.UpstreamLimit): boolean {
  return requestsPerSecond === undefined || (Number.isFinite(requestsPerSecond) && requestsPerSecond >= 0)
}

function encodeLoad ({ upstream, requests, waitingTokens }: ReportedLoad): ReportedLoad {
  return { upstream, requests: toUint32(requests), waitingTokens: toUint32(waitingTokens) }
}

function encodeDemand ({ service, ...figures }: ReportedDemand): ReportedDemand {
  return {
    service,
    promptTokensPerSecond: toUint32(figures.promptTokensPerSecond),
    outputTokensPerSecond: toUint32(figures.outputTokensPerSecond),
    prefillTokensPerSecond: toUint32(figures.prefillTokensPerSecond),
    prefillSamples: toUint32(figures.prefillSamples)
  }
}

function encodeSuspicion ({ digest, crashes, cleared, progress = [], begun = [], trials = [] }: ReportedSuspicion): { digest: string, crashes: string[], cleared: string[], progress: number[], begun: boolean[], trials: boolean[] } {
  return { digest, crashes: [...crashes], cleared: [...cleared], progress: progress.map(toUint32), begun: [...begun], trials: [...trials] }
}

function encodePartSuspicion ({ part, crashes, cleared, ageMilliseconds }: PartSuspicion): { part: number, crashes: Array<{ crash: number, companions: number[], isTrial: boolean }>, cleared: number[], ageMilliseconds: number } {
  return { part, ageMilliseconds: toUint32(ageMilliseconds), crashes: crashes.map(({ crash, companions, isTrial }) => ({ crash, companions: [...companions], isTrial })), cleared: [...cleared] }
}

function encodeUsage ({ workspace, admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage): { workspace: string, admittedUnits: bigint, offeredUnitsPerSecond: number } {
  return { workspace, admittedUnits: toUint64(admittedUnits), offeredUnitsPerSecond: toUint32(offeredUnitsPerSecond) }
}

function decodeUsage ({ workspace, admittedUnits, offeredUnitsPerSecond }: gossip.WorkspaceUse): WorkspaceUsage {
  return { workspace, admittedUnits: Number(admittedUnits), offeredUnitsPerSecond }
}
