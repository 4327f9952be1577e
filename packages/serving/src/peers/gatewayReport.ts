/**
 * What a gateway tells the others, and its form in datagrams.
 *
 * @module
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { gossip } from '@plumstage/protocol'
import { describeError } from '@plumstage/common'
import type { WorkspaceUsage } from '../quotas/workspaceUsage.js'

/** Work of one gateway at one upstream. */
export interface ReportedLoad {
  upstream: string
  requests: number
  waitingTokens: number
}

/** Requests of a workspace that began to run in one reporting window. */
export interface ReportedWindowCount {
  window: number
  workspace: string
  requests: number
}

/** A request that was running when upstreams crashed. */
export interface ReportedSuspicion {
  digest: string
  /** Identities of the upstream runs that crashed. */
  crashes: readonly string[]
  /** Those of which the request was found innocent. */
  cleared: readonly string[]
}

/** Work that callers ask of a service at one gateway. */
export interface ReportedDemand {
  service: string
  promptTokensPerSecond: number
  outputTokensPerSecond: number
}

/** Sums over the gateways that a relay hears directly, without the recipient. */
export interface RelayedReports {
  /** Number of gateways in the sums. */
  gateways: number
  loads: ReportedLoad[]
  uses: WorkspaceUsage[]
}

/** The state of one gateway. */
export interface GatewayReport {
  name: string
  incarnation: string
  sequence: number
  failureDomain: string
  leaving: boolean
  configurationRevision: number
  upstreamsRevision: number
  loads: ReportedLoad[]
  uses: WorkspaceUsage[]
  windows: ReportedWindowCount[]
  suspicions: ReportedSuspicion[]
  demands: ReportedDemand[]
  knownAddresses: string[]
  /** Present in the reports of relays. */
  relayed?: RelayedReports
}

/** Encodes a report as one datagram. */
export function encodeReport (report: GatewayReport): Uint8Array {
  return toBinary(gossip.GatewayReportSchema, create(gossip.GatewayReportSchema, {
    ...report,
    sequence: BigInt(report.sequence),
    configurationRevision: BigInt(report.configurationRevision),
    upstreamsRevision: BigInt(report.upstreamsRevision),
    uses: report.uses.map(encodeUsage),
    relayed: report.relayed && { ...report.relayed, uses: report.relayed.uses.map(encodeUsage) },
    windows: report.windows.map(count => ({ ...count, window: BigInt(count.window) })),
    suspicions: report.suspicions.map(({ digest, crashes, cleared }) => ({ digest, crashes: [...crashes], cleared: [...cleared] }))
  }))
}

/** Decodes a datagram. */
export function decodeReport (bytes: Uint8Array): Result<GatewayReport, Error> {
  try {
    const message = fromBinary(gossip.GatewayReportSchema, bytes)
    const { name, incarnation, failureDomain, leaving, loads, suspicions, demands, knownAddresses } = message
    return ok({
      name,
      incarnation,
      failureDomain,
      leaving,
      loads,
      suspicions,
      demands,
      knownAddresses,
      sequence: Number(message.sequence),
      configurationRevision: Number(message.configurationRevision),
      upstreamsRevision: Number(message.upstreamsRevision),
      uses: message.uses.map(decodeUsage),
      relayed: message.relayed && { gateways: message.relayed.gateways, loads: message.relayed.loads, uses: message.relayed.uses.map(decodeUsage) },
      windows: message.windows.map(count => ({ window: Number(count.window), workspace: count.workspace, requests: count.requests }))
    })
  } catch (error) {
    return err(new Error(`The datagram is not a gateway report: ${describeError(error)}. Check that only gateways of this release send to the port.`))
  }
}

function encodeUsage ({ workspace, admittedUnits, offeredUnitsPerSecond }: WorkspaceUsage): { workspace: string, admittedUnits: bigint, offeredUnitsPerSecond: number } {
  return { workspace, admittedUnits: BigInt(admittedUnits), offeredUnitsPerSecond }
}

function decodeUsage ({ workspace, admittedUnits, offeredUnitsPerSecond }: gossip.WorkspaceUse): WorkspaceUsage {
  return { workspace, admittedUnits: Number(admittedUnits), offeredUnitsPerSecond }
}
