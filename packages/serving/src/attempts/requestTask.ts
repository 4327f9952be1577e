/**
 * Processes one accepted request until its response has ended, with one or more attempts.
 *
 * @module
 */
import type { BackgroundTasks, Timer, Timestamp } from '@plumstage/common'
import type { CallerExchange } from '../callers/callerExchange.js'
import { createExpiredRejection, createRejection, createStopRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import type { UpstreamAccess } from '../links/upstreamAccess.js'
import type { UpstreamPath } from '../links/upstreamPath.js'
import type { RequestDurations } from '../stopping/requestDurations.js'
import type { StreamOriginTask } from '../streams/streamOriginTask.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { isResumed } from './acceptedRequest.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { AttemptEffects } from './attemptEffects.js'
import { AttemptLog } from './attemptLog.js'
import type { AttemptKind } from './attemptLog.js'
import { CrashTracking } from './crashTracking.js'
import type { CrashTrackingServices } from './crashTracking.js'
import { DispatchRefusal } from './dispatchRefusal.js'
import { findForeignHead, findUnusableHead } from './headCheck.js'
import { RequestLoad } from './requestLoad.js'
import { ResponseRelay } from './responseRelay.js'
import { StreamContinuity } from './streamContinuity.js'
import { decideAfterFailure, isUncounted, mayRepeat } from './attemptPolicy.js'
import type { AttemptFailure, RequestProgress } from './attemptPolicy.js'
import { RetryAllowance } from './retryAllowance.js'
import type { RunningRequests } from './runningRequests.js'
import { SilentAttemptCheck } from './silentAttemptCheck.js'
import { UpstreamAttempt } from './upstreamAttempt.js'
import { UpstreamChoice } from './upstreamChoice.js'
import { createUpstreamRequest } from './upstreamRequest.js'
import type { AttemptOutcome, AttemptReceiver, ReceiveDecision } from './upstreamAttempt.js'
import type { ResponseHeaders, UpstreamProtocol } from './upstreamProtocol.js'
import { UpstreamStatements } from './upstreamStatements.js'

const FIRST_SERVER_ERROR_STATUS = 500
/** What failed so may have been executed. */
const MAY_HAVE_RUN: ReadonlySet<AttemptFailure> = new Set(['broken', 'server-error', 'silent'])
/** Pause before the next attempt when every upstream could not be reached. */
const UNREACHABLE_PAUSE_MILLISECONDS = 100

/** Dependencies of request tasks. */
export interface RequestServices extends CrashTrackingServices {
  /** Time of day in milliseconds since the epoch, for usage windows. */
  timeOfDay: () => Timestamp
  tasks: BackgroundTasks
  protocol: UpstreamProtocol
  access: UpstreamAccess
  running: RunningRequests
  durations: RequestDurations
  streamOrigins: StreamOriginTask
}

/** Processes one request, from the first attempt to the end of the response. */
export class RequestTask implements AttemptReceiver {
  private readonly _services: RequestServices
  private readonly _request: AcceptedRequest
  private readonly _exchange: CallerExchange
  private readonly _relay: ResponseRelay
  private readonly _progress: RequestProgress
  private readonly _load: RequestLoad
  private readonly _continuity: StreamContinuity
  private readonly _crashes: CrashTracking
  private readonly _refusal: DispatchRefusal
  private readonly _effects: AttemptEffects
  private readonly _log: AttemptLog
  private readonly _statements: UpstreamStatements
  private readonly _choice: UpstreamChoice
  private readonly _retries: RetryAllowance
  private readonly _silence: SilentAttemptCheck
  private _attempt: UpstreamAttempt | undefined
  private _upstream: Upstream | undefined
  /** Path of the running attempt. */
  private _path: UpstreamPath | undefined
  private _attemptStartedAt: Timestamp = 0
  private _firstEventMilliseconds: number | undefined
  private _deadlineTimer: Timer | undefined
  private _pauseTimer: Timer | undefined
  private _done = false

  private constructor (services: RequestServices, request: AcceptedRequest, exchange: CallerExchange) {
    this._services = services
    this._request = request
    this._exchange = exchange
    this._relay = ResponseRelay.create(exchange, services.protocol, request, services.state.responseMemory, () => this._recordAttemptBegan())
    this._load = RequestLoad.create(services.state, request.service.name, request.generation)
    this._continuity = StreamContinuity.create(services.streamOrigins, request)
    this._crashes = CrashTracking.create(services, request)
    this._choice = UpstreamChoice.create(services, request, this._crashes)
    this._retries = RetryAllowance.create(services, request)
    this._silence = SilentAttemptCheck.create(services.access, this._retries, request)
    this._refusal = DispatchRefusal.create(services, request, this._continuity, this._crashes)
    this._effects = AttemptEffects.create(services, request)
    this._log = AttemptLog.create(services.instrumentation, request.head)
    this._statements = UpstreamStatements.create(services.state, services.clock, this._log)
    this._progress = { route: request.route, attempts: 0, mayHaveRun: false, started: false }
  }

  static create (services: RequestServices, request: AcceptedRequest, exchange: CallerExchange): RequestTask {
    return new RequestTask(services, request, exchange)
  }

  run (): void {
    const { clock, state } = this._services
    const { service, deadline } = this._request
    state.recordRequest(service.name, clock.now())
    this._services.running.open(this)
    this._deadlineTimer = clock.schedule(deadline, () => this._expire())
    this._exchange.onDisconnected(() => this._cancelForCaller())
    if (this._continuity.isResumed) return this._watch(this._resume())
    this._startUnlessRefused()
  }

  /**
   * Continues a resumable stream at another upstream, because its current one is about to be removed. Without another
   * one of the same software, the stream stays as long as it can.
   */
  migrate (): void {
    if (this._done || !this._attempt || this._request.route.stream?.resumable !== true) return
    if (!this._choice.hasUsable(this._continuity.required)) return
    this._attempt.abandon()
    this.onEnded({ kind: 'failed', failure: 'broken', detail: 'the upstream is about to be removed', connectionLost: false })
  }

  /** Makes another attempt if the running one hears nothing, its path or connection is found to be the cause, and the request may be sent again. */
  reconsiderPath (): void {
    if (this._done || !this._attempt || !this._path) return
    const running = { path: this._path, upstream: this._upstream!, isDispatched: this._attempt.dispatched, isStarted: this._relay.started, progress: this._progress }
    const verdict = this._silence.check(running, this._services.clock.now())
    if (!verdict) return
    this._attempt.abandon()
    this.onEnded({ kind: 'failed', ...verdict, connectionLost: false })
  }

  /** Ends the request because the process ends: with what is true of it, unless its response has begun. Returns whether it was cut. */
  endForStop (): boolean {
    if (this._done) return false
    this._abandonForGood()
    if (this._relay.started) {
      this._cut('cut-at-stop')
      return true
    }
    if (this._progress.mayHaveRun) this._reject(createRejection('interrupted', 'The gateway shut down before the upstream had responded, and the request may have been executed. Check its effect before sending it again.'))
    else this._reject(createStopRejection())
    return false
  }

  receiveHead (status: number, headers: ResponseHeaders): ReceiveDecision {
    this._path?.recordBytes()
    const head = this._services.protocol.readHead(status, headers)
    const foreign = findForeignHead(head, { requestId: this._request.head.requestId, upstreamId: this._upstream!.listed.id })
    if (foreign) return { kind: 'fail', ...foreign }
    this._statements.apply(head, this._upstream!, this._attemptStartedAt)
    const unusable = findUnusableHead(head, status)
    if (unusable) return { kind: 'fail', ...unusable }
    if (status >= FIRST_SERVER_ERROR_STATUS && this._retries.takeAfterServerError(this._progress)) return fail('server-error', `the upstream returned status ${status}`)
    if (!this._request.route.stream) this._effects.recordUsage()
    return this._relay.receiveHead(status, headers)
  }

  receiveBytes (chunk: Buffer): ReceiveDecision {
    this._path?.recordBytes()
    const attempt = this._attempt
    const decision = this._relay.receiveBytes(chunk, () => attempt?.resume())
    if (this._relay.attemptHasBegun) this._crashes.request.recordProgress(this._lastEvent)
    return decision
  }

  receiveEnd (): ReceiveDecision {
    if (this._services.access.resetting) return fail('broken', 'the connection was broken off before the request was written or the response was complete')
    return this._relay.receiveEnd()
  }

  onEnded (ended: AttemptOutcome): void {
    if (this._done) return
    const path = this._path!
    const outcome = this._interpret(ended)
    if (this._attempt?.dispatched && !(outcome.kind === 'failed' && isUncounted(outcome.failure))) this._progress.attempts++
    const upstream = this._removeLoad()
    this._log.recordFailed({ upstream, peer: path.peer, outcome, listRevision: this._services.state.view.upstreamsRevision, events: this._relay.eventCount, hasBegun: this._relay.attemptHasBegun })
    this._log.recordContinuationEnded(upstream, outcome, this._relay.continuation)
    if (outcome.kind === 'complete') return this._finish(upstream)
    if (outcome.failure === 'server-error' || (outcome.failure === 'broken' && !outcome.connectionLost)) this._recordAnswer(true)
    this._recordFailure(outcome.failure, upstream)
    const checked = this._crashes.checkForCrash(outcome, upstream, { lastEventId: this._lastEvent, hasBegun: this._relay.attemptHasBegun })
    if (checked) this._watch(checked.then(() => this._proceedAfterFailure(outcome.failure, path)))
    else this._proceedAfterFailure(outcome.failure, path)
  }

  private _proceedAfterFailure (failure: AttemptFailure, path: UpstreamPath): void {
    if (this._done) return
    const decision = decideAfterFailure(failure, this._progress, () => this._mayRepeat(failure) && this._retries.takeAfterFailure(failure))
    if (decision.kind === 'retry') return this._watch(this._services.access.settled().then(() => this._startRetry(failure, path)))
    if (decision.kind === 'reject') return this._reject(decision.rejection)
    this._cut('cut-after-failure')
  }

  /** A request that may itself be what crashes upstreams is not sent to a further one. */
  private _mayRepeat (failure: AttemptFailure): boolean {
    return failure !== 'broken' || this._relay.attemptHasBegun || this._crashes.request.mayRepeat
  }

  /** Adds what the path of the attempt tells about a failure. */
  private _interpret (outcome: AttemptOutcome): AttemptOutcome {
    if (outcome.kind === 'complete') return outcome
    const failure = this._path!.recordFailure(outcome)
    if (failure === 'links-lost') this._progress.mayHaveRun ||= this._attempt!.dispatched
    return { ...outcome, failure }
  }

  /** Starts the next attempt, after a pause if no upstream is left that was not tried. What failed on a lost path may work on another. */
  private _startRetry (failure: AttemptFailure, path: UpstreamPath): void {
    if (this._done) return
    const { access, clock } = this._services
    if (access.isPathLost(path, this._upstream!)) this._choice.forgetFailures()
    if (!isUncounted(failure) || this._choice.hasUntried(this._continuity.required)) return this._startAttempt()
    this._pauseTimer = clock.schedule(clock.now() + UNREACHABLE_PAUSE_MILLISECONDS, () => { if (!this._done) this._startAttempt() })
  }

  private async _resume (): Promise<void> {
    const rejection = await this._continuity.resolve()
    if (this._done) return
    if (rejection) return this._reject(rejection)
    this._startUnlessRefused()
  }

  private _startUnlessRefused (): void {
    const rejection = this._refusal.checkStart()
    if (rejection) return this._reject(rejection)
    this._startAttempt()
  }

  private _startAttempt (): void {
    const choice = this._choice.choose(this._continuity.required)
    if (!choice) return this._failWithoutUpstream()
    const { upstream } = choice
    this._upstream = upstream
    this._continuity.recordDispatch(upstream.software)
    this._retries.beginAttempt()
    this._relay.beginAttempt()
    this._services.running.add(upstream, this)
    this._attemptStartedAt = this._services.clock.now()
    this._load.add(choice, this._attemptStartedAt)
    this._services.state.limits.recordSend(upstream, this._attemptStartedAt)
    this._crashes.beginAttempt(upstream, this._attemptStartedAt)
    this._log.recordStarted({ upstream, kind: this._attemptKind, startedAt: this._attemptStartedAt, lastEventId: this._relay.lastEventId, withinResponse: this._relay.started })
    this._attempt = UpstreamAttempt.create(this)
    this._path = this._services.access.choosePath(upstream, this._choice.hasFailedAt(upstream) ? 'separate' : mayRepeat(this._request.route) ? 'shared' : 'heard-lately')
    this._path.begin()
    const target = { upstreamId: upstream.listed.id, resumeAfter: this._relay.lastEventId }
    this._attempt.start(this._path.client, createUpstreamRequest(this._request, target, this._services.protocol, this._services.clock.now()))
  }

  /** Removes the request from the load of its upstream. */
  private _removeLoad (): Upstream {
    const upstream = this._upstream!
    this._services.running.remove(upstream, this)
    this._load.remove()
    this._path?.end()
    this._path = undefined
    this._attempt = undefined
    return upstream
  }

  private _recordAttemptBegan (): void {
    this._crashes.recordBegin()
    if (this._relay.eventCount === 0) this._recordFirstEvent()
  }

  private _recordFirstEvent (): void {
    this._continuity.recordFirstEvent(this._upstream!.software)
    this._load.recordFirstEvent(this._services.clock.now())
    this._recordAnswer(false)
    this._effects.recordUsage()
    this._firstEventMilliseconds ??= this._elapsedMilliseconds()
    this._log.recordFirstEvent({ upstream: this._upstream!, milliseconds: this._elapsedMilliseconds(), prefillTokens: this._load.prefillTokens, backlogTokens: this._load.backlogTokens })
  }

  private _recordAnswer (failed: boolean): void {
    this._effects.recordAnswer(this._upstream!, failed, this._attemptStartedAt)
  }

  private _recordFailure (failure: AttemptFailure, upstream: Upstream): void {
    this._choice.recordFailure(upstream)
    this._progress.started = this._relay.started
    if (MAY_HAVE_RUN.has(failure)) this._progress.mayHaveRun = true
    this._effects.recordFailure(upstream, failure)
  }

  private _finish (upstream: Upstream): void {
    const failed = this._relay.status >= FIRST_SERVER_ERROR_STATUS
    if (failed || !this._request.route.stream) this._recordAnswer(failed)
    this._effects.recordComplete(upstream, failed)
    if (this._relay.attemptHasBegun) this._crashes.recordBegin()
    this._crashes.request.recordFinished()
    if (!failed) this._services.durations.record({ ...this._request, isResumed: isResumed(this._request.head) }, this._elapsedMilliseconds())
    this._end('complete')
    this._relay.finish()
  }

  /** Ends the request if what it waits for fails. */
  private _watch (work: Promise<void>): void {
    work.catch((error: unknown) => {
      this._services.tasks.report('request', error)
      if (this._done) return
      this._abandonForGood()
      if (this._relay.started) return this._cut('cut-after-failure')
      this._reject(createRejection('internal-error', 'The gateway failed while it processed the request, which may have been executed. Check its effect before sending it again, and report this to the operator.'))
    })
  }

  private _failWithoutUpstream (): void {
    if (this._relay.started) return this._cut('cut-without-upstream')
    if (this._progress.mayHaveRun) return this._reject(createRejection('upstream-failed', 'No upstream is available for another attempt, and the request may have been executed. Check its effect before sending it again.'))
    this._reject(this._refusal.explainMissingUpstream())
  }

  private _expire (): void {
    if (this._done) return
    if (this._attempt?.dispatched === true && !this._relay.attemptHasBegun) this._recordAnswer(false)
    const dispatched = this._abandonAttempt()
    if (this._relay.started) return this._cut('cut-at-deadline')
    if (dispatched || this._progress.mayHaveRun) return this._reject(createRejection('timeout', 'The deadline of the request has passed, and it may have been executed. Check its effect before sending it again.'))
    this._reject(createExpiredRejection())
  }

  /** Cancels the attempt after the caller has disconnected, so that the upstream stops working on it. */
  private _cancelForCaller (): void {
    if (this._done) return
    this._abandonAttempt()
    this._end('caller-gone')
  }

  /** Abandons the current attempt, and records whether any may have executed the request. */
  private _abandonForGood (): void {
    const dispatched = this._abandonAttempt()
    this._progress.mayHaveRun ||= dispatched
  }

  /** Abandons the current attempt; returns whether it was dispatched. */
  private _abandonAttempt (): boolean {
    if (!this._attempt) return false
    const { dispatched } = this._attempt
    this._attempt.abandon()
    if (dispatched) this._progress.attempts++
    this._removeLoad()
    return dispatched
  }

  private _reject (rejection: Rejection): void {
    if (!this._progress.mayHaveRun && this._request.workspace !== undefined) this._services.state.quotas.refund(this._request.workspace, this._request.quotaUnits)
    this._end(rejection.kind, rejection.status)
    this._exchange.reject(rejection)
  }

  /** Closes the connection, so that a started response does not look complete. */
  private _cut (outcome: 'cut-after-failure' | 'cut-without-upstream' | 'cut-at-deadline' | 'cut-at-stop'): void {
    this._end(outcome)
    this._exchange.cut()
  }

  private _end (outcome: string, status = this._relay.status): void {
    this._done = true
    this._deadlineTimer?.cancel()
    this._pauseTimer?.cancel()
    this._services.running.close(this)
    this._relay.release()
    this._crashes.endAttempt()
    this._crashes.request.end()
    const { attempts } = this._progress
    const { configurationRevision } = this._services.state.view
    const { eventCount: events } = this._relay
    this._log.recordEnded(this._request, { outcome, status, attempts, events, firstEventMilliseconds: this._firstEventMilliseconds, milliseconds: this._elapsedMilliseconds(), upstream: this._upstream, configurationRevision })
  }

  /** Id of the last event that the caller has, or the number of events where they have no ids. */
  private get _lastEvent (): number {
    return this._relay.lastEventId ?? this._relay.eventCount
  }

  private get _attemptKind (): AttemptKind {
    if (this._relay.lastEventId !== undefined) return 'continuation'
    return this._choice.hasFailed ? 'retry' : 'first'
  }

  private _elapsedMilliseconds (): number {
    return Math.round(this._services.clock.now() - this._request.acceptedAt)
  }
}

function fail (failure: AttemptFailure, detail: string): ReceiveDecision {
  return { kind: 'fail', failure, detail }
}
