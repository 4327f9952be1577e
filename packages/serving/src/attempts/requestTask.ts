/**
 * Processes one accepted request until its response has ended, with one or more attempts.
 *
 * @module
 */
import type { Timer, Timestamp } from '@plumstage/common'
import type { CallerExchange } from '../callers/callerExchange.js'
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import type { LimitStatement } from '../limits/statedLimit.js'
import type { RoutingChoice } from '../routing/router.js'
import type { StreamOriginTask } from '../streams/streamOriginTask.js'
import type { UpstreamConnections } from '../upstreams/upstreamConnections.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { AttemptLog } from './attemptLog.js'
import type { AttemptKind } from './attemptLog.js'
import { CrashTracking } from './crashTracking.js'
import type { CrashTrackingServices } from './crashTracking.js'
import { DispatchRefusal } from './dispatchRefusal.js'
import { RequestLoad } from './requestLoad.js'
import { ResponseRelay } from './responseRelay.js'
import { StreamContinuity } from './streamContinuity.js'
import { decideAfterFailure, mayRetryServerError } from './attemptPolicy.js'
import type { AttemptFailure, RequestProgress } from './attemptPolicy.js'
import type { RunningRequests } from './runningRequests.js'
import { UpstreamAttempt } from './upstreamAttempt.js'
import type { AttemptOutcome, AttemptReceiver, ReceiveDecision } from './upstreamAttempt.js'
import type { ResponseHeaders, UpstreamProtocol } from './upstreamProtocol.js'

const FIRST_SERVER_ERROR_STATUS = 500
const FIRST_REDIRECT_STATUS = 300
const RETRY_AFTER_TIMEOUT_MILLISECONDS = 500
/** Maximum of a request's urgency; lower values are more urgent. */
const MAXIMUM_URGENCY = 9
const DEFAULT_OBJECTIVE_MILLISECONDS = 1000

/** Dependencies of request tasks. */
export interface RequestServices extends CrashTrackingServices {
  /** Time of day in milliseconds since the epoch, for usage windows. */
  timeOfDay: () => Timestamp
  protocol: UpstreamProtocol
  connections: UpstreamConnections
  running: RunningRequests
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
  private readonly _log: AttemptLog
  private readonly _failedUpstreams = new Set<Upstream>()
  private _attempt: UpstreamAttempt | undefined
  private _upstream: Upstream | undefined
  private _attemptStartedAt: Timestamp = 0
  private _firstEventMilliseconds: number | undefined
  /** Whether the retry budget was charged for the next attempt when this one received a server error. */
  private _retryTaken = false
  private _usageRecorded = false
  private _deadlineTimer: Timer | undefined
  private _done = false

  private constructor (services: RequestServices, request: AcceptedRequest, exchange: CallerExchange) {
    this._services = services
    this._request = request
    this._exchange = exchange
    this._relay = ResponseRelay.create(exchange, services.protocol, request.route, request.head.lastEventId, () => this._recordAttemptBegan())
    this._load = RequestLoad.create(services.state, request.service.name, request.head.generation)
    this._continuity = StreamContinuity.create(services.streamOrigins, request)
    this._crashes = CrashTracking.create(services, request)
    this._refusal = DispatchRefusal.create(services, request, this._continuity, this._crashes)
    this._log = AttemptLog.create(services.instrumentation, request.head)
    this._progress = { route: request.route, attempts: 0, mayHaveRun: false, started: false }
  }

  static create (services: RequestServices, request: AcceptedRequest, exchange: CallerExchange): RequestTask {
    return new RequestTask(services, request, exchange)
  }

  run (): void {
    const { clock, state } = this._services
    const { service, deadline } = this._request
    state.recordRequest(service.name, clock.now())
    this._deadlineTimer = clock.schedule(deadline, () => this._expire())
    this._exchange.onDisconnected(() => this._cancelForCaller())
    if (this._continuity.isResumed) return void this._resume()
    this._startUnlessRefused()
  }

  /**
   * Continues a resumable stream at another upstream, because its current one is about to be removed. Without another
   * one of the same software, the stream stays as long as it can.
   */
  migrate (): void {
    if (this._done || !this._attempt || this._request.route.stream?.resumable !== true) return
    if (this._listUsable().length === 0) return
    this._attempt.abandon()
    this.onEnded({ kind: 'failed', failure: 'broken', detail: 'the upstream is about to be removed', connectionLost: false })
  }

  receiveHead (status: number, headers: ResponseHeaders): ReceiveDecision {
    const head = this._services.protocol.readHead(status, headers)
    const matchesRequest = head.requestId === this._request.head.requestId
    if (head.requestId !== undefined && !matchesRequest) return fail('broken', `the response belongs to request ${head.requestId}`)
    if (head.otherInstance) return fail('other-instance', 'the address belongs to another instance')
    // A refusal may state a limit, but one without a limit does not end it.
    if (matchesRequest && (head.signed || (head.notRun && head.limit.kind !== 'none'))) this._applyLimit(head.limit)
    if (head.notRun) return fail('not-run', `the upstream refused the request with status ${status}`)
    if (status < FIRST_REDIRECT_STATUS && !(matchesRequest && head.signed)) return fail('broken', 'the response is not signed for this request')
    if (!head.signed) return fail('broken', `the response with status ${status} is not signed by the upstream`)
    if (status >= FIRST_SERVER_ERROR_STATUS && this._tryTakeServerErrorRetry()) return fail('server-error', `the upstream returned status ${status}`)
    if (!this._request.route.stream) this._recordUsage()
    return this._relay.receiveHead(status, headers)
  }

  receiveBytes (chunk: Buffer): ReceiveDecision {
    const attempt = this._attempt
    return this._relay.receiveBytes(chunk, () => attempt?.resume())
  }

  receiveEnd (): ReceiveDecision {
    if (this._services.connections.resetting) return fail('broken', 'the connection was reset before the response was complete')
    return this._relay.receiveEnd()
  }

  onEnded (outcome: AttemptOutcome): void {
    if (this._done) return
    const upstream = this._removeLoad()
    this._log.recordFailed({ upstream, outcome, listRevision: this._services.state.view.upstreamsRevision, events: this._relay.eventCount, hasBegun: this._relay.attemptHasBegun })
    if (outcome.kind === 'complete') return this._finish(upstream)
    this._recordFailure(outcome.failure, upstream)
    const checked = this._crashes.checkForCrash(outcome, upstream, this._relay.attemptHasBegun)
    if (checked) void checked.then(() => this._proceedAfterFailure(outcome.failure))
    else this._proceedAfterFailure(outcome.failure)
  }

  private _proceedAfterFailure (failure: AttemptFailure): void {
    if (this._done) return
    const decision = decideAfterFailure(failure, this._progress, () => this._tryTakeRetry(failure))
    if (decision.kind === 'retry') return this._startAttempt()
    if (decision.kind === 'reject') return this._reject(decision.rejection)
    this._cut('cut-after-failure')
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

  /** Upstreams to which an attempt may be sent now. */
  private _listUsable (): readonly Upstream[] {
    return this._crashes.listUsable(this._continuity.required, this._services.clock.now())
  }

  private _startAttempt (): void {
    const choice = this._chooseUpstream()
    if (!choice) return this._failWithoutUpstream()
    const { upstream } = choice
    this._upstream = upstream
    this._retryTaken = false
    this._relay.beginAttempt()
    this._services.running.add(upstream, this)
    this._attemptStartedAt = this._services.clock.now()
    this._load.add(choice, this._attemptStartedAt)
    this._services.state.limits.recordSend(upstream, this._attemptStartedAt)
    this._crashes.beginAttempt(upstream, this._attemptStartedAt)
    this._log.recordStarted({ upstream, kind: this._attemptKind, startedAt: this._attemptStartedAt, lastEventId: this._relay.lastEventId, withinResponse: this._relay.started })
    this._attempt = UpstreamAttempt.create(this)
    const { head, body, workspace, rank, deadline } = this._request
    const remainingMilliseconds = Math.max(1, Math.floor(deadline - this._services.clock.now()))
    this._attempt.start(this._services.connections.clientOf(upstream), {
      method: head.method,
      path: head.target,
      headers: this._services.protocol.encodeHeaders({
        head,
        workspace,
        upstreamId: upstream.listed.id,
        remainingMilliseconds,
        urgency: Math.min(MAXIMUM_URGENCY, rank * 2),
        resumeAfter: this._relay.lastEventId
      }),
      body: body.length > 0 ? body : undefined
    })
  }

  private _chooseUpstream (): RoutingChoice | undefined {
    const { clock, state } = this._services
    const { service, head, route } = this._request
    const now = clock.now()
    const usable = this._listUsable()
    const untried = usable.filter(upstream => !this._failedUpstreams.has(upstream))
    const objectiveMilliseconds = route.objectiveMilliseconds ?? DEFAULT_OBJECTIVE_MILLISECONDS
    return state.routerOf(service).choose({ generation: head.generation, objectiveMilliseconds, prefillTokensPerMillisecond: state.capacities.capacityOf(service.name, now).tokensPerMillisecond }, untried.length > 0 ? untried : usable, now)
  }

  /** Removes the request from the load of its upstream, and counts the attempt if it was dispatched. */
  private _removeLoad (): Upstream {
    const upstream = this._upstream!
    this._services.running.remove(upstream, this)
    this._load.remove()
    if (this._attempt?.dispatched) this._progress.attempts++
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
    this._recordUsage()
    this._firstEventMilliseconds ??= this._elapsedMilliseconds()
    this._services.instrumentation.emit('first-event', { upstream: this._upstream?.listed.id, softwareVersion: this._upstream?.listed.softwareVersion, resumedRequest: this._request.head.resumedRequestId, resumeAfter: this._request.head.lastEventId, milliseconds: this._elapsedMilliseconds(), prefillTokens: this._load.prefillTokens, backlogTokens: this._load.backlogTokens, requests: this._upstream?.requests }, this._request.head.requestId)
  }

  private _recordUsage (): void {
    if (this._usageRecorded || this._request.workspace === undefined) return
    this._usageRecorded = true
    this._services.state.usage.record(this._request.workspace, this._services.timeOfDay())
  }

  private _recordFailure (failure: AttemptFailure, upstream: Upstream): void {
    const now = this._services.clock.now()
    this._failedUpstreams.add(upstream)
    this._progress.started = this._relay.started
    if (failure === 'broken' || failure === 'server-error') this._progress.mayHaveRun = true
    // An attempt that reached another instance does not count, like one that reached none.
    if (failure === 'other-instance') this._progress.attempts--
    if (failure === 'unreachable' || failure === 'other-instance') upstream.health.recordUnreachable(now)
    else upstream.health.recordFailure(now)
  }

  private _tryTakeServerErrorRetry (): boolean {
    if (!mayRetryServerError({ ...this._progress, attempts: this._progress.attempts + 1 })) return false
    this._retryTaken = this._services.state.tryTakeRetry(this._request.service.name, this._services.clock.now())
    return this._retryTaken
  }

  private _tryTakeRetry (failure: AttemptFailure): boolean {
    if (this._retryTaken || failure === 'unreachable') return true
    return this._services.state.tryTakeRetry(this._request.service.name, this._services.clock.now())
  }

  private _finish (upstream: Upstream): void {
    if (this._relay.status >= FIRST_SERVER_ERROR_STATUS) upstream.health.recordFailure(this._services.clock.now())
    else upstream.health.recordSuccess()
    if (this._relay.attemptHasBegun) this._crashes.recordBegin()
    this._crashes.recordFinished()
    this._end('complete')
    this._relay.finish()
  }

  private _failWithoutUpstream (): void {
    if (this._relay.started) return this._cut('cut-without-upstream')
    if (this._progress.mayHaveRun) return this._reject(createRejection('upstream-failed', 'No upstream is available for another attempt, and the request may have been executed. Check its effect before sending it again.'))
    this._reject(this._refusal.explainMissingUpstream())
  }

  private _expire (): void {
    if (this._done) return
    const dispatched = this._abandonAttempt()
    if (this._relay.started) return this._cut('cut-at-deadline')
    if (dispatched || this._progress.mayHaveRun) return this._reject(createRejection('timeout', 'The deadline of the request has passed, and it may have been executed. Check its effect before sending it again.'))
    this._reject(createRejection('not-run', 'The deadline of the request passed before an upstream accepted it, and it was not executed. Send it again after the indicated delay.', RETRY_AFTER_TIMEOUT_MILLISECONDS))
  }

  /** Cancels the attempt after the caller has disconnected, so that the upstream stops working on it. */
  private _cancelForCaller (): void {
    if (this._done) return
    this._abandonAttempt()
    this._end('caller-gone')
  }

  /** Abandons the current attempt; returns whether it was dispatched. */
  private _abandonAttempt (): boolean {
    if (!this._attempt) return false
    const { dispatched } = this._attempt
    this._attempt.abandon()
    this._removeLoad()
    return dispatched
  }

  private _reject (rejection: Rejection): void {
    if (!this._progress.mayHaveRun && this._request.workspace !== undefined) this._services.state.quotas.refund(this._request.workspace, this._request.quotaUnits)
    this._end(rejection.kind, rejection.status)
    this._exchange.reject(rejection)
  }

  /** Closes the connection, so that a started response does not look complete. */
  private _cut (outcome: 'cut-after-failure' | 'cut-without-upstream' | 'cut-at-deadline'): void {
    this._end(outcome)
    this._exchange.cut()
  }

  private _end (outcome: string, status = this._relay.status): void {
    this._done = true
    this._deadlineTimer?.cancel()
    this._crashes.endAttempt()
    const { route, workspace, service, acceptedAt, deadline } = this._request
    const configurationRevision = this._services.state.view.configurationRevision
    this._services.instrumentation.emit('request-ended', { outcome, status, route: route.name, service: service.name, workspace, attempts: this._progress.attempts, events: this._relay.eventCount, quotaUnits: this._request.quotaUnits, firstEventMilliseconds: this._firstEventMilliseconds, milliseconds: this._elapsedMilliseconds(), allowedMilliseconds: Math.round(deadline - acceptedAt), upstream: this._upstream?.listed.id, configurationRevision }, this._request.head.requestId)
  }

  private _applyLimit (statement: LimitStatement): void {
    const { clock, state } = this._services
    this._log.recordStatement(this._upstream!, statement)
    state.limits.applyResponse(this._upstream!, statement, this._attemptStartedAt, clock.now())
  }

  private get _attemptKind (): AttemptKind {
    if (this._relay.lastEventId !== undefined) return 'continuation'
    return this._failedUpstreams.size === 0 ? 'first' : 'retry'
  }

  private _elapsedMilliseconds (): number {
    return Math.round(this._services.clock.now() - this._request.acceptedAt)
  }
}

function fail (failure: AttemptFailure, detail: string): ReceiveDecision {
  return { kind: 'fail', failure, detail }
}
