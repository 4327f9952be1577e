/**
 * The course of one request, from its claim to its answer. A decision: it takes messages and the time and returns
 * actions; the request task carries them out.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Idempotency, UpstreamAbilities } from '@plumstage/records'
import type { RefusalReason } from '../admission/dispatcher.js'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import { decideAttemptOutcome, decideRequestOutcome, isSafeToRetry } from './attemptOutcome.js'
import type { AttemptReport, DispatchState, Outcome } from './attemptOutcome.js'

/** How long before the deadline of its claim a request is no longer dispatched. */
export const CLAIM_DISPATCH_MARGIN_MILLISECONDS = 2000

const MAXIMUM_ATTEMPTS = 5
const MAXIMUM_ATTEMPTS_WITH_MIGRATIONS = 20
const BASE_RETRY_DELAY_MILLISECONDS = 100

/** What the course of a request depends on. */
export interface LifecycleRequest {
  requestId: string
  idempotency: Idempotency
  hasIdempotencyKey: boolean
  abilities: UpstreamAbilities
  answerDeadline: Timestamp
  /** Set when another gateway had accepted the request: it goes first, and it may have run there. */
  handedOver?: { mayHaveRun: boolean }
}

/** Why a request ended without a whole answer. */
export type FailureReason = RefusalReason | 'attempts-failed' | 'answer-deadline' | 'caller-gone' | 'claim-refused' | 'claim-expired' | 'quarantined' | 'handed-over' | 'gateway-leaving'

/** What a request task tells its lifecycle. */
export type LifecycleMessage =
  | { kind: 'begin' }
  /** `dispatchDeadline` is that of the claim. */
  | { kind: 'claim-granted', dispatchDeadline: Timestamp }
  /** The claim was not granted; the task answers from the claim itself. */
  | { kind: 'claim-refused' }
  | { kind: 'admitted', upstream: UpstreamIdentity }
  | { kind: 'refused', reason: RefusalReason, retryAfterSeconds: number }
  | { kind: 'attempt-ended', attempt: string, report: AttemptReport, retryAllowed: boolean }
  /** The request has crashed a second upstream; it is not run again. */
  | { kind: 'quarantined' }
  /** The upstream of the running attempt is leaving and will not end in time. */
  | { kind: 'move' }
  /** This gateway is about to be taken away; what has not started is refused while that can still be said. */
  | { kind: 'gateway-leaving' }
  /** Another gateway goes on with the request. */
  | { kind: 'handed-over' }
  | { kind: 'deadline-reached', dispatch: DispatchState }
  | { kind: 'caller-gone', dispatch: DispatchState }

/** What a request task is to do. */
export type LifecycleAction =
  | { kind: 'acquire-claim' }
  /** Waits for an upstream, from `notBefore` on. */
  | { kind: 'enqueue', excludedUpstreams: readonly string[], resumed: boolean, notBefore: Timestamp }
  | { kind: 'withdraw' }
  | { kind: 'start-attempt', attempt: string, upstream: UpstreamIdentity, serverErrorsAreFinal: boolean }
  | { kind: 'abandon-attempt', attempt: string }
  | { kind: 'release-slot' }
  | { kind: 'finish', outcome: Outcome, reason?: FailureReason, retryAfterSeconds?: number, detail?: string }

type Phase =
  | { kind: 'new' }
  | { kind: 'claiming' }
  | { kind: 'waiting' }
  | { kind: 'running', attempt: string, upstream: UpstreamIdentity, migrating: boolean }
  | { kind: 'finished' }

/** Decides what happens to one request next. */
export class RequestLifecycle {
  private readonly _request: LifecycleRequest
  private _phase: Phase = { kind: 'new' }
  private readonly _outcomes: Outcome[] = []
  private readonly _excludedUpstreams: string[] = []
  private _attemptCount = 0
  private _migrationCount = 0
  private _dispatchDeadline = Number.POSITIVE_INFINITY

  private constructor (request: LifecycleRequest) {
    this._request = request
    if (request.handedOver?.mayHaveRun) this._outcomes.push('unknown')
  }

  static create (request: LifecycleRequest): RequestLifecycle {
    return new RequestLifecycle(request)
  }

  /** Attempts made so far. */
  get attemptCount (): number {
    return this._attemptCount
  }

  /** Whether an upstream may have run any part of the request. */
  get mayHaveRun (): boolean {
    return this._outcomes.some(outcome => outcome !== 'not-run')
  }

  get runningUpstream (): UpstreamIdentity | undefined {
    return this._phase.kind === 'running' ? this._phase.upstream : undefined
  }

  get finished (): boolean {
    return this._phase.kind === 'finished'
  }

  /** Whether the request needs a claim before it may reach an upstream. */
  get needsClaim (): boolean {
    return this._request.idempotency === 'non-idempotent' && this._request.hasIdempotencyKey
  }

  handle (message: LifecycleMessage, now: Timestamp): LifecycleAction[] {
    if (this._phase.kind === 'finished') return []
    switch (message.kind) {
      case 'begin': return this._begin(now)
      case 'claim-granted': return this._acceptClaim(message.dispatchDeadline, now)
      case 'claim-refused': return this._finish('not-run', 'claim-refused')
      case 'admitted': return this._startAttempt(message.upstream, now)
      case 'refused': return this._finish(this._outcome, message.reason, message.retryAfterSeconds)
      case 'attempt-ended': return this._endAttempt(message.attempt, message.report, message.retryAllowed, now)
      case 'quarantined': return this._abandon('quarantined', 'offered')
      case 'gateway-leaving': return this._phase.kind === 'running' ? [] : this._abandon('gateway-leaving', 'not-offered')
      case 'handed-over': return this._abandon('handed-over', 'offered')
      case 'move': return this._migrate()
      case 'deadline-reached': return this._abandon('answer-deadline', message.dispatch)
      case 'caller-gone': return this._abandon('caller-gone', message.dispatch)
    }
  }

  private get _outcome (): Outcome {
    return decideRequestOutcome(this._outcomes)
  }

  private _begin (now: Timestamp): LifecycleAction[] {
    if (!this.needsClaim) return this._enqueue(this._request.handedOver !== undefined, now)
    this._phase = { kind: 'claiming' }
    return [{ kind: 'acquire-claim' }]
  }

  private _acceptClaim (dispatchDeadline: Timestamp, now: Timestamp): LifecycleAction[] {
    if (this._phase.kind !== 'claiming') return []
    this._dispatchDeadline = dispatchDeadline
    return this._enqueue(false, now)
  }

  private _enqueue (resumed: boolean, notBefore: Timestamp): LifecycleAction[] {
    this._phase = { kind: 'waiting' }
    return [{ kind: 'enqueue', excludedUpstreams: [...this._excludedUpstreams], resumed, notBefore }]
  }

  /** The first retry and moves start at once; further retries wait longer each time. */
  private _nextAttemptAt (moved: boolean, now: Timestamp): Timestamp {
    const failures = this._attemptCount - this._migrationCount
    if (moved || failures <= 1) return now
    return now + BASE_RETRY_DELAY_MILLISECONDS * 2 ** (failures - 2)
  }

  private _startAttempt (upstream: UpstreamIdentity, now: Timestamp): LifecycleAction[] {
    if (this._phase.kind !== 'waiting') return [{ kind: 'release-slot' }]
    if (now >= this._request.answerDeadline) return [{ kind: 'release-slot' }, ...this._finish(this._outcome, 'answer-deadline')]
    if (now >= this._dispatchDeadline - CLAIM_DISPATCH_MARGIN_MILLISECONDS) return [{ kind: 'release-slot' }, ...this._finish(this._outcome, 'claim-expired')]
    this._attemptCount++
    const attempt = `${this._request.requestId}/${this._attemptCount}`
    this._phase = { kind: 'running', attempt, upstream, migrating: false }
    return [{ kind: 'start-attempt', attempt, upstream, serverErrorsAreFinal: !this._mayRetryAfterServerError() }]
  }

  private _endAttempt (attempt: string, report: AttemptReport, retryAllowed: boolean, now: Timestamp): LifecycleAction[] {
    if (this._phase.kind !== 'running' || this._phase.attempt !== attempt) return []
    const { upstream, migrating: moving } = this._phase
    const outcome = decideAttemptOutcome(report, this._request.abilities)
    this._outcomes.push(outcome)
    const release: LifecycleAction = { kind: 'release-slot' }
    if (outcome === 'complete') return [release, ...this._finish('complete')]
    if (!this._excludedUpstreams.includes(upstream.address)) this._excludedUpstreams.push(upstream.address)
    if (!this._mayRetry(outcome, report, moving || retryAllowed, now)) return [release, ...this._finish(this._outcome, 'attempts-failed', undefined, report.detail)]
    return [release, ...this._enqueue(true, this._nextAttemptAt(moving, now))]
  }

  private _mayRetry (outcome: Outcome, report: AttemptReport, retryAllowed: boolean, now: Timestamp): boolean {
    if (report.responseCommitted || now >= this._request.answerDeadline) return false
    if (!retryAllowed || this._attemptCount >= this._attemptLimit) return false
    return isSafeToRetry(outcome, this._request.idempotency, this._request.hasIdempotencyKey)
  }

  private _mayRetryAfterServerError (): boolean {
    return this._attemptCount < this._attemptLimit && isSafeToRetry('unknown', this._request.idempotency, this._request.hasIdempotencyKey)
  }

  private get _attemptLimit (): number {
    return Math.min(MAXIMUM_ATTEMPTS + this._migrationCount, MAXIMUM_ATTEMPTS_WITH_MIGRATIONS)
  }

  /** Gives up the running attempt in favour of another upstream; only a request that may be repeated moves. */
  private _migrate (): LifecycleAction[] {
    if (this._phase.kind !== 'running' || this._phase.migrating) return []
    if (!isSafeToRetry('unknown', this._request.idempotency, this._request.hasIdempotencyKey)) return []
    this._migrationCount++
    this._phase = { ...this._phase, migrating: true }
    return [{ kind: 'abandon-attempt', attempt: this._phase.attempt }]
  }

  /** `dispatch` is that of the running attempt, if there is one. */
  private _abandon (reason: FailureReason, dispatch: DispatchState): LifecycleAction[] {
    const phase = this._phase
    if (phase.kind === 'waiting') return [{ kind: 'withdraw' }, ...this._finish(this._outcome, reason)]
    if (phase.kind !== 'running') return this._finish(this._outcome, reason)
    this._outcomes.push(dispatch === 'offered' ? 'unknown' : 'not-run')
    return [{ kind: 'abandon-attempt', attempt: phase.attempt }, { kind: 'release-slot' }, ...this._finish(this._outcome, reason)]
  }

  private _finish (outcome: Outcome, reason?: FailureReason, retryAfterSeconds?: number, detail?: string): LifecycleAction[] {
    this._phase = { kind: 'finished' }
    return [{ kind: 'finish', outcome, reason, retryAfterSeconds, detail }]
  }
}
