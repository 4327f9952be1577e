/**
 * Servers for other gateways and for metrics. They are loaded after the start, because callers do not need them.
 *
 * @module
 */
import type { Server } from 'node:http'
import { createAdaptorServer } from '@hono/node-server'
import { Hono } from 'hono'
import type { Instrumentation } from '@plumstage/common'
import type { DeploymentView } from '../deployment/deploymentView.js'
import { SNAPSHOT_PATH } from '../peers/gossipTask.js'
import { ServingMetrics } from './servingMetrics.js'
import type { ServingMetricSources } from './servingMetrics.js'

const METRICS_PATH = '/metrics'
const OK = 200

/** Gives other gateways what this one knows of the deployment. */
export function createPeerServer (view: DeploymentView): Server {
  const application = new Hono()
  application.get(SNAPSHOT_PATH, call => call.json(view.exportSnapshot()))
  return createAdaptorServer(application) as Server
}

/** Serves metrics as text. */
export function createMetricsServer (sources: ServingMetricSources, instrumentation: Instrumentation): Server {
  const metrics = ServingMetrics.create(sources, instrumentation)
  const application = new Hono()
  application.get(METRICS_PATH, async call => call.body(await metrics.format(), OK, { 'content-type': metrics.contentType }))
  return createAdaptorServer(application) as Server
}
