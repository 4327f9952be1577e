/**
 * HTTP servers for peers and for metrics. This module is loaded after the start, because serving callers does not need
 * it.
 *
 * @module
 */
import type { Server } from 'node:http'
import { createAdaptorServer } from '@hono/node-server'
import { Hono } from 'hono'
import type { Instrumentation } from '@plumstage/common'
import type { DeploymentView } from '../deployment/deploymentView.js'
import { SNAPSHOT_PATH } from '../peers/snapshotClient.js'
import type { RelayServer } from '../relay/relayServer.js'
import { ServingMetrics } from './servingMetrics.js'
import type { ServingMetricSources } from './servingMetrics.js'

const METRICS_PATH = '/metrics'
const OK = 200

/** Creates the server from which peers pull deployment snapshots, and through which they open tunnels if `relay` is given. */
export function createPeerServer (view: DeploymentView, relay?: RelayServer): Server {
  const application = new Hono()
  application.get(SNAPSHOT_PATH, context => context.json(view.exportSnapshot()))
  const server = createAdaptorServer(application) as Server
  relay?.attach(server)
  return server
}

/** Creates the server for metrics in the Prometheus text format. */
export function createMetricsServer (sources: ServingMetricSources, instrumentation: Instrumentation): Server {
  const metrics = ServingMetrics.create(sources, instrumentation)
  const application = new Hono()
  application.get(METRICS_PATH, async context => context.body(await metrics.format(), OK, { 'content-type': metrics.contentType }))
  return createAdaptorServer(application) as Server
}
