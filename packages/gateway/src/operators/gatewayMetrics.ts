/**
 * Metrics of a gateway, derived from its events.
 *
 * @module
 */
import { Counter, Histogram } from 'prom-client'
import type { ActionEvent, Instrumentation, Timestamp } from '@plumstage/common'
import { MetricRegistry } from '@plumstage/serving/metricRegistry'

const FIRST_BYTES_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2.5, 5, 10, 30]
const MILLISECONDS_PER_SECOND = 1000

/** Values that are sampled when the metrics are scraped. */
export interface MetricSources {
  waiting (): number
  running (): number
  /** Connections that this gateway has reset because a call on them was given up, by target. */
  connectionResets (): ReadonlyMap<string, number>
  configurationRevision (): number
  /** Whether the key-value service is being watched for configuration changes. */
  following (): boolean
  presentMembers (): number
}

/** Updates the counters and histograms of a gateway from its events. */
export class GatewayMetrics {
  private readonly _registry = MetricRegistry.create()
  private readonly _requests: Counter
  private readonly _refusals: Counter
  private readonly _attempts: Counter
  private readonly _firstBytes: Histogram
  private readonly _acceptedAt = new Map<string, Timestamp>()

  private constructor (sources: MetricSources) {
    const { registers } = this._registry
    this._requests = new Counter({ name: 'plumstage_requests_total', help: 'Requests that ended, by outcome and reason.', labelNames: ['outcome', 'reason'], registers })
    this._refusals = new Counter({ name: 'plumstage_refused_calls_total', help: 'Calls that were refused before they became requests, by code.', labelNames: ['code'], registers })
    this._attempts = new Counter({ name: 'plumstage_attempts_total', help: 'Attempts that ended, by ending.', labelNames: ['ending'], registers })
    this._firstBytes = new Histogram({ name: 'plumstage_first_bytes_seconds', help: 'Time from acceptance to the first bytes of a streamed answer.', buckets: FIRST_BYTES_BUCKETS_SECONDS, registers })
    this._registry.addGauge('plumstage_waiting_requests', 'Requests that wait for an upstream.', sources.waiting)
    this._registry.addGauge('plumstage_running_requests', 'Requests that run on an upstream.', sources.running)
    this._registry.addLabeledGauge('plumstage_reset_connections', 'Connections that this gateway has reset because a call on them was given up before its answer, by target.', 'target', () => sources.connectionResets())
    this._registry.addGauge('plumstage_configuration_revision', 'Revision of the configuration in force.', sources.configurationRevision)
    this._registry.addGauge('plumstage_key_value_service_followed', 'Whether the key-value service is being followed.', () => Number(sources.following()))
    this._registry.addGauge('plumstage_present_members', 'Other gateways that are not called dead.', sources.presentMembers)
  }

  static create (sources: MetricSources, instrumentation: Instrumentation): GatewayMetrics {
    const metrics = new GatewayMetrics(sources)
    instrumentation.addListener(event => metrics._count(event))
    return metrics
  }

  get contentType (): string {
    return this._registry.contentType
  }

  async format (): Promise<string> {
    return await this._registry.format()
  }

  private _count (event: ActionEvent): void {
    switch (event.kind) {
      case 'request-accepted':
        this._acceptedAt.set(event.request!, event.time)
        return
      case 'request-refused':
        this._refusals.inc({ code: String(event.attributes?.code) })
        return
      case 'first-bytes':
        this._observeFirstBytes(event)
        return
      case 'attempt-ended':
        this._attempts.inc({ ending: String(event.attributes?.ending) })
        return
      case 'request-ended':
        this._acceptedAt.delete(event.request!)
        this._requests.inc({ outcome: String(event.attributes?.outcome), reason: String(event.attributes?.reason ?? 'none') })
    }
  }

  private _observeFirstBytes (event: ActionEvent): void {
    const acceptedAt = this._acceptedAt.get(event.request!)
    if (acceptedAt !== undefined) this._firstBytes.observe((event.time - acceptedAt) / MILLISECONDS_PER_SECOND)
  }
}
