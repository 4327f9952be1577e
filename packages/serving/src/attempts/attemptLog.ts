/**
 * The log lines about one request and its attempts.
 *
 * @module
 */
import type { Instrumentation, Timestamp } from '@plumstage/common'
import type { CallerHead } from '../callers/callerProtocol.js'
import { describeBasis } from '../deployment/decisionBasis.js'
import type { LimitStatement } from '../limits/statedLimit.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { ContinuationSummary } from './streamResponse.js'
import type { AttemptOutcome } from './upstreamAttempt.js'

/** Values of upstreams that can't be read, and ids that callers choose, are cut to this length. */
const MAXIMUM_VALUE_LENGTH = 40

const MAXIMUM_LOGGED_PARTS = 8

/** Whether an attempt is the first of its request, repeats it, or continues its stream after the events so far. */
export type AttemptKind = 'first' | 'retry' | 'continuation'

/** An attempt that is being started. */
export interface StartedAttempt {
  upstream: Upstream
  kind: AttemptKind
  startedAt: Timestamp
  /** Id of the last event that the caller has received; undefined when there is none. */
  lastEventId: number | undefined
  /** Whether the caller has already received a part of the response to this request. */
  withinResponse: boolean
}

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  upstream: Upstream
  /** Address of the peer that carried it; undefined if there was none. */
  peer: string | undefined
  outcome: AttemptOutcome
  /** Revision of the list of upstreams that the gateway knows. */
  listRevision: number
  /** Events that the caller has received. */
  events: number
  /** Whether this attempt has brought any of them. */
  hasBegun: boolean
}

/** The first event of a stream. */
export interface FirstEvent {
  upstream: Upstream
  /** Time since the request was accepted. */
  milliseconds: number
  prefillTokens: number
  backlogTokens: number
}

/** What is known when a request has ended. */
export interface EndedRequest {
  outcome: string
  status: number
  attempts: number
  events: number
  /** Time from acceptance to the first event; undefined when there was none. */
  firstEventMilliseconds: number | undefined
  /** Time since the request was accepted. */
  milliseconds: number
  /** Upstream of the last attempt. */
  upstream: Upstream | undefined
  configurationRevision: number | undefined
}

/** Writes the lines of one request. */
export class AttemptLog {
  private readonly _instrumentation: Instrumentation
  private readonly _head: CallerHead

  private constructor (instrumentation: Instrumentation, head: CallerHead) {
    this._instrumentation = instrumentation
    this._head = head
  }

  static create (instrumentation: Instrumentation, head: CallerHead): AttemptLog {
    return new AttemptLog(instrumentation, head)
  }

  /** Only attempts at upstreams that state a limit, and those that continue a stream, have a line. */
  recordStarted (attempt: StartedAttempt): void {
    this._recordLimit(attempt)
    this._recordContinuation(attempt)
  }

  recordFailed ({ upstream, peer, outcome, listRevision, events, hasBegun }: FailedAttempt): void {
    if (outcome.kind === 'complete') return
    const { failure, detail } = outcome
    const { requests, waitingTokens } = upstream
    this._instrumentation.emit('attempt-failed', { upstream: upstream.listed.id, peer, failure, detail, requests, waitingTokens, listRevision, events, hasBegun, promptParts: this._promptParts }, this._head.requestId)
  }

  /** Only an attempt that continued a stream and was answered has a line. */
  recordContinuationEnded ({ listed }: Upstream, outcome: AttemptOutcome, continuation: ContinuationSummary | undefined): void {
    if (!continuation) return
    const result = outcome.kind === 'complete' ? outcome.kind : outcome.failure
    this._instrumentation.emit('stream-continuation-ended', { upstream: listed.id, result, ...continuation }, this._head.requestId)
  }

  recordFirstEvent ({ upstream, ...event }: FirstEvent): void {
    const { requestId, resumedRequestId: resumedRequest, lastEventId: resumeAfter } = this._head
    const { listed, requests } = upstream
    this._instrumentation.emit('first-event', { upstream: listed.id, softwareVersion: listed.softwareVersion, resumedRequest, resumeAfter, ...event, requests }, requestId)
  }

  recordEnded ({ route, service, workspace, quotaUnits, acceptedAt, deadline, basis }: AcceptedRequest, { upstream, ...ended }: EndedRequest): void {
    const allowedMilliseconds = Math.round(deadline - acceptedAt)
    this._instrumentation.emit('request-ended', { ...ended, route: route.name, service: service.name, workspace, quotaUnits, allowedMilliseconds, ...describeBasis(basis), upstream: upstream?.listed.id }, this._head.requestId)
  }

  /** The upstream has stated for the first time that it is leaving. */
  recordLeaving ({ listed }: Upstream): void {
    this._instrumentation.emit('upstream-stated-leaving', { upstream: listed.id, service: listed.service, listedState: listed.state }, this._head.requestId)
  }

  recordRetryAfter ({ listed }: Upstream, milliseconds: number): void {
    this._instrumentation.emit('upstream-asked-to-wait', { upstream: listed.id, service: listed.service, milliseconds: Math.round(milliseconds) }, this._head.requestId)
  }

  /** Only a statement that can't be read has a line. */
  recordStatement (upstream: Upstream, statement: LimitStatement): void {
    if (statement.kind !== 'unreadable') return
    this._instrumentation.emit('upstream-limit-unreadable', { upstream: upstream.listed.id, value: statement.text.slice(0, MAXIMUM_VALUE_LENGTH) }, this._head.requestId)
  }

  /** Ids of the prompt segments that other requests may share; undefined when the request has none. */
  private get _promptParts (): string | undefined {
    const shared = this._head.generation?.segments.slice(0, -1) ?? []
    return shared.length === 0 ? undefined : shared.slice(0, MAXIMUM_LOGGED_PARTS).map(({ id }) => id.slice(0, MAXIMUM_VALUE_LENGTH)).join(' ')
  }

  private _recordLimit ({ upstream, kind, startedAt }: StartedAttempt): void {
    const known = upstream.limit.latest
    if (known?.requestsPerSecond === undefined) return
    const limitAgeMilliseconds = Math.round(startedAt - known.statedAt)
    this._instrumentation.emit('limited-attempt-started', { upstream: upstream.listed.id, requestsPerSecond: known.requestsPerSecond, limitAgeMilliseconds, attemptKind: kind }, this._head.requestId)
  }

  private _recordContinuation ({ upstream: { listed }, lastEventId, withinResponse }: StartedAttempt): void {
    if (lastEventId === undefined) return
    const { requestId, resumedRequestId: resumedRequest } = this._head
    this._instrumentation.emit('stream-continued', { upstream: listed.id, softwareVersion: listed.softwareVersion, resumedRequest, resumeAfter: lastEventId, withinResponse }, requestId)
  }
}
