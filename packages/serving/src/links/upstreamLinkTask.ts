/**
 * Finds out whether this gateway's links to all upstreams are lost: reports its direct exchanges to the decision, and runs
 * the probes that the decision plans.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { UpstreamLinks } from './upstreamLinks.js'
import type { ProbeResult, UpstreamLinkChange, UpstreamLinkState } from './upstreamLinks.js'
import type { UpstreamProbe } from './upstreamProbe.js'

const CHECK_MILLISECONDS = 100
/** A request waits at most this long for probes before its next attempt. */
const MAXIMUM_SETTLE_MILLISECONDS = 500
const DEFAULT_PATH = '/'

/** Dependencies and callbacks of the task. */
export interface UpstreamLinkTaskOptions {
  listUpstreams: () => readonly Upstream[]
  /** Returns the path of the health check of a service's upstreams; undefined when there is none. */
  healthPathOf: (service: string) => string | undefined
  probe: UpstreamProbe
  clock: Clock
  instrumentation: Instrumentation
  onLost: () => void
  /** Called when open connections have been silent since a time although new ones are answered; again while that lasts. */
  onConnectionsSilent: (since: Timestamp) => void
  onRegained: () => void
}

/** Follows the links of one gateway. */
export class UpstreamLinkTask {
  private readonly _options: UpstreamLinkTaskOptions
  private readonly _links = UpstreamLinks.create()
  private readonly _settleListeners = new Set<() => void>()
  private _lostAt: Timestamp = 0

  private constructor (options: UpstreamLinkTaskOptions) {
    this._options = options
  }

  static create (options: UpstreamLinkTaskOptions): UpstreamLinkTask {
    return new UpstreamLinkTask(options)
  }

  get state (): UpstreamLinkState {
    return this._links.state
  }

  /** Time since which direct exchanges have had no bytes from any upstream; undefined while none runs. */
  get silentSince (): Timestamp | undefined {
    return this._links.silentSince(this._options.clock.now())
  }

  /** Records that a direct request begins to wait for bytes. */
  beginExchange (): void {
    this._links.beginExchange(this._options.clock.now())
  }

  /** Records that a direct request no longer waits for bytes; to be called once for each one that began. */
  endExchange (): void {
    this._links.endExchange()
  }

  /** Records that bytes of a response arrived over a direct connection. */
  recordContact (): void {
    this._links.recordContact(this._options.clock.now())
  }

  /** Records that a direct connection could not be established, or was lost; starts the probes if they are due. */
  recordFailure (upstream: Upstream): void {
    this._links.recordFailure(upstream.listed.id, this._options.clock.now())
    this._check()
  }

  /** Resolves when the probes show whether the links are lost; at once if there is no doubt, and in any case after a short time. */
  async settled (): Promise<void> {
    const { clock } = this._options
    if (!this._links.isDoubtful) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        this._settleListeners.delete(finish)
        timer.cancel()
        resolve()
      }
      const timer = clock.schedule(clock.now() + MAXIMUM_SETTLE_MILLISECONDS, finish)
      this._settleListeners.add(finish)
    })
  }

  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      this._check()
      await context.sleepUntil(this._options.clock.now() + CHECK_MILLISECONDS)
    }
  }

  private _check (): void {
    const { listUpstreams, clock } = this._options
    const upstreams = listUpstreams()
    if (this.state === 'lost' && !this._links.isRoundRunning && upstreams.every(upstream => upstream.isLeaving)) return this._endRound([])
    const planned = this._links.planProbe(upstreams, clock.now())
    if (planned.length > 0) return void this._probe(planned)
    if (!this._links.isDoubtful) this._settle()
  }

  private async _probe (upstreams: readonly Upstream[]): Promise<void> {
    const { instrumentation } = this._options
    instrumentation.emit('upstream-links-probed', { state: this.state, probes: upstreams.length, failures: this._links.pendingFailures, silentMilliseconds: this._silentMilliseconds })
    this._endRound(await this._collectResults(upstreams))
  }

  /** Resolves at the first response, or when all probes have ended. */
  private async _collectResults (upstreams: readonly Upstream[]): Promise<readonly ProbeResult[]> {
    const { probe, healthPathOf } = this._options
    const results: ProbeResult[] = []
    await new Promise<void>(resolve => {
      for (const upstream of upstreams) {
        void probe.probe(upstream, healthPathOf(upstream.listed.service) ?? DEFAULT_PATH).then(outcome => {
          results.push({ upstream, outcome })
          if (outcome === 'responded' || results.length === upstreams.length) resolve()
        })
      }
    })
    return [...results]
  }

  private _endRound (results: readonly ProbeResult[]): void {
    const failures = this._links.pendingFailures
    const change = this._links.recordRound(results, this._options.clock.now())
    if (change) this._announce(change, results, failures)
    const { connectionsSilentSince } = this._links
    if (connectionsSilentSince !== undefined) this._options.onConnectionsSilent(connectionsSilentSince)
    if (!this._links.isDoubtful) this._settle()
  }

  private _announce (change: UpstreamLinkChange, results: readonly ProbeResult[], failures: number): void {
    const { clock, instrumentation, onLost, onRegained } = this._options
    const probed = results.map(({ upstream, outcome }) => `${upstream.listed.id}:${outcome}`).join(' ')
    if (change === 'lost') {
      this._lostAt = clock.now()
      instrumentation.emit('upstream-links-lost', { probed, failures, silentMilliseconds: this._silentMilliseconds })
      return onLost()
    }
    instrumentation.emit('upstream-links-regained', { probed, lostMilliseconds: clock.now() - this._lostAt })
    onRegained()
  }

  private get _silentMilliseconds (): number {
    const now = this._options.clock.now()
    return now - (this._links.silentSince(now) ?? now)
  }

  private _settle (): void {
    for (const finish of [...this._settleListeners]) finish()
  }
}
