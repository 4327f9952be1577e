/**
 * Carries out the lifecycle of one request: owns its response, its claim and its running attempt.
 *
 * @module
 */
import { describeError } from '@plumstage/common'
import type { Clock, Instrumentation, Timer, Timestamp } from '@plumstage/common'
import type { DispatchClient, DispatchTask } from '../admission/dispatchTask.js'
import type { RefusalReason } from '../admission/dispatcher.js'
import { CallerError } from '../callers/callerError.js'
import type { CallerResponse } from '../callers/callerResponse.js'
import { createFailureError } from '../callers/failureErrors.js'
import type { ClaimRegistry, HeldClaim } from '../claims/claimRegistry.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { QuarantineTable, SuspicionState } from '@plumstage/serving'
import type { ReclaimedRequest } from '../recovery/reclaimPlanner.js'
import { paysToTransfer } from '../recovery/cacheTransfer.js'
import type { Upstream, UpstreamIdentity } from '../upstreams/upstream.js'
import type { UpstreamClients } from '../upstreams/upstreamClients.js'
import type { UpstreamTable } from '../upstreams/upstreamTable.js'
import { AnswerDelivery } from './answerDelivery.js'
import { describeCrash, digestCall } from './callChecks.js'
import type { AttemptReport, DispatchState } from './dispatchBoundary.js'
import { answerDeadlineOf, startDeadlineOf } from './inboundCall.js'
import type { InboundCall } from './inboundCall.js'
import { CLAIM_PAUSE_MARGIN_MILLISECONDS, RequestLifecycle } from './requestLifecycle.js'
import type { LifecycleAction, LifecycleMessage } from './requestLifecycle.js'
import { StreamReceiver } from './streamReceiver.js'
import type { StreamedAnswer } from './streamedAnswer.js'
import { UpstreamAttempt } from './upstreamAttempt.js'
import type { AnswerReceiver } from './upstreamAttempt.js'
import { buildUpstreamCall, isResumable } from './upstreamCallBuilder.js'
import type { CacheSource } from './upstreamCallBuilder.js'
import { WholeReceiver } from './wholeReceiver.js'

/** What all request tasks of a gateway share. */
export interface RequestServices {
  clock: Clock
  instrumentation: Instrumentation
  dispatch: DispatchTask
  clients: UpstreamClients
  table: UpstreamTable
  claims: ClaimRegistry
  quarantine: QuarantineTable
  /** Tells all peers at once what they must not hear late. */
  tellPeers (): Promise<void>
}

type FinishAction = Extract<LifecycleAction, { kind: 'finish' }>
type EnqueueAction = Extract<LifecycleAction, { kind: 'enqueue' }>
type StartAction = Extract<LifecycleAction, { kind: 'start-attempt' }>

/** One request in flight. */
export class RequestTask implements DispatchClient {
  readonly call: InboundCall
  private readonly _services: RequestServices
  private readonly _response: CallerResponse
  private readonly _onFinished: (task: RequestTask) => void
  private readonly _lifecycle: RequestLifecycle
  private readonly _answer: StreamedAnswer
  private readonly _deadlineTimer: Timer
  private _attempt: UpstreamAttempt | undefined
  private _claim: HeldClaim | undefined
  private readonly _delivery: AnswerDelivery
  private _answeredFromClaim = false
  private _handedOver = false
  private _firstBytesAt: Timestamp = 0
  private _callDigest: string | undefined
  private _leftUpstream: Upstream | undefined

  private constructor (services: RequestServices, call: InboundCall, response: CallerResponse, answer: StreamedAnswer, onFinished: (task: RequestTask) => void) {
    this._services = services
    this._answer = answer
    this.call = call
    this._response = response
    this._onFinished = onFinished
    this._delivery = AnswerDelivery.create(call, response, answer, () => this._noteFirstBytes())
    this._lifecycle = RequestLifecycle.create({
      requestId: call.requestId,
      idempotency: call.route.idempotency,
      hasIdempotencyKey: call.idempotencyKey !== undefined,
      abilities: call.service.abilities,
      answerDeadline: answerDeadlineOf(call),
      handedOver: call.handedOver
    })
    this._deadlineTimer = services.clock.schedule(answerDeadlineOf(call), () => this._tell({ kind: 'deadline-reached', dispatch: this._dispatch }))
  }

  /** Creates the task of a call; `answer` holds what another gateway had of it already. */
  static create (services: RequestServices, call: InboundCall, response: CallerResponse, answer: StreamedAnswer, onFinished: (task: RequestTask) => void): RequestTask {
    return new RequestTask(services, call, response, answer, onFinished)
  }

  get upstream (): UpstreamIdentity | undefined {
    return this._lifecycle.runningUpstream
  }

  /** Says what a move away from the running upstream would cost, and whether the answer may end before. */
  describeForReclaim (now: Timestamp): ReclaimedRequest {
    const position = this._answer.position
    const maximumTokens = this.call.completion?.body.max_tokens
    return {
      requestId: this.call.requestId,
      tokensAtStake: this.call.promptTokens + position,
      tokensLeft: typeof maximumTokens === 'number' ? maximumTokens - position : undefined,
      millisecondsPerToken: position > 0 ? (now - this._firstBytesAt) / position : undefined
    }
  }

  start (): void {
    const call = this.call
    this._services.instrumentation.emit('request-accepted', { workspace: call.workspace.name, route: call.route.name, priority: call.priority.name, promptTokens: call.promptTokens }, call.requestId)
    this._response.onCallerDisconnected(() => this._tell({ kind: 'caller-gone', dispatch: this._dispatch }))
    if (this._delivery.isAnswerWhole) {
      this._delivery.addEnd()
      return this._finish({ kind: 'finish', outcome: 'complete' })
    }
    this._tell(this._suspicion === 'quarantined' ? { kind: 'quarantined' } : { kind: 'begin' })
  }

  /** Whether another gateway can go on with the request without running anything twice. */
  get mayBeHandedOver (): boolean {
    return isResumable(this.call) && this.call.route.idempotency === 'idempotent' && !this._lifecycle.finished
  }

  /** Refuses the request if it has not started, because this gateway is about to be taken away. */
  refuseUnlessStarted (): void {
    this._tell({ kind: 'gateway-leaving' })
  }

  /** Ends the running attempt and returns what another gateway needs to go on. */
  releaseForHandover (): HandedRequest | undefined {
    if (!this.mayBeHandedOver) return undefined
    this._handedOver = true
    this._tell({ kind: 'handed-over' })
    return this.describeHandover(false)
  }

  describeHandover (complete: boolean): HandedRequest {
    const { requestId, workspace, route, completion, body, acceptedAt } = this.call
    return { requestId, workspace: workspace.name, route: route.name, endpoint: completion!.endpoint, body, acceptedAt, position: this._answer.position, events: Buffer.from(this._answer.readEvents()), complete, mayHaveRun: this._lifecycle.mayHaveRun }
  }

  /** Tells the caller what became of its request after a hand-over. */
  endAfterHandover (accepted: boolean): void {
    if (!this._handedOver) return
    if (accepted) this._response.sendRedirect(`/v1/requests/${this.call.requestId}`)
    else this._response.sendError(createFailureError({ outcome: 'unknown', reason: 'handed-over' }))
    this._onFinished(this)
  }

  /** Moves the request to another upstream, if it still runs on this one and may be repeated. */
  moveFrom (upstream: Upstream): void {
    if (this.upstream?.address !== upstream.address || this.upstream.incarnation !== upstream.incarnation) return
    this._leftUpstream = upstream
    this._tell({ kind: 'move' })
  }

  onAdmitted (upstream: UpstreamIdentity): void {
    this._tell({ kind: 'admitted', upstream })
  }

  onRefused (reason: RefusalReason, retryAfterSeconds: number): void {
    this._tell({ kind: 'refused', reason, retryAfterSeconds })
  }

  private _noteFirstBytes (): void {
    this._firstBytesAt = this._services.clock.now()
    this._services.instrumentation.emit('first-bytes', undefined, this.call.requestId, this._attempt?.id)
  }

  private get _dispatch (): DispatchState {
    return this._attempt?.dispatch ?? 'not-offered'
  }

  private _tell (message: LifecycleMessage): void {
    for (const action of this._lifecycle.handle(message, this._services.clock.now())) this._carryOut(action)
  }

  private _carryOut (action: LifecycleAction): void {
    switch (action.kind) {
      case 'acquire-claim': return this._beginClaim()
      case 'enqueue': return this._enqueueAt(action)
      case 'withdraw': return this._services.dispatch.withdraw(this.call.requestId)
      case 'start-attempt': return this._startAttempt(action)
      case 'abandon-attempt': return this._attempt?.abandon('given up')
      case 'release-slot': return this._services.dispatch.release(this.call.requestId)
      case 'finish': return this._finish(action)
    }
  }

  private _beginClaim (): void {
    this._acquireClaim().catch((error: unknown) => {
      this._services.instrumentation.emit('claim-failed', { error: describeError(error) }, this.call.requestId)
      this._answeredFromClaim = true
      this._response.sendError(CallerError.create('internal_error', 'The gateway failed before the request was sent to an upstream. It was not run; report the request id to the operator.'))
      this._tell({ kind: 'claim-refused' })
    })
  }

  private async _acquireClaim (): Promise<void> {
    const call = this.call
    const acquisition = await this._services.claims.acquire({
      requestId: call.requestId,
      workspace: call.workspace.name,
      idempotencyKey: call.idempotencyKey!,
      requestDigest: this._digest,
      dispatchDeadline: startDeadlineOf(call) + CLAIM_PAUSE_MARGIN_MILLISECONDS,
      answerDeadline: answerDeadlineOf(call)
    })
    this._services.instrumentation.emit('claim-settled', { result: acquisition.kind }, call.requestId)
    if (acquisition.kind === 'granted') return this._acceptClaim(acquisition.claim)
    if (this._lifecycle.finished) return
    this._answeredFromClaim = true
    if (acquisition.kind === 'replay') this._response.sendComplete(acquisition.answer.status, { 'content-type': acquisition.answer.contentType }, acquisition.answer.body, 'complete')
    else this._response.sendError(acquisition.error)
    this._tell({ kind: 'claim-refused' })
  }

  private _acceptClaim (claim: HeldClaim): void {
    if (this._lifecycle.finished) return this._services.claims.release(claim)
    this._claim = claim
    this._tell({ kind: 'claim-granted', dispatchDeadline: claim.record.dispatchDeadline })
  }

  private _enqueueAt (action: EnqueueAction): void {
    if (action.notBefore <= this._services.clock.now()) return this._enqueue(action)
    this._services.clock.schedule(action.notBefore, () => { if (!this._lifecycle.finished) this._enqueue(action) })
  }

  private _enqueue ({ excludedUpstreams, resumed }: EnqueueAction): void {
    const call = this.call
    this._services.dispatch.offer({
      requestId: call.requestId,
      workspace: call.workspace.name,
      weight: call.workspace.weight,
      rank: call.priority.rank,
      cost: 1,
      startDeadline: resumed ? answerDeadlineOf(call) : startDeadlineOf(call),
      service: call.service.name,
      promptTokens: call.promptTokens,
      prefixBlocks: call.prefixBlocks,
      excludedUpstreams,
      resumed,
      isolated: this._suspicion === 'suspect'
    }, this)
  }

  private _startAttempt (action: StartAction): void {
    const call = this.call
    const receiver = this._createReceiver(action)
    const attempt = UpstreamAttempt.create(action.attempt, action.upstream, receiver, report => this._endAttempt(attempt, report))
    this._attempt = attempt
    this._services.instrumentation.emit('attempt-started', { upstream: action.upstream.address, position: this._answer.position }, call.requestId, attempt.id)
    const reuse = call.route.idempotency === 'non-idempotent' ? 'fresh' : 'reuse'
    attempt.start(this._services.clients.clientOf(action.upstream, reuse), buildUpstreamCall(call, this._answer, this._takeCacheSource(), this._services.clock.now()))
  }

  /** Returns the engine that the request has just left, if fetching its state from there pays. */
  private _takeCacheSource (): CacheSource | undefined {
    const left = this._leftUpstream
    this._leftUpstream = undefined
    if (left?.leavingDeadline === undefined) return undefined
    const { abilities, prefillTokensPerSecond } = this.call.service
    const question = { tokens: this.call.promptTokens + this._answer.position, transferTokensPerSecond: abilities.cacheTransferTokensPerSecond, prefillTokensPerSecond, sourceDeadline: left.leavingDeadline }
    return paysToTransfer(question, this._services.clock.now()) ? { address: left.address, request_id: this.call.requestId } : undefined
  }

  private _createReceiver (action: StartAction): AnswerReceiver {
    const { abilities } = this.call.service
    const common = { serverErrorsAreFinal: action.serverErrorsAreFinal, notRunStatuses: abilities.notRunStatuses, destination: this._delivery }
    const streamed = this.call.completion !== undefined && (this.call.completion.stream || isResumable(this.call))
    if (!streamed) return WholeReceiver.create(common)
    return StreamReceiver.create({ ...common, answer: this._answer, numbered: abilities.resume, answerId: this._delivery.expectedAnswerId })
  }

  private _endAttempt (attempt: UpstreamAttempt, report: AttemptReport): void {
    const settled = this._completeIfFinished(report)
    this._services.instrumentation.emit('attempt-ended', { upstream: attempt.upstream.address, ending: settled.ending, dispatch: settled.dispatch, status: settled.status, position: settled.position, detail: settled.detail }, this.call.requestId, attempt.id)
    this._recordHealth(attempt.upstream, settled)
    if (this._recordSuspicion(attempt.upstream, settled) === 'quarantined') {
      void this._services.tellPeers().finally(() => this._tell({ kind: 'quarantined' }))
      return
    }
    const retryAllowed = settled.ending !== 'complete' && settled.ending !== 'abandoned' && this._mayRetry(attempt)
    this._tell({ kind: 'attempt-ended', attempt: attempt.id, report: settled, retryAllowed })
  }

  /** An upstream lost after the last token but before the end marker has given the whole answer. */
  private _completeIfFinished (report: AttemptReport): AttemptReport {
    if (report.ending === 'complete' || !this._delivery.isAnswerWhole) return report
    this._delivery.addEnd()
    return { ...report, ending: 'complete' }
  }

  /** A retry because of an announced reclaim is free; any other is taken from the budget. */
  private _mayRetry (attempt: UpstreamAttempt): boolean {
    return this._isLeaving(attempt.upstream) || this._services.dispatch.tryTakeRetry(this.call.service.name)
  }

  private _isLeaving (identity: UpstreamIdentity): boolean {
    const upstream = this._services.table.find(identity)
    return upstream === undefined || upstream.incarnation !== identity.incarnation || upstream.state !== 'live'
  }

  /** How far this request is suspected of crashing upstreams. The digest is taken only when anything is suspected. */
  private get _suspicion (): SuspicionState {
    const { quarantine, clock } = this._services
    return quarantine.empty ? 'clear' : quarantine.stateOf(this._digest, clock.now())
  }

  /** Suspects the request when its upstream was lost without notice; clears it when it has finished. */
  private _recordSuspicion (upstream: UpstreamIdentity, report: AttemptReport): SuspicionState {
    const { quarantine, clock, instrumentation } = this._services
    if (report.ending === 'complete' && this._suspicion !== 'clear') quarantine.recordFinished(this._digest, clock.now())
    if (!report.connectionLost || this._isLeaving(upstream)) return 'clear'
    const state = quarantine.recordCrash(this._digest, describeCrash(upstream, clock.now()), clock.now())
    instrumentation.emit('request-suspected', { state, upstream: upstream.address, digest: this._digest }, this.call.requestId)
    if (state === 'suspect') void this._services.tellPeers()
    return state
  }

  private get _digest (): string {
    this._callDigest ??= digestCall(this.call)
    return this._callDigest
  }

  private _recordHealth (upstream: UpstreamIdentity, report: AttemptReport): void {
    if (report.ending === 'complete') this._services.table.recordSuccess(upstream)
    else if (report.ending === 'broken' || report.ending === 'invalid') this._services.table.recordFailure(upstream, this._services.clock.now())
  }

  private _finish (action: FinishAction): void {
    this._deadlineTimer.cancel()
    if (this._handedOver) return
    this._settleClaim(action)
    if (action.reason !== 'caller-gone' && !this._answeredFromClaim) this._answerCaller(action)
    this._services.instrumentation.emit('request-ended', { outcome: action.outcome, reason: action.reason, attempts: this._lifecycle.attemptCount, position: this._answer.position }, this.call.requestId)
    this._onFinished(this)
  }

  private _answerCaller (action: FinishAction): void {
    if (action.outcome === 'complete') this._delivery.finish()
    else this._response.sendError(createFailureError(action))
  }

  private _settleClaim (action: FinishAction): void {
    if (!this._claim) return
    if (action.outcome === 'not-run') this._services.claims.release(this._claim)
    else if (action.outcome === 'unknown') this._services.claims.markUnknown(this._claim)
    else this._services.claims.complete(this._claim, this._delivery.keptAnswer)
  }
}
