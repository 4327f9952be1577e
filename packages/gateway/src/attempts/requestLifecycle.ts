/**
 * State machine of one request, from its claim to its response. It performs no I/O: it receives messages and the current
 * time, and returns actions, which the request task executes.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Idempotency, UpstreamAbilities } from '@plumstage/records'
import type { RefusalReason } from '../admission/dispatcher.js'
import type { UpstreamIdentity } from '../upstreams/upstream.js'
import { decideAttemptOutcome, decideRequestOutcome, isSafeToRetry } from './attemptOutcome.js'
import type { AttemptReport, DispatchState, Outcome } from './attemptOutcome.js'

/**
 * A request is no longer dispatched when less than this remains until the dispatch deadline of its claim, in case the
 * process pauses between the check and the dispatch.
 */
export const CLAIM_DISPATCH_MARGIN_MILLISECONDS = 2000

const MAXIMUM_ATTEMPTS = 5
const MAXIMUM_ATTEMPTS_WITH_MIGRATIONS = 20
const BASE_RETRY_DELAY_MILLISECONDS = 100

/** The properties of a request that its lifecycle depends on. */
export interface LifecycleRequest {
  requestId: string
  idempotency: Idempotency
  hasIdempotencyKey: boolean
  abilities: UpstreamAbilities
  answerDeadline: Timestamp
  /**
   * Set if another gateway handed the request over; it is then queued ahead of new ones. `mayHaveRun`: whether it may
   * have been executed before the handover.
   */
  handedOver?: { mayHaveRun: boolean }
}

/** Why a request ended without a complete response. */
export type FailureReason = RefusalReason | 'attempts-failed' | 'answer-deadline' | 'caller-gone' | 'claim-refused' | 'claim-expired' | 'quarantined' | 'handed-over' | 'gateway-leaving'

/** Input of the state machine, from the request task. */
export type LifecycleMessage =
  | { kind: 'begin' }
  /** `dispatchDeadline` is the time until which the claim permits dispatching. */
  | { kind: 'claim-granted', dispatchDeadline: Timestamp }
  /** The claim was not granted; the task has already responded to the caller. */
  | { kind: 'claim-refused' }
  | { kind: 'admitted', upstream: UpstreamIdentity }
  | { kind: 'refused', reason: RefusalReason, retryAfterSeconds: number }
  | { kind: 'attempt-ended', attempt: string, report: AttemptReport, retryAllowed: boolean }
  /** Two upstreams crashed while they executed the request; it is not dispatched again. */
  | { kind: 'quarantined' }
  /** The upstream of the running attempt is being reclaimed before the attempt can end. */
  | { kind: 'migrate' }
  /** This gateway is about to be reclaimed; a request without a running attempt is refused while it still can be. */
  | { kind: 'gateway-leaving' }
  /** Another gateway continues the request. */
  | { kind: 'handed-over' }
  | { kind: 'deadline-reached', dispatch: DispatchState }
  | { kind: 'caller-gone', dispatch: DispatchState }

/** Output of the state machine, to be executed by the request task. */
export type LifecycleAction =
  | { kind: 'acquire-claim' }
  /** Joins the queue for an upstream at `notBefore`. */
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

/** Decides the next step of one request. */
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

  /** Number of attempts started so far. */
  get attemptCount (): number {
    return this._attemptCount
  }

  /** Whether an upstream may have executed any part of the request in an attempt that has ended. */
  get mayHaveRun (): boolean {
    return this._outcomes.some(outcome => outcome !== 'not-run')
  }

  get runningUpstream (): UpstreamIdentity | undefined {
    return this._phase.kind === 'running' ? this._phase.upstream : undefined
  }

  get finished (): boolean {
    return this._phase.kind === 'finished'
  }

  /** Whether the request needs a claim before it may be dispatched to an upstream. */
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
      case 'migrate': return this._migrate()
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

  /** Returns when to retry: the first retry and migrations at once, later retries with exponential backoff. */
  private _nextAttemptAt (migrated: boolean, now: Timestamp): Timestamp {
    const failures = this._attemptCount - this._migrationCount
    if (migrated || failures <= 1) return now
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
    const { upstream, migrating } = this._phase
    const outcome = decideAttemptOutcome(report, this._request.abilities)
    this._outcomes.push(outcome)
    const release: LifecycleAction = { kind: 'release-slot' }
    if (outcome === 'complete') return [release, ...this._finish('complete')]
    if (!this._excludedUpstreams.includes(upstream.address)) this._excludedUpstreams.push(upstream.address)
    if (!this._mayRetry(outcome, report, migrating || retryAllowed, now)) return [release, ...this._finish(this._outcome, 'attempts-failed', undefined, report.detail)]
    return [release, ...this._enqueue(true, this._nextAttemptAt(migrating, now))]
  }

  private _mayRetry (outcome: Outcome, report: AttemptReport, retryAllowed: boolean, now: Timestamp): boolean {
    if (report.responseCommitted || now >= this._request.answerDeadline) return false
    if (!retryAllowed || this._attemptCount >= this._attemptLimit) return false
    return isSafeToRetry(outcome, this._request.idempotency, this._request.hasIdempotencyKey)
  }

  private _mayRetryAfterServerError (): boolean {
    return this._attemptCount < this._attemptLimit && isSafeToRetry('unknown', this._request.idempotency, this._request.hasIdempotencyKey)
  }

  /** Each migration allows one more attempt, so that reclaims do not use up the retries. */
  private get _attemptLimit (): number {
    return Math.min(MAXIMUM_ATTEMPTS + this._migrationCount, MAXIMUM_ATTEMPTS_WITH_MIGRATIONS)
  }

  /** Cancels the running attempt to continue on another upstream, if the request is safe to retry. */
  private _migrate (): LifecycleAction[] {
    if (this._phase.kind !== 'running' || this._phase.migrating) return []
    if (!isSafeToRetry('unknown', this._request.idempotency, this._request.hasIdempotencyKey)) return []
    this._migrationCount++
    this._phase = { ...this._phase, migrating: true }
    return [{ kind: 'abandon-attempt', attempt: this._phase.attempt }]
  }

  /** Ends the request without a complete response; `dispatch` is the state of the running attempt, if there is one. */
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
