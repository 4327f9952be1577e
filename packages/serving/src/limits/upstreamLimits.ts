/**
 * Keeps the requests of this gateway within its shares of the limits that upstreams state, and exchanges what is known
 * of the limits with the other gateways.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { PeerTable } from '../peers/peerTable.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { LimitHolders } from './limitHolders.js'
import type { ReportedLimit } from './reportedLimit.js'
import { RequestPacer } from './requestPacer.js'
import type { LimitShare } from './requestPacer.js'
import type { LimitStatement } from './statedLimit.js'

/** The end of a limit is reported for this long. */
const REPORT_END_MILLISECONDS = 60_000
/** Bounds the size of a report; the limits that were stated last are included. */
const MAXIMUM_REPORTED_LIMITS = 200
/** A statement counts as older than its report says by this time, which is longer than its usual way. */
const REPORT_DELAY_MILLISECONDS = 100

/** How this gateway has learnt of a limit: by a response to one of its requests, or from another gateway. */
export type LimitSource = 'response' | 'report'

/** Called when the limit of an upstream has begun, changed or ended. */
export type LimitListener = (upstream: Upstream, source: LimitSource) => void

interface PacedUpstream {
  share: LimitShare
  pacer: RequestPacer
}

/** The limits of all upstreams at one gateway. */
export class UpstreamLimits {
  private readonly _holders: LimitHolders
  /** Identity of this run of the gateway in the statements that it passes on. */
  private readonly _origin: number
  private readonly _paced = new Map<Upstream, PacedUpstream>()
  /** Whether a limit has begun or ended since the last report. */
  private _isReportUrgent = false
  private _listener: LimitListener = () => {}

  private constructor (peers: PeerTable, origin: number) {
    this._holders = LimitHolders.create(peers)
    this._origin = origin
  }

  /** `origin` is a random 32-bit number. */
  static create (peers: PeerTable, origin: number): UpstreamLimits {
    return new UpstreamLimits(peers, origin)
  }

  onChange (listener: LimitListener): void {
    this._listener = listener
  }

  /** Whether the other gateways should receive a report before the regular interval ends. */
  get isReportUrgent (): boolean {
    return this._isReportUrgent
  }

  /** Whether this gateway may send a request to the upstream now. */
  hasRoom (upstream: Upstream, now: Timestamp): boolean {
    return this.nextRoomAt(upstream, now) <= now
  }

  /** When this gateway may send its next request to the upstream; never, if it has no share of the limit. */
  nextRoomAt (upstream: Upstream, now: Timestamp): Timestamp {
    const { requestsPerSecond } = upstream.limit
    if (requestsPerSecond === undefined) return now
    return this._pace(upstream, requestsPerSecond, now)?.pacer.nextSendAt ?? Number.POSITIVE_INFINITY
  }

  /** Counts a request that is sent to the upstream, whatever the reason. */
  recordSend (upstream: Upstream, now: Timestamp): void {
    this._paced.get(upstream)?.pacer.recordSend(now)
  }

  /** Applies what a response states to a request that was sent at `sentAt`. */
  applyResponse (upstream: Upstream, statement: LimitStatement, sentAt: Timestamp, now: Timestamp): void {
    const before = upstream.limit.requestsPerSecond
    if (upstream.limit.applyResponse(statement, this._origin, sentAt, now)) this._recordChange(upstream, before, 'response')
  }

  /** Applies what another gateway reports. */
  applyReport (upstream: Upstream, { requestsPerSecond, ageMilliseconds, origin, number }: ReportedLimit, now: Timestamp): void {
    const before = upstream.limit.requestsPerSecond
    const observation = { requestsPerSecond, statedAt: now - ageMilliseconds - REPORT_DELAY_MILLISECONDS, origin, number }
    if (upstream.limit.applyReport(observation, now)) this._recordChange(upstream, before, 'report')
  }

  /** Returns what to report to the other gateways: the limits that were stated last, up to a maximum. */
  createReport (upstreams: readonly Upstream[], now: Timestamp, maximum = MAXIMUM_REPORTED_LIMITS): ReportedLimit[] {
    this._isReportUrgent = false
    const reported = upstreams
      .map(upstream => describeLimit(upstream, now))
      .filter(limit => limit !== undefined)
    if (reported.length <= maximum) return reported
    return reported.sort((left, right) => left.ageMilliseconds - right.ageMilliseconds).slice(0, maximum)
  }

  /** Forgets an upstream that has been removed. */
  remove (upstream: Upstream): void {
    this._paced.delete(upstream)
    this._holders.forget(upstream.listed.id)
  }

  private _recordChange (upstream: Upstream, before: number | undefined, source: LimitSource): void {
    const after = upstream.limit.requestsPerSecond
    if ((before === undefined) !== (after === undefined)) this._isReportUrgent = true
    if (after === undefined) this._paced.delete(upstream)
    this._listener(upstream, source)
  }

  private _pace (upstream: Upstream, requestsPerSecond: number, now: Timestamp): PacedUpstream | undefined {
    const share = this._holders.shareOf(upstream.listed.id, requestsPerSecond, now)
    const paced = this._paced.get(upstream)
    if (!share) {
      this._paced.delete(upstream)
      return undefined
    }
    if (!paced) return this._startPacing(upstream, share, now)
    if (share.requestsPerSecond === paced.share.requestsPerSecond && share.burstRequests === paced.share.burstRequests) return paced
    paced.share = share
    paced.pacer.update(share, now)
    return paced
  }

  private _startPacing (upstream: Upstream, share: LimitShare, now: Timestamp): PacedUpstream {
    const paced = { share, pacer: RequestPacer.create(share, now) }
    this._paced.set(upstream, paced)
    return paced
  }
}

/** Returns what to report of an upstream; undefined if it states no limit and has not done so for a while. */
function describeLimit ({ listed, limit: { latest } }: Upstream, now: Timestamp): ReportedLimit | undefined {
  if (latest === undefined) return undefined
  if (latest.requestsPerSecond === undefined && latest.statedAt <= now - REPORT_END_MILLISECONDS) return undefined
  const { requestsPerSecond, origin, number } = latest
  return { upstream: listed.id, incarnation: listed.incarnation, requestsPerSecond, ageMilliseconds: Math.max(0, Math.round(now - latest.statedAt)), origin, number }
}
