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
  /** NaN while there is none, or it states no version. */
  configurationVersion: () => number
  /** NaN while peers have reported none. */
  peersConfigurationVersion: () => number
  /** Time since the last answer of the store in milliseconds; NaN before the first. */
  storeSilentMilliseconds: () => number
  upstreamsRevision: () => number
  storeEra: () => number
  presentGateways: () => number
  /** Age of the sums over all gateways in milliseconds; NaN while none are used. */
  aggregateAgeMilliseconds: () => number
  limitedUpstreams: () => number
  quarantinedParts: () => number
  quarantinedRequests: () => number
  areLinksLost: () => boolean
  openTunnels: () => number
  droppedLogLines: () => number
  unsentMessages: () => number
  leftOutReportItems: () => number
  /** Connections that this gateway has reset while a call on them was unanswered, by target. */
  connectionResets: () => ReadonlyMap<string, number>
  streamRecords: () => number
  isFollowingStore: () => boolean
}

/** How events of one kind are counted. */
interface EventCounter {
  kind: string
  name: string
  help: string
  /** Attribute of the event by which it is counted, and the name of its label. */
  label?: { attribute: string, name: string }
  /** Attribute that holds how much is counted; each event counts once without it. */
  amount?: string
}

const EVENT_COUNTERS: readonly EventCounter[] = [
  { kind: 'request-rejected', name: 'plumstage_rejected_requests_total', help: 'Requests that were rejected before an attempt, by reason.', label: { attribute: 'reason', name: 'reason' } },
  { kind: 'request-abandoned', name: 'plumstage_abandoned_requests_total', help: 'Requests whose callers had left before they were read.' },
  { kind: 'attempt-failed', name: 'plumstage_failed_attempts_total', help: 'Attempts that failed, by failure.', label: { attribute: 'failure', name: 'failure' } },
  { kind: 'limited-attempt-started', name: 'plumstage_limited_attempts_total', help: 'Attempts sent to upstreams that state a request limit, by kind.', label: { attribute: 'attemptKind', name: 'kind' } },
  { kind: 'configuration-ignored', name: 'plumstage_ignored_configurations_total', help: 'Configurations that were received and did not come into force, by reason.', label: { attribute: 'reason', name: 'reason' } },
  { kind: 'store-connections-replaced', name: 'plumstage_store_silences_total', help: 'How often the connections to the store were replaced because one did not answer in time.' },
  { kind: 'store-lost', name: 'plumstage_store_losses_total', help: 'How often the store stopped answering the watch of this gateway.' },
  { kind: 'deployment-pull-failed', name: 'plumstage_failed_pulls_total', help: 'Snapshots of the deployment that could not be read from peers.' },
  { kind: 'store-snapshot-read', name: 'plumstage_store_snapshots_total', help: 'Snapshots of all entries that were read from the store, by reason.', label: { attribute: 'reason', name: 'reason' } },
  { kind: 'upstream-connections-replaced', name: 'plumstage_upstream_silences_total', help: 'How often the connections to all upstreams were replaced because they were silent while new ones were answered.' },
  { kind: 'upstream-links-probed', name: 'plumstage_link_probes_total', help: 'Probes of upstreams that show whether the links of this gateway work.', amount: 'probes' },
  { kind: 'rollout-decided', name: 'plumstage_rollout_decisions_total', help: 'Changes of the stage of roll-outs that this gateway decided, by stage.', label: { attribute: 'stage', name: 'stage' } },
  { kind: 'task-failed', name: 'plumstage_task_failures_total', help: 'Errors that a background task did not handle, by task.', label: { attribute: 'task', name: 'task' } },
  { kind: 'stream-archive-read', name: 'plumstage_stream_archive_reads_total', help: 'Shards of the archive of stream origins that were read.' },
  { kind: 'stream-archive-not-written', name: 'plumstage_stream_archive_failures_total', help: 'Batches for the archive of stream origins that the store did not take at once.' }
]

/** Counts requests, rejections and failed attempts from events, and exposes gauges of the gateway's state. */
export class ServingMetrics {
  private readonly _registry = MetricRegistry.create()
  private readonly _requests: Counter
  private readonly _linkChanges: Counter
  private readonly _firstEvent: Histogram
  private readonly _duration: Histogram
  private readonly _eventCounters = new Map<string, { definition: EventCounter, counter: Counter }>()

  private constructor (sources: ServingMetricSources) {
    const { registers } = this._registry
    for (const definition of EVENT_COUNTERS) {
      const { kind, name, help, label } = definition
      this._eventCounters.set(kind, { definition, counter: new Counter({ name, help, labelNames: label ? [label.name] : [], registers }) })
    }
    this._requests = new Counter({ name: 'plumstage_requests_total', help: 'Requests that ended, by outcome, status and route.', labelNames: ['outcome', 'status', 'route'], registers })
    this._linkChanges = new Counter({ name: 'plumstage_link_changes_total', help: 'How often the links of this gateway to all upstreams were lost and regained, by change.', labelNames: ['change'], registers })
    this._firstEvent = new Histogram({ name: 'plumstage_first_event_seconds', help: 'Time from acceptance to the first event of a stream.', buckets: LATENCY_BUCKETS_SECONDS, registers })
    this._duration = new Histogram({ name: 'plumstage_request_seconds', help: 'Time from acceptance to the end of a request.', labelNames: ['route'], buckets: LATENCY_BUCKETS_SECONDS, registers })
    this._registry.addGauge('plumstage_running_requests', 'Requests that run at an upstream.', sources.running)
    this._registry.addGauge('plumstage_configuration_revision', 'Store revision of the configuration in force.', sources.configurationRevision)
    this._registry.addGauge('plumstage_configuration_version', 'Version of the configuration in force; NaN without one.', sources.configurationVersion)
    this._registry.addGauge('plumstage_peers_configuration_version', 'Newest version that peers have reported; NaN without one.', sources.peersConfigurationVersion)
    this._registry.addGauge('plumstage_store_silent_seconds', 'Time since the last answer of the store to a watch or a snapshot; NaN before the first.', () => sources.storeSilentMilliseconds() / MILLISECONDS_PER_SECOND)
    this._registry.addGauge('plumstage_upstreams_revision', 'Store revision of the last known change to the list of upstreams.', sources.upstreamsRevision)
    this._registry.addGauge('plumstage_store_era', 'Era of the store that this gateway knows: how often the store has come back from a copy; 0 when it does not state that.', sources.storeEra)
    this._registry.addGauge('plumstage_present_gateways', 'Gateways that are heard, this one included.', sources.presentGateways)
    this._registry.addGauge('plumstage_aggregate_age_seconds', 'Time since the last sums over all gateways arrived; NaN while none are used.', () => sources.aggregateAgeMilliseconds() / MILLISECONDS_PER_SECOND)
    this._registry.addGauge('plumstage_limited_upstreams', 'Upstreams that state a request limit, as known to this gateway.', sources.limitedUpstreams)
    this._registry.addGauge('plumstage_quarantined_prompt_parts', 'Parts of prompts that are rejected because upstreams crashed when they began to respond to them.', sources.quarantinedParts)
    this._registry.addGauge('plumstage_quarantined_requests', 'Digests of requests that are rejected, but for trials, because upstreams crashed while they executed them.', sources.quarantinedRequests)
    this._registry.addGauge('plumstage_upstream_links_lost', 'Whether this gateway reaches no upstream itself.', () => Number(sources.areLinksLost()))
    this._registry.addGauge('plumstage_open_tunnels', 'Tunnels to upstreams that this gateway carries for others.', sources.openTunnels)
    this._registry.addGauge('plumstage_dropped_log_lines', 'Log lines that the reader did not take in time.', sources.droppedLogLines)
    this._registry.addGauge('plumstage_unsent_messages', 'Messages to peers that the system did not send.', sources.unsentMessages)
    this._registry.addGauge('plumstage_left_out_report_items', 'Items that did not fit into reports to peers; most follow with later reports.', sources.leftOutReportItems)
    this._registry.addLabeledGauge('plumstage_reset_connections', 'Connections that this gateway has reset because a call on them was given up before its answer, by target.', 'target', sources.connectionResets)
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
    this._countEvent(kind, attributes)
    if (kind === 'request-ended') {
      this._requests.inc({ outcome: String(attributes?.outcome), status: String(attributes?.status), route: String(attributes?.route) })
      this._duration.observe({ route: String(attributes?.route) }, Number(attributes?.milliseconds) / MILLISECONDS_PER_SECOND)
    } else if (kind === 'upstream-links-lost') this._linkChanges.inc({ change: 'lost' })
    else if (kind === 'upstream-links-regained') this._linkChanges.inc({ change: 'regained' })
    else if (kind === 'first-event') this._firstEvent.observe(Number(attributes?.milliseconds) / MILLISECONDS_PER_SECOND)
  }

  private _countEvent (kind: string, attributes: ActionEvent['attributes']): void {
    const known = this._eventCounters.get(kind)
    if (!known) return
    const { definition: { label, amount }, counter } = known
    counter.inc(label ? { [label.name]: String(attributes?.[label.attribute]) } : {}, amount === undefined ? 1 : Number(attributes?.[amount]))
  }
}
