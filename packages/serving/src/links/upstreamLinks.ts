/**
 * Decides whether this gateway has lost its links to all upstreams, or only the connections that are open. Requests only raise the
 * doubt, because a failed or silent one may also be the fault of its upstream; probes of several upstreams settle it.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { ProbeRotation } from './probeRotation.js'

/** Failures at a single upstream cause no round while another one has been heard within this time. */
const CONTACT_MILLISECONDS = 250
/** A round that was caused by failures begins at the earliest this long after the previous round. */
const PROBE_INTERVAL_MILLISECONDS = 250
/** Silence of all direct exchanges after which upstreams are probed. */
const SILENCE_MILLISECONDS = 400
/** Silence of all direct exchanges after which open connections count as silent while probes are answered; busy upstreams let requests wait, too. */
const SILENT_CONNECTIONS_MILLISECONDS = 1000
/** A round that was caused by silence begins at the earliest this long after the previous round. */
const SILENCE_PROBE_INTERVAL_MILLISECONDS = 1000
const PROBES_PER_ROUND = 3
const LOST_PROBE_INTERVAL_MILLISECONDS = 500
const LOST_PROBES_PER_ROUND = 2
/** One upstream alone can't show whether it has failed or the link to it. */
const MINIMUM_PROBES = 2
/** A longer time between two checks shows that this process was suspended or held up. */
const MAXIMUM_CHECK_GAP_MILLISECONDS = 400

/** Whether this gateway reaches upstreams directly. */
export type UpstreamLinkState = 'working' | 'lost'

/** A change of the state. */
export type UpstreamLinkChange = 'lost' | 'regained'

/** How a probe ended: with a response, with a connection that was refused or reset, or without either in time. */
export type ProbeOutcome = 'responded' | 'refused' | 'silent'

/** Outcome of the probe of one upstream. */
export interface ProbeResult {
  upstream: Upstream
  outcome: ProbeOutcome
}

/** Follows the direct exchanges of one gateway, and plans the probes. */
export class UpstreamLinks {
  private readonly _rotation = ProbeRotation.create()
  private _state: UpstreamLinkState = 'working'
  private _runningExchanges = 0
  /** Undefined while no exchange runs. */
  private _silentSince: Timestamp | undefined
  private _lastContactAt: Timestamp = Number.NEGATIVE_INFINITY
  /** Upstreams at which connections have failed since the last round that had a result. */
  private readonly _failedUpstreams = new Set<string>()
  private _pendingFailures = 0
  private _isRoundRunning = false
  private _roundBeganAt: Timestamp = Number.NEGATIVE_INFINITY
  private _lastCheckAt: Timestamp | undefined
  private _lastPauseAt: Timestamp = Number.NEGATIVE_INFINITY
  private _connectionsSilentSince: Timestamp | undefined

  static create (): UpstreamLinks {
    return new UpstreamLinks()
  }

  get state (): UpstreamLinkState {
    return this._state
  }

  /** Whether a round of probes runs that may find that the links are lost. */
  get isDoubtful (): boolean {
    return this._state === 'working' && this._isRoundRunning
  }

  get isRoundRunning (): boolean {
    return this._isRoundRunning
  }

  /**
   * Time since which no open connection has brought a byte, although new ones are answered; undefined when that is not so, as far as
   * the last round of probes has shown.
   */
  get connectionsSilentSince (): Timestamp | undefined {
    return this._connectionsSilentSince
  }

  /** Failures since the last round that had a result. */
  get pendingFailures (): number {
    return this._pendingFailures
  }

  /** Time since which direct exchanges have had no bytes from any upstream; undefined while none runs. */
  silentSince (now: Timestamp): Timestamp | undefined {
    return this._silentSince !== undefined && this._isCheckLate(now) ? now : this._silentSince
  }

  /** Records that a direct request begins to wait for bytes. */
  beginExchange (now: Timestamp): void {
    this._runningExchanges++
    this._silentSince ??= now
  }

  /** Records that a direct request no longer waits for bytes. */
  endExchange (): void {
    this._runningExchanges--
    if (this._runningExchanges === 0) this._silentSince = undefined
  }

  /** Records that bytes of a response arrived over a direct connection. */
  recordContact (now: Timestamp): void {
    this._lastContactAt = now
    if (this._silentSince !== undefined) this._silentSince = now
  }

  /** Records that a direct connection could not be established, or was lost. */
  recordFailure (upstreamId: string, now: Timestamp): void {
    this._rotation.recordFailure(upstreamId, now)
    if (this._state !== 'working') return
    this._pendingFailures++
    this._failedUpstreams.add(upstreamId)
  }

  /** Returns the upstreams to probe now; to be called at short intervals. A round that was returned ends with `recordRound`. */
  planProbe (upstreams: readonly Upstream[], now: Timestamp): readonly Upstream[] {
    this._check(now)
    if (this._isRoundRunning || !this._isRoundDue(now)) return []
    const present = upstreams.filter(upstream => !upstream.isLeaving)
    if (this._state === 'working' && present.length < MINIMUM_PROBES) {
      this._forgetFailures()
      return []
    }
    const chosen = this._rotation.choose(present, this._state === 'working' ? PROBES_PER_ROUND : LOST_PROBES_PER_ROUND, now)
    if (chosen.length === 0) return []
    this._isRoundRunning = true
    this._roundBeganAt = now
    return chosen
  }

  /** Records the results of a round; none if there is no upstream that could be probed. A round may end at the first response. */
  recordRound (results: readonly ProbeResult[], now: Timestamp): UpstreamLinkChange | undefined {
    this._check(now)
    this._isRoundRunning = false
    for (const { upstream, outcome } of results) this._recordResult(upstream.listed.id, outcome, now)
    this._connectionsSilentSince = this._areConnectionsSilent(results, now) ? this._silentSince : undefined
    if (results.length === 0 || results.some(result => result.outcome === 'responded')) return this._enter('working')
    if (this._wasRoundInterrupted) return undefined
    return this._enter(this._isExplainedByUpstreams(results) ? 'working' : 'lost')
  }

  /** Where nothing at all is heard but the probes, the open connections are silent. */
  private _areConnectionsSilent (results: readonly ProbeResult[], now: Timestamp): boolean {
    if (this._wasRoundInterrupted || this._silentSince === undefined) return false
    return now - this._silentSince >= SILENT_CONNECTIONS_MILLISECONDS && results.some(({ outcome }) => outcome === 'responded')
  }

  private get _wasRoundInterrupted (): boolean {
    return this._lastPauseAt >= this._roundBeganAt
  }

  /** Probes also wait in the queues of busy upstreams. If bytes arrived meanwhile, only refusals of all show that no connection can be opened. */
  private _isExplainedByUpstreams (results: readonly ProbeResult[]): boolean {
    if (results.length < MINIMUM_PROBES) return true
    return this._lastContactAt >= this._roundBeganAt && results.some(result => result.outcome === 'silent')
  }

  private _recordResult (upstreamId: string, outcome: ProbeOutcome, now: Timestamp): void {
    if (outcome === 'responded') this._rotation.recordResponse(upstreamId)
    else this._rotation.recordFailure(upstreamId, now)
  }

  private _forgetFailures (): void {
    this._pendingFailures = 0
    this._failedUpstreams.clear()
  }

  private _enter (state: UpstreamLinkState): UpstreamLinkChange | undefined {
    this._forgetFailures()
    if (state === this._state) return undefined
    this._state = state
    return state === 'lost' ? 'lost' : 'regained'
  }

  private _isRoundDue (now: Timestamp): boolean {
    const sinceRound = now - this._roundBeganAt
    if (this._state === 'lost') return sinceRound >= LOST_PROBE_INTERVAL_MILLISECONDS
    if (this._areFailuresDoubtful(now) && sinceRound >= PROBE_INTERVAL_MILLISECONDS) return true
    return this._silentSince !== undefined && now - this._silentSince >= SILENCE_MILLISECONDS && sinceRound >= SILENCE_PROBE_INTERVAL_MILLISECONDS
  }

  private _areFailuresDoubtful (now: Timestamp): boolean {
    return this._failedUpstreams.size >= MINIMUM_PROBES || (this._failedUpstreams.size > 0 && now >= this._lastContactAt + CONTACT_MILLISECONDS)
  }

  private _isCheckLate (now: Timestamp): boolean {
    return this._lastCheckAt !== undefined && now - this._lastCheckAt > MAXIMUM_CHECK_GAP_MILLISECONDS
  }

  /** While this process was suspended, it could not read what arrived. */
  private _check (now: Timestamp): void {
    if (this._isCheckLate(now)) {
      this._lastPauseAt = now
      if (this._silentSince !== undefined) this._silentSince = now
    }
    this._lastCheckAt = now
  }
}
