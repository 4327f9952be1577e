/**
 * The values of a gateway's state that its metrics show.
 *
 * @module
 */
import type { Clock, ConnectionResets } from '@plumstage/common'
import type { RunningRequests } from '../attempts/runningRequests.js'
import type { DeploymentTask } from '../deployment/deploymentTask.js'
import type { UpstreamAccess } from '../links/upstreamAccess.js'
import type { PeerExchange } from '../peers/peerExchange.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { ServingState } from '../servingState.js'
import type { StreamTracking } from '../streams/streamTracking.js'
import type { ServingMetricSources } from './servingMetrics.js'

/** The parts of a gateway that the values come from. */
export interface MetricOrigins {
  state: ServingState
  running: RunningRequests
  access: UpstreamAccess
  streams: StreamTracking
  deployment: DeploymentTask
  socket: PeerSocket
  peerExchange: PeerExchange
  connectionResets: ConnectionResets
  droppedLogLines: () => number
  clock: Clock
}

/** Returns functions that read the values when metrics are fetched. */
export function createMetricSources ({ state, running, access, streams, deployment, socket, peerExchange, connectionResets, droppedLogLines, clock }: MetricOrigins): ServingMetricSources {
  const { view, peers, upstreams, partQuarantine, requestQuarantine } = state
  return {
    running: () => running.count,
    configurationRevision: () => view.configurationRevision,
    configurationVersion: () => view.configurationPosition?.version ?? Number.NaN,
    peersConfigurationVersion: () => peers.newestConfiguration?.version ?? Number.NaN,
    storeSilentMilliseconds: () => state.decisionBasis(clock.now()).storeSilentMilliseconds ?? Number.NaN,
    upstreamsRevision: () => view.upstreamsRevision,
    storeEra: () => view.upstreamsPosition.era,
    presentGateways: () => peers.countPresent(clock.now()),
    aggregateAgeMilliseconds: () => clock.now() - (peers.currentTotals(clock.now())?.receivedAt ?? Number.NaN),
    areLinksLost: () => access.linkState === 'lost',
    openTunnels: () => access.tunnels.openTunnels,
    quarantinedParts: () => partQuarantine.countQuarantined(clock.now()),
    quarantinedRequests: () => requestQuarantine.countQuarantined(clock.now()),
    limitedUpstreams: () => upstreams.list().filter(upstream => upstream.limit.requestsPerSecond !== undefined).length,
    droppedLogLines,
    unsentMessages: () => socket.unsentMessages,
    leftOutReportItems: () => peerExchange.leftOutReportItems,
    connectionResets: () => connectionResets.counts,
    streamRecords: () => streams.origins.recordCount,
    isFollowingStore: () => deployment.isFollowingStore
  }
}
