/**
 * Decides which request starts on which upstream, which waits, and which is refused. Combines the queues, the upstream
 * table and the router of one gateway, and returns actions that tasks execute.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Configuration, PriorityRecord, ServiceRecord } from '@plumstage/records'
import type { PrefixIndex } from '../routing/prefixIndex.js'
import type { Router } from '../routing/router.js'
import { isolationShareOf } from '../recovery/isolationShare.js'
import { keyOfUpstream } from '../upstreams/upstream.js'
import type { Upstream, UpstreamIdentity } from '../upstreams/upstream.js'
import type { UpstreamTable } from '../upstreams/upstreamTable.js'
import { FairQueue } from './fairQueue.js'
import { SuspectIsolation } from './suspectIsolation.js'
import type { WaitingRequest } from './fairQueue.js'
import { RetryBudget } from './retryBudget.js'
import { WaitEstimator } from './waitEstimator.js'

/** A request as the dispatcher sees it. */
export interface DispatchRequest extends WaitingRequest {
  service: string
  promptTokens: number
  prefixBlocks: readonly string[]
  /** Addresses of the upstreams on which an attempt of this request has failed. */
  excludedUpstreams: readonly string[]
  /** Whether the request has started before, and therefore precedes new requests of its class. */
  resumed: boolean
  /** Whether the request is suspected of crashing an upstream, and therefore runs alone on one. */
  isolated: boolean
}

/** Why a request was refused before it started. */
export type RefusalReason = 'no-upstream' | 'overloaded' | 'start-deadline' | 'service-removed'

/** A decision of the dispatcher that a task executes. */
export type DispatchAction =
  | { kind: 'start', requestId: string, upstream: UpstreamIdentity }
  | { kind: 'refuse', requestId: string, reason: RefusalReason, retryAfterSeconds: number }

interface ServiceQueue {
  waiting: FairQueue<DispatchRequest>
  waitEstimator: WaitEstimator
  retryBudget: RetryBudget
  runningByRank: Map<number, number>
  /** Waiting suspects (requests that may have crashed an upstream), in order of arrival. */
  suspects: DispatchRequest[]
  isolation: SuspectIsolation
}

interface RunningRequest {
  request: DispatchRequest
  upstream: UpstreamIdentity
  startedAt: Timestamp
}

const RETRY_AFTER_NO_UPSTREAM_SECONDS = 2

/** Performs the admission and routing of one gateway. */
export class Dispatcher {
  private readonly _table: UpstreamTable
  private readonly _router: Router
  private readonly _prefixIndex: PrefixIndex
  private readonly _queues = new Map<string, ServiceQueue>()
  private readonly _running = new Map<string, RunningRequest>()
  private _configuration: Configuration
  private readonly _self: string
  private _gateways: readonly string[]

  private constructor (self: string, table: UpstreamTable, router: Router, prefixIndex: PrefixIndex, configuration: Configuration) {
    this._self = self
    this._gateways = [self]
    this._table = table
    this._router = router
    this._prefixIndex = prefixIndex
    this._configuration = configuration
  }

  /** `self` is the name of this gateway. */
  static create (self: string, table: UpstreamTable, router: Router, prefixIndex: PrefixIndex, configuration: Configuration): Dispatcher {
    return new Dispatcher(self, table, router, prefixIndex, configuration)
  }

  get waitingCount (): number {
    let count = 0
    for (const queue of this._queues.values()) count += queue.waiting.size + queue.suspects.length
    return count
  }

  get runningCount (): number {
    return this._running.size
  }

  applyConfiguration (configuration: Configuration, now: Timestamp): DispatchAction[] {
    this._configuration = configuration
    return this.dispatchWaiting(now)
  }

  /** Replaces the list of present gateways, given by name and including this one. */
  applyGateways (gateways: readonly string[]): void {
    this._gateways = gateways
  }

  /** Queues, starts or refuses a new request, or one that needs another attempt. */
  submit (request: DispatchRequest, now: Timestamp): DispatchAction[] {
    const service = this._configuration.services.get(request.service)
    if (!service) return [refuse(request, 'service-removed', RETRY_AFTER_NO_UPSTREAM_SECONDS)]
    const queue = this._queueOf(request.service)
    if (!request.resumed) queue.retryBudget.recordRequest()
    const refusal = this._refuseEarly(request, service, queue, now)
    if (refusal) return [refusal]
    if (request.isolated) queue.suspects.push(request)
    else if (request.resumed) queue.waiting.addResumed(request)
    else queue.waiting.add(request)
    return this._dispatchService(service, queue, now)
  }

  /** Removes a waiting request. */
  withdraw (requestId: string): void {
    for (const queue of this._queues.values()) {
      queue.suspects = queue.suspects.filter(suspect => suspect.requestId !== requestId)
      if (queue.waiting.remove(requestId)) return
    }
  }

  /** Records that the running attempt of a request has ended, and starts waiting requests of its service. */
  release (requestId: string, now: Timestamp): DispatchAction[] {
    const running = this._running.get(requestId)
    if (!running) return []
    this._running.delete(requestId)
    this._table.recordAttemptEnded(running.upstream)
    const queue = this._queueOf(running.request.service)
    addToCount(queue.runningByRank, running.request.rank, -1)
    queue.isolation.recordEnd(requestId)
    queue.waitEstimator.recordSlotOccupancy(now - running.startedAt)
    return this.dispatchWaitingOfService(running.request.service, now)
  }

  tryTakeRetry (service: string): boolean {
    return this._queueOf(service).retryBudget.tryTake()
  }

  /** Starts the waiting requests of all services that can start, and refuses those that have expired. */
  dispatchWaiting (now: Timestamp): DispatchAction[] {
    return [...this._queues.keys()].flatMap(service => this.dispatchWaitingOfService(service, now))
  }

  dispatchWaitingOfService (name: string, now: Timestamp): DispatchAction[] {
    const queue = this._queueOf(name)
    if (queue.suspects.length === 0) queue.isolation.releaseIdle()
    if (queue.waiting.size === 0 && queue.suspects.length === 0) return []
    const service = this._configuration.services.get(name)
    if (!service) return this._refuseAll(queue)
    return this._dispatchService(service, queue, now)
  }

  private _dispatchService (service: ServiceRecord, queue: ServiceQueue, now: Timestamp): DispatchAction[] {
    const actions: DispatchAction[] = []
    for (const request of takeExpired(queue, now)) actions.push(refuse(request, 'start-deadline', this._estimateRetryAfterSeconds(service, queue, request, now)))
    actions.push(...this._startSuspects(service, queue, now))
    for (;;) {
      const free = this._listWithFreeSlots(service, queue, now)
      if (free.length === 0) return actions
      const request = queue.waiting.peek(candidate => this._hasUnreservedSlot(candidate, service, queue, free) && this._hasAcceptableUpstream(candidate, free, now))
      if (!request) return actions
      actions.push(this._start(request, service, queue, free, now))
    }
  }

  /** Starts suspects on the upstreams that are reserved for them. */
  private _startSuspects (service: ServiceRecord, queue: ServiceQueue, now: Timestamp): DispatchAction[] {
    const actions: DispatchAction[] = []
    while (queue.suspects.length > 0) {
      const [suspect] = queue.suspects
      const upstream = queue.isolation.findOrReserveUpstream(this._listIsolationCandidates(service, now), suspect.excludedUpstreams)
      if (!upstream) break
      queue.suspects.shift()
      queue.isolation.recordStart(upstream.address, suspect.requestId)
      actions.push(this._startOn(suspect, upstream, queue, now))
    }
    return actions
  }

  private _listIsolationCandidates (service: ServiceRecord, now: Timestamp): Upstream[] {
    const localShare = isolationShareOf(this._gateways, this._self, this._table.listOfService(service.name).map(upstream => upstream.address))
    return this._table.listAvailable(service.name, now).filter(upstream => localShare.has(upstream.address))
  }

  private _start (request: DispatchRequest, service: ServiceRecord, queue: ServiceQueue, free: readonly Upstream[], now: Timestamp): DispatchAction {
    queue.waiting.dequeue(request.requestId)
    const candidates = preferUntried(free, request)
    const upstream = this._router.choose({ service, promptTokens: request.promptTokens, prefixBlocks: request.prefixBlocks }, candidates, now) ?? candidates[0]
    return this._startOn(request, upstream, queue, now)
  }

  private _startOn (request: DispatchRequest, upstream: Upstream, queue: ServiceQueue, now: Timestamp): DispatchAction {
    const identity = { service: upstream.service, address: upstream.address, incarnation: upstream.incarnation }
    this._running.set(request.requestId, { request, upstream: identity, startedAt: now })
    this._table.recordAttemptStarted(identity)
    addToCount(queue.runningByRank, request.rank, 1)
    this._prefixIndex.recordSent(keyOfUpstream(identity), request.prefixBlocks)
    return { kind: 'start', requestId: request.requestId, upstream: identity }
  }

  private _refuseEarly (request: DispatchRequest, service: ServiceRecord, queue: ServiceQueue, now: Timestamp): DispatchAction | undefined {
    if (request.resumed) return undefined
    const slots = this._countSlots(service, now)
    if (slots === 0 && this._table.listOfService(service.name).length === 0) return refuse(request, 'no-upstream', RETRY_AFTER_NO_UPSTREAM_SECONDS)
    if (slots === 0) return undefined
    const wait = queue.waitEstimator.estimateWait(countAheadOf(queue, request), slots)
    if (now + wait < request.startDeadline) return undefined
    return refuse(request, 'overloaded', this._estimateRetryAfterSeconds(service, queue, request, now))
  }

  private _refuseAll (queue: ServiceQueue): DispatchAction[] {
    return takeExpired(queue, Number.POSITIVE_INFINITY).map(request => refuse(request, 'service-removed', RETRY_AFTER_NO_UPSTREAM_SECONDS))
  }

  private _estimateRetryAfterSeconds (service: ServiceRecord, queue: ServiceQueue, request: DispatchRequest, now: Timestamp): number {
    return queue.waitEstimator.estimateRetryAfterSeconds(countAheadOf(queue, request), this._countSlots(service, now))
  }

  private _listWithFreeSlots (service: ServiceRecord, queue: ServiceQueue, now: Timestamp): Upstream[] {
    return this._table.listAvailable(service.name, now).filter(upstream => upstream.estimatedLoad < service.concurrencyPerUpstream && !queue.isolation.isReserved(upstream.address))
  }

  private _countSlots (service: ServiceRecord, now: Timestamp): number {
    return this._table.listAvailable(service.name, now).length * service.concurrencyPerUpstream
  }

  /** Whether more slots are free than are reserved for higher priority classes. Resumed requests ignore reservations. */
  private _hasUnreservedSlot (request: DispatchRequest, service: ServiceRecord, queue: ServiceQueue, free: readonly Upstream[]): boolean {
    if (request.resumed) return true
    const freeSlots = free.reduce((sum, upstream) => sum + service.concurrencyPerUpstream - upstream.estimatedLoad, 0)
    return freeSlots > this._countReservedSlots(request, service, queue)
  }

  /** Whether a free upstream suits the request, which waits for an untried upstream as long as one is available. */
  private _hasAcceptableUpstream (request: DispatchRequest, free: readonly Upstream[], now: Timestamp): boolean {
    if (request.excludedUpstreams.length === 0) return true
    const isUntried = (upstream: Upstream): boolean => !request.excludedUpstreams.includes(upstream.address)
    return free.some(isUntried) || !this._table.listAvailable(request.service, now).some(isUntried)
  }

  private _countReservedSlots (request: DispatchRequest, service: ServiceRecord, queue: ServiceQueue): number {
    const slots = this._table.listOfService(service.name).length * service.concurrencyPerUpstream
    let reserved = 0
    for (const priority of this._prioritiesOf(service.name)) {
      if (priority.rank >= request.rank) continue
      reserved += Math.max(0, Math.floor(priority.reservedShare * slots) - (queue.runningByRank.get(priority.rank) ?? 0))
    }
    return reserved
  }

  private _prioritiesOf (service: string): PriorityRecord[] {
    return this._configuration.listPrioritiesOfService(service)
  }

  private _queueOf (service: string): ServiceQueue {
    let queue = this._queues.get(service)
    if (!queue) {
      queue = { waiting: FairQueue.create(), waitEstimator: WaitEstimator.create(), retryBudget: RetryBudget.create(), runningByRank: new Map(), suspects: [], isolation: SuspectIsolation.create() }
      this._queues.set(service, queue)
    }
    return queue
  }
}

function countAheadOf (queue: ServiceQueue, request: DispatchRequest): number {
  return queue.waiting.countAheadOf(request.rank, request.workspace, request.weight)
}

/** Removes and returns the waiting requests and suspects whose start deadline has passed. */
function takeExpired (queue: ServiceQueue, now: Timestamp): DispatchRequest[] {
  const expiredSuspects = queue.suspects.filter(suspect => suspect.startDeadline <= now)
  queue.suspects = queue.suspects.filter(suspect => suspect.startDeadline > now)
  return [...queue.waiting.takeExpired(now), ...expiredSuspects]
}

/** Excludes upstreams on which the request has failed, unless no other is free. */
function preferUntried (free: readonly Upstream[], request: DispatchRequest): readonly Upstream[] {
  if (request.excludedUpstreams.length === 0) return free
  const untried = free.filter(upstream => !request.excludedUpstreams.includes(upstream.address))
  return untried.length > 0 ? untried : free
}

function refuse (request: DispatchRequest, reason: RefusalReason, retryAfterSeconds: number): DispatchAction {
  return { kind: 'refuse', requestId: request.requestId, reason, retryAfterSeconds }
}

function addToCount (counts: Map<number, number>, rank: number, change: number): void {
  counts.set(rank, (counts.get(rank) ?? 0) + change)
}
