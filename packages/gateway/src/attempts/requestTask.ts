/**
 * Executes the lifecycle of one request: owns its response, its claim and its running attempt.
 *
 * @module
 */
import { describeError } from '@plumstage/common'
import type { Clock, Instrumentation, Timer, Timestamp } from '@plumstage/common'
import type { DispatchListener, DispatchTask } from '../admission/dispatchTask.js'
import type { RefusalReason } from '../admission/dispatcher.js'
import { CallerError } from '../callers/callerError.js'
import type { CallerResponse } from '../callers/callerResponse.js'
import { createFailureError } from '../callers/failureErrors.js'
import type { ClaimRegistry, HeldClaim } from '../claims/claimRegistry.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { QuarantineTable, SuspicionState } from '@plumstage/serving'
import type { ReclaimedRequest } from '../recovery/reclaimPlanner.js'
import { shouldTransferCache } from '../recovery/cacheTransfer.js'
import type { Upstream, UpstreamIdentity } from '../upstreams/upstream.js'
import type { UpstreamClients } from '../upstreams/upstreamClients.js'
import type { UpstreamTable } from '../upstreams/upstreamTable.js'
import { ResponseDelivery } from './responseDelivery.js'
import { crashIdOf, digestRequest } from './requestChecks.js'
import type { AttemptReport, DispatchState } from './attemptOutcome.js'
import { answerDeadlineOf, startDeadlineOf } from './inboundRequest.js'
import type { InboundRequest } from './inboundRequest.js'
import { CLAIM_DISPATCH_MARGIN_MILLISECONDS, RequestLifecycle } from './requestLifecycle.js'
import type { LifecycleAction, LifecycleMessage } from './requestLifecycle.js'
import { StreamReceiver } from './streamReceiver.js'
import type { StreamedResponse } from './streamedResponse.js'
import { UpstreamAttempt } from './upstreamAttempt.js'
import type { ResponseReceiver } from './upstreamAttempt.js'
import { buildUpstreamRequest, isResumable } from './upstreamRequestBuilder.js'
import type { CacheSource } from './upstreamRequestBuilder.js'
import { BufferedReceiver } from './bufferedReceiver.js'

/** Services shared by all request tasks of a gateway. */
export interface RequestServices {
  clock: Clock
  instrumentation: Instrumentation
  dispatch: DispatchTask
  clients: UpstreamClients
  table: UpstreamTable
  claims: ClaimRegistry
  quarantine: QuarantineTable
  /** Reports to all peers immediately, for state that must not wait for the next periodic report. */
  reportToPeers (): Promise<void>
}

type FinishAction = Extract<LifecycleAction, { kind: 'finish' }>
type EnqueueAction = Extract<LifecycleAction, { kind: 'enqueue' }>
type StartAction = Extract<LifecycleAction, { kind: 'start-attempt' }>

/** One request in flight. */
export class RequestTask implements DispatchListener {
  readonly request: InboundRequest
  private readonly _services: RequestServices
  private readonly _callerResponse: CallerResponse
  private readonly _onFinished: (task: RequestTask) => void
  private readonly _lifecycle: RequestLifecycle
  private readonly _streamedResponse: StreamedResponse
  private readonly _deadlineTimer: Timer
  private _attempt: UpstreamAttempt | undefined
  private _claim: HeldClaim | undefined
  private readonly _delivery: ResponseDelivery
  private _respondedFromClaim = false
  private _releasedForHandover = false
  private _firstBytesAt: Timestamp = 0
  private _requestDigest: string | undefined
  private _migratedFrom: Upstream | undefined

  private constructor (services: RequestServices, request: InboundRequest, callerResponse: CallerResponse, streamedResponse: StreamedResponse, onFinished: (task: RequestTask) => void) {
    this._services = services
    this._streamedResponse = streamedResponse
    this.request = request
    this._callerResponse = callerResponse
    this._onFinished = onFinished
    this._delivery = ResponseDelivery.create(request, callerResponse, streamedResponse, () => this._recordFirstBytes())
    this._lifecycle = RequestLifecycle.create({
      requestId: request.requestId,
      idempotency: request.route.idempotency,
      hasIdempotencyKey: request.idempotencyKey !== undefined,
      abilities: request.service.abilities,
      answerDeadline: answerDeadlineOf(request),
      handedOver: request.handedOver
    })
    this._deadlineTimer = services.clock.schedule(answerDeadlineOf(request), () => this._advance({ kind: 'deadline-reached', dispatch: this._dispatchState }))
  }

  /** Creates a task; `streamedResponse` holds the events that a previous gateway has already received. */
  static create (services: RequestServices, request: InboundRequest, callerResponse: CallerResponse, streamedResponse: StreamedResponse, onFinished: (task: RequestTask) => void): RequestTask {
    return new RequestTask(services, request, callerResponse, streamedResponse, onFinished)
  }

  get upstream (): UpstreamIdentity | undefined {
    return this._lifecycle.runningUpstream
  }

  /** Returns the cost of a migration away from the running upstream, and the data to predict when the response ends. */
  describeForReclaim (now: Timestamp): ReclaimedRequest {
    const position = this._streamedResponse.position
    const maximumTokens = this.request.completion?.body.max_tokens
    return {
      requestId: this.request.requestId,
      tokensToRecompute: this.request.promptTokens + position,
      remainingTokens: typeof maximumTokens === 'number' ? maximumTokens - position : undefined,
      millisecondsPerToken: position > 0 ? (now - this._firstBytesAt) / position : undefined
    }
  }

  start (): void {
    const request = this.request
    this._services.instrumentation.emit('request-accepted', { workspace: request.workspace.name, route: request.route.name, priority: request.priority.name, promptTokens: request.promptTokens }, request.requestId)
    this._callerResponse.onCallerDisconnected(() => this._advance({ kind: 'caller-gone', dispatch: this._dispatchState }))
    if (this._delivery.isResponseComplete) {
      this._delivery.appendDoneEvent()
      return this._finish({ kind: 'finish', outcome: 'complete' })
    }
    this._advance(this._suspicion === 'quarantined' ? { kind: 'quarantined' } : { kind: 'begin' })
  }

  /** Whether another gateway can continue the request without the risk of executing a non-idempotent request twice. */
  get mayBeHandedOver (): boolean {
    return isResumable(this.request) && this.request.route.idempotency === 'idempotent' && !this._lifecycle.finished
  }

  /** Refuses the request if no attempt is running, because this gateway is about to be reclaimed. */
  refuseUnlessRunning (): void {
    this._advance({ kind: 'gateway-leaving' })
  }

  /** Cancels the running attempt and returns what another gateway needs to continue the request. */
  releaseForHandover (): HandedRequest | undefined {
    if (!this.mayBeHandedOver) return undefined
    this._releasedForHandover = true
    this._advance({ kind: 'handed-over' })
    return this.describeHandover(false)
  }

  describeHandover (complete: boolean): HandedRequest {
    const { requestId, workspace, route, completion, body, acceptedAt } = this.request
    return { requestId, workspace: workspace.name, route: route.name, endpoint: completion!.endpoint, body, acceptedAt, position: this._streamedResponse.position, events: Buffer.from(this._streamedResponse.readEvents()), complete, mayHaveRun: this._lifecycle.mayHaveRun }
  }

  /** Redirects the caller to the gateway that accepted the handover, or responds with an error if none did. */
  endAfterHandover (accepted: boolean): void {
    if (!this._releasedForHandover) return
    if (accepted) this._callerResponse.sendRedirect(`/v1/requests/${this.request.requestId}`)
    else this._callerResponse.sendError(createFailureError({ outcome: 'unknown', reason: 'handed-over' }))
    this._onFinished(this)
  }

  /** Migrates the request to another upstream, if it still runs on this one and is safe to retry. */
  migrateFrom (upstream: Upstream): void {
    if (this.upstream?.address !== upstream.address || this.upstream.incarnation !== upstream.incarnation) return
    this._migratedFrom = upstream
    this._advance({ kind: 'migrate' })
  }

  onAdmitted (upstream: UpstreamIdentity): void {
    this._advance({ kind: 'admitted', upstream })
  }

  onRefused (reason: RefusalReason, retryAfterSeconds: number): void {
    this._advance({ kind: 'refused', reason, retryAfterSeconds })
  }

  private _recordFirstBytes (): void {
    this._firstBytesAt = this._services.clock.now()
    this._services.instrumentation.emit('first-bytes', undefined, this.request.requestId, this._attempt?.id)
  }

  private get _dispatchState (): DispatchState {
    return this._attempt?.dispatch ?? 'not-offered'
  }

  private _advance (message: LifecycleMessage): void {
    for (const action of this._lifecycle.handle(message, this._services.clock.now())) this._execute(action)
  }

  private _execute (action: LifecycleAction): void {
    switch (action.kind) {
      case 'acquire-claim': return this._startClaim()
      case 'enqueue': return this._scheduleEnqueue(action)
      case 'withdraw': return this._services.dispatch.withdraw(this.request.requestId)
      case 'start-attempt': return this._startAttempt(action)
      case 'abandon-attempt': return this._attempt?.abandon('the gateway cancelled the attempt')
      case 'release-slot': return this._services.dispatch.release(this.request.requestId)
      case 'finish': return this._finish(action)
    }
  }

  private _startClaim (): void {
    this._acquireClaim().catch((error: unknown) => {
      this._services.instrumentation.emit('claim-failed', { error: describeError(error) }, this.request.requestId)
      this._respondedFromClaim = true
      this._callerResponse.sendError(CallerError.create('internal_error', 'The gateway failed before the request was sent to an upstream. It was not executed; report the request id to the operator.'))
      this._advance({ kind: 'claim-refused' })
    })
  }

  private async _acquireClaim (): Promise<void> {
    const request = this.request
    const acquisition = await this._services.claims.acquire({
      requestId: request.requestId,
      workspace: request.workspace.name,
      idempotencyKey: request.idempotencyKey!,
      requestDigest: this._digest,
      dispatchDeadline: startDeadlineOf(request) + CLAIM_DISPATCH_MARGIN_MILLISECONDS,
      answerDeadline: answerDeadlineOf(request)
    })
    this._services.instrumentation.emit('claim-settled', { result: acquisition.kind }, request.requestId)
    if (acquisition.kind === 'granted') return this._acceptClaim(acquisition.claim)
    if (this._lifecycle.finished) return
    this._respondedFromClaim = true
    if (acquisition.kind === 'replay') this._callerResponse.sendComplete(acquisition.response.status, { 'content-type': acquisition.response.contentType }, acquisition.response.body, 'complete')
    else this._callerResponse.sendError(acquisition.error)
    this._advance({ kind: 'claim-refused' })
  }

  private _acceptClaim (claim: HeldClaim): void {
    if (this._lifecycle.finished) return this._services.claims.release(claim)
    this._claim = claim
    this._advance({ kind: 'claim-granted', dispatchDeadline: claim.record.dispatchDeadline })
  }

  private _scheduleEnqueue (action: EnqueueAction): void {
    if (action.notBefore <= this._services.clock.now()) return this._enqueue(action)
    this._services.clock.schedule(action.notBefore, () => { if (!this._lifecycle.finished) this._enqueue(action) })
  }

  private _enqueue ({ excludedUpstreams, resumed }: EnqueueAction): void {
    const request = this.request
    this._services.dispatch.submit({
      requestId: request.requestId,
      workspace: request.workspace.name,
      weight: request.workspace.weight,
      rank: request.priority.rank,
      cost: 1,
      startDeadline: resumed ? answerDeadlineOf(request) : startDeadlineOf(request),
      service: request.service.name,
      promptTokens: request.promptTokens,
      prefixBlocks: request.prefixBlocks,
      excludedUpstreams,
      resumed,
      isolated: this._suspicion === 'suspect'
    }, this)
  }

  private _startAttempt (action: StartAction): void {
    const request = this.request
    const receiver = this._createReceiver(action)
    const attempt = UpstreamAttempt.create(action.attempt, action.upstream, receiver, report => this._endAttempt(attempt, report))
    this._attempt = attempt
    this._services.instrumentation.emit('attempt-started', { upstream: action.upstream.address, position: this._streamedResponse.position }, request.requestId, attempt.id)
    const reuse = request.route.idempotency === 'non-idempotent' ? 'fresh' : 'reuse'
    attempt.start(this._services.clients.clientOf(action.upstream, reuse), buildUpstreamRequest(request, this._streamedResponse, this._takeCacheSource(), this._services.clock.now()))
  }

  /** Returns the engine that the request migrated from, if fetching its cache is faster than prefilling and in time. */
  private _takeCacheSource (): CacheSource | undefined {
    const source = this._migratedFrom
    this._migratedFrom = undefined
    if (source?.leavingDeadline === undefined) return undefined
    const { abilities, prefillTokensPerSecond } = this.request.service
    const input = { tokens: this.request.promptTokens + this._streamedResponse.position, transferTokensPerSecond: abilities.cacheTransferTokensPerSecond, prefillTokensPerSecond, sourceDeadline: source.leavingDeadline }
    return shouldTransferCache(input, this._services.clock.now()) ? { address: source.address, request_id: this.request.requestId } : undefined
  }

  private _createReceiver (action: StartAction): ResponseReceiver {
    const { abilities } = this.request.service
    const common = { serverErrorsAreFinal: action.serverErrorsAreFinal, notRunStatuses: abilities.notRunStatuses, destination: this._delivery }
    const streamed = this.request.completion !== undefined && (this.request.completion.stream || isResumable(this.request))
    if (!streamed) return BufferedReceiver.create(common)
    return StreamReceiver.create({ ...common, response: this._streamedResponse, numbered: abilities.resume, responseId: this._delivery.expectedResponseId })
  }

  private _endAttempt (attempt: UpstreamAttempt, report: AttemptReport): void {
    const finalReport = this._completeIfFinished(report)
    this._services.instrumentation.emit('attempt-ended', { upstream: attempt.upstream.address, ending: finalReport.ending, dispatch: finalReport.dispatch, status: finalReport.status, position: finalReport.position, detail: finalReport.detail }, this.request.requestId, attempt.id)
    this._recordHealth(attempt.upstream, finalReport)
    if (this._recordSuspicion(attempt.upstream, finalReport) === 'quarantined') {
      void this._services.reportToPeers().finally(() => this._advance({ kind: 'quarantined' }))
      return
    }
    const retryAllowed = finalReport.ending !== 'complete' && finalReport.ending !== 'abandoned' && this._tryAcquireRetry(attempt)
    this._advance({ kind: 'attempt-ended', attempt: attempt.id, report: finalReport, retryAllowed })
  }

  /** Treats an attempt as complete if the upstream was lost after the last token but before the end marker. */
  private _completeIfFinished (report: AttemptReport): AttemptReport {
    if (report.ending === 'complete' || !this._delivery.isResponseComplete) return report
    this._delivery.appendDoneEvent()
    return { ...report, ending: 'complete' }
  }

  /** Whether a retry is allowed. A retry because of an announced reclaim is free; others consume the retry budget. */
  private _tryAcquireRetry (attempt: UpstreamAttempt): boolean {
    return this._isLeaving(attempt.upstream) || this._services.dispatch.tryTakeRetry(this.request.service.name)
  }

  private _isLeaving (identity: UpstreamIdentity): boolean {
    const upstream = this._services.table.find(identity)
    return upstream === undefined || upstream.incarnation !== identity.incarnation || upstream.state !== 'live'
  }

  /** Whether this request is suspected of crashing upstreams. Computes the digest only if there are any suspicions. */
  private get _suspicion (): SuspicionState {
    const { quarantine, clock } = this._services
    return quarantine.isEmpty ? 'clear' : quarantine.stateOf(this._digest, clock.now())
  }

  /** Records a crash if the upstream was lost unannounced; clears the request of suspicion when it completes. */
  private _recordSuspicion (upstream: UpstreamIdentity, report: AttemptReport): SuspicionState {
    const { quarantine, clock, instrumentation } = this._services
    if (report.ending === 'complete' && this._suspicion !== 'clear') quarantine.recordFinished(this._digest, clock.now())
    if (!report.connectionLost || this._isLeaving(upstream)) return 'clear'
    const state = quarantine.recordCrash(this._digest, crashIdOf(upstream, clock.now()), clock.now())
    instrumentation.emit('request-suspected', { state, upstream: upstream.address, digest: this._digest }, this.request.requestId)
    if (state === 'suspect') void this._services.reportToPeers()
    return state
  }

  private get _digest (): string {
    this._requestDigest ??= digestRequest(this.request)
    return this._requestDigest
  }

  private _recordHealth (upstream: UpstreamIdentity, report: AttemptReport): void {
    if (report.ending === 'complete') this._services.table.recordSuccess(upstream)
    else if (report.ending === 'broken' || report.ending === 'invalid') this._services.table.recordFailure(upstream, this._services.clock.now())
  }

  private _finish (action: FinishAction): void {
    this._deadlineTimer.cancel()
    if (this._releasedForHandover) return
    this._settleClaim(action)
    if (action.reason !== 'caller-gone' && !this._respondedFromClaim) this._respondToCaller(action)
    this._services.instrumentation.emit('request-ended', { outcome: action.outcome, reason: action.reason, attempts: this._lifecycle.attemptCount, position: this._streamedResponse.position }, this.request.requestId)
    this._onFinished(this)
  }

  private _respondToCaller (action: FinishAction): void {
    if (action.outcome === 'complete') this._delivery.finish()
    else this._callerResponse.sendError(createFailureError(action))
  }

  private _settleClaim (action: FinishAction): void {
    if (!this._claim) return
    if (action.outcome === 'not-run') this._services.claims.release(this._claim)
    else if (action.outcome === 'unknown') this._services.claims.markUnknown(this._claim)
    else this._services.claims.complete(this._claim, this._delivery.responseForClaim)
  }
}
