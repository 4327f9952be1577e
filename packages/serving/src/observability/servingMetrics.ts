/**
 * Metrics of a serving gateway, updated from its events.
 *
 * @module
 */
import { Counter, Histogram } from 'prom-client'
import type { ActionEvent, Instrumentation } from '@plumstage/common'
import { MetricRegistry } from './metricRegistry.js'

const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 15]
const MILLISECONDS_PER_SECOND = 1000

/** Values that are read on each scrape. */
export interface ServingMetricSources {
  running: () => number
  configurationRevision: () => number
  upstreamsRevision: () => number
  storeEra: () => number
  presentGateways: () => number
  /** Age of the sums over all gateways in milliseconds; NaN while none are used. */
  aggregateAgeMilliseconds: () => number
  limitedUpstreams: () => number
  quarantinedParts: () => number
  areLinksLost: () => boolean
  openTunnels: () => number
  droppedLogLines: () => number
  streamRecords: () => number
  isFollowingStore: () => boolean
}

/** Counts requests, rejections and failed attempts from events, and exposes gauges of the gateway's state. */
export class ServingMetrics {
  private readonly _registry = MetricRegistry.create()
  private readonly _requests: Counter
  private readonly _rejections: Counter
  private readonly _attemptFailures: Counter
  private readonly _limitedAttempts: Counter
  private readonly _ignoredConfigurations: Counter
  private readonly _snapshots: Counter
  private readonly _linkProbes: Counter
  private readonly _linkChanges: Counter
  private readonly _firstEvent: Histogram
  private readonly _duration: Histogram

  private constructor (sources: ServingMetricSources) {
    const { registers } = this._registry
    this._requests = new Counter({ name: 'plumstage_requests_total', help: 'Requests that ended, by outcome, status and route.', labelNames: ['outcome', 'status', 'route'], registers })
    this._rejections = new Counter({ name: 'plumstage_rejected_requests_total', help: 'Requests that were rejected before an attempt, by reason.', labelNames: ['reason'], registers })
    this._attemptFailures = new Counter({ name: 'plumstage_failed_attempts_total', help: 'Attempts that failed, by failure.', labelNames: ['failure'], registers })
    this._limitedAttempts = new Counter({ name: 'plumstage_limited_attempts_total', help: 'Attempts sent to upstreams that state a request limit, by kind.', labelNames: ['kind'], registers })
    this._ignoredConfigurations = new Counter({ name: 'plumstage_ignored_configurations_total', help: 'Configurations that were received and did not come into force, by reason.', labelNames: ['reason'], registers })
    this._snapshots = new Counter({ name: 'plumstage_store_snapshots_total', help: 'Snapshots of all entries that were read from the store, by reason.', labelNames: ['reason'], registers })
    this._linkProbes = new Counter({ name: 'plumstage_link_probes_total', help: 'Probes of upstreams that show whether the links of this gateway work.', registers })
    this._linkChanges = new Counter({ name: 'plumstage_link_changes_total', help: 'How often the links of this gateway to all upstreams were lost and regained, by change.', labelNames: ['change'], registers })
    this._firstEvent = new Histogram({ name: 'plumstage_first_event_seconds', help: 'Time from acceptance to the first event of a stream.', buckets: LATENCY_BUCKETS_SECONDS, registers })
    this._duration = new Histogram({ name: 'plumstage_request_seconds', help: 'Time from acceptance to the end of a request.', labelNames: ['route'], buckets: LATENCY_BUCKETS_SECONDS, registers })
    this._registry.addGauge('plumstage_running_requests', 'Requests that run at an upstream.', sources.running)
    this._registry.addGauge('plumstage_configuration_revision', 'Store revision of the configuration in force.', sources.configurationRevision)
    this._registry.addGauge('plumstage_upstreams_revision', 'Store revision of the last known change to the list of upstreams.', sources.upstreamsRevision)
    this._registry.addGauge('plumstage_store_era', 'Era of the store that this gateway knows: how often the store has come back from a copy; 0 when it does not state that.', sources.storeEra)
    this._registry.addGauge('plumstage_present_gateways', 'Gateways that are heard, this one included.', sources.presentGateways)
    this._registry.addGauge('plumstage_aggregate_age_seconds', 'Time since the last sums over all gateways arrived; NaN while none are used.', () => sources.aggregateAgeMilliseconds() / MILLISECONDS_PER_SECOND)
    this._registry.addGauge('plumstage_limited_upstreams', 'Upstreams that state a request limit, as known to this gateway.', sources.limitedUpstreams)
    this._registry.addGauge('plumstage_quarantined_prompt_parts', 'Parts of prompts that are rejected because upstreams crashed when they began to respond to them.', sources.quarantinedParts)
    this._registry.addGauge('plumstage_upstream_links_lost', 'Whether this gateway reaches no upstream itself.', () => Number(sources.areLinksLost()))
    this._registry.addGauge('plumstage_open_tunnels', 'Tunnels to upstreams that this gateway carries for others.', sources.openTunnels)
    this._registry.addGauge('plumstage_dropped_log_lines', 'Log lines that the reader did not take in time.', sources.droppedLogLines)
    this._registry.addGauge('plumstage_stream_records', 'Streams of which this gateway keeps the software that began them.', sources.streamRecords)
    this._registry.addGauge('plumstage_store_followed', 'Whether the store answers.', () => Number(sources.isFollowingStore()))
  }

  static create (sources: ServingMetricSources, instrumentation: Instrumentation): ServingMetrics {
    const metrics = new ServingMetrics(sources)
    instrumentation.addListener(event => metrics._count(event))
    return metrics
  }

  get contentType (): string {
    return this._registry.contentType
  }

  /** Returns all metrics as text. */
  async format (): Promise<string> {
    return await this._registry.format()
  }

  private _count ({ kind, attributes }: ActionEvent): void {
    if (kind === 'request-ended') {
      this._requests.inc({ outcome: String(attributes?.outcome), status: String(attributes?.status), route: String(attributes?.route) })
      this._duration.observe({ route: String(attributes?.route) }, Number(attributes?.milliseconds) / MILLISECONDS_PER_SECOND)
    } else if (kind === 'request-rejected') this._rejections.inc({ reason: String(attributes?.reason) })
    else if (kind === 'configuration-ignored') this._ignoredConfigurations.inc({ reason: String(attributes?.reason) })
    else if (kind === 'store-snapshot-read') this._snapshots.inc({ reason: String(attributes?.reason) })
    else if (kind === 'limited-attempt-started') this._limitedAttempts.inc({ kind: String(attributes?.attemptKind) })
    else if (kind === 'upstream-links-probed') this._linkProbes.inc(Number(attributes?.probes))
    else if (kind === 'upstream-links-lost') this._linkChanges.inc({ change: 'lost' })
    else if (kind === 'upstream-links-regained') this._linkChanges.inc({ change: 'regained' })
    else if (kind === 'attempt-failed') this._attemptFailures.inc({ failure: String(attributes?.failure) })
    else if (kind === 'first-event') this._firstEvent.observe(Number(attributes?.milliseconds) / MILLISECONDS_PER_SECOND)
  }
}
