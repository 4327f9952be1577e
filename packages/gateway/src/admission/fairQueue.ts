/**
 * Queues the waiting requests of one service: priority classes in order of rank, and weighted fair queueing between the
 * workspaces of a class.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** A request that waits for an upstream. */
export interface WaitingRequest {
  requestId: string
  workspace: string
  /** Weight of the workspace relative to the other workspaces. */
  weight: number
  /** Rank of the priority class; 0 is served first. */
  rank: number
  /** Expected work, in any unit that is the same for all requests of the service. */
  cost: number
  /** Time at which the request is refused if it has not started. */
  startDeadline: Timestamp
}

interface QueuedRequest<Request extends WaitingRequest> {
  request: Request
  /** Virtual time at which the request would finish if its workspace were served exactly at its share. */
  finishTag: number
  arrivalNumber: number
}

interface PriorityClass<Request extends WaitingRequest> {
  rank: number
  virtualTime: number
  finishTagByWorkspace: Map<string, number>
  /** Requests by workspace, in order of arrival, which is also the order of their finish tags. */
  byWorkspace: Map<string, Array<QueuedRequest<Request>>>
  /** Requests that have started before; they precede all others of the class. */
  resumed: Array<QueuedRequest<Request>>
}

/**
 * Selects the next request to serve. Within a class, that is the request with the lowest finish tag; starting it advances
 * the virtual time of the class to its start tag, as in start-time fair queueing.
 */
export class FairQueue<Request extends WaitingRequest> {
  /** Sorted by rank. */
  private readonly _classes: Array<PriorityClass<Request>> = []
  private readonly _classOfRequest = new Map<string, PriorityClass<Request>>()
  private _nextArrivalNumber = 0

  static create<Request extends WaitingRequest> (): FairQueue<Request> {
    return new FairQueue<Request>()
  }

  get size (): number {
    return this._classOfRequest.size
  }

  add (request: Request): void {
    const priorityClass = this._classOf(request.rank)
    const start = Math.max(priorityClass.virtualTime, priorityClass.finishTagByWorkspace.get(request.workspace) ?? 0)
    const finishTag = start + request.cost / request.weight
    priorityClass.finishTagByWorkspace.set(request.workspace, finishTag)
    const queued = priorityClass.byWorkspace.get(request.workspace) ?? []
    priorityClass.byWorkspace.set(request.workspace, queued)
    queued.push({ request, finishTag, arrivalNumber: this._nextArrivalNumber++ })
    this._classOfRequest.set(request.requestId, priorityClass)
  }

  /** Adds a request that has started before; it precedes the new requests of its class. */
  addResumed (request: Request): void {
    const priorityClass = this._classOf(request.rank)
    priorityClass.resumed.push({ request, finishTag: priorityClass.virtualTime, arrivalNumber: this._nextArrivalNumber++ })
    this._classOfRequest.set(request.requestId, priorityClass)
  }

  /**
   * Returns the next request to serve for which `canServe` holds, without removing it. Considers all resumed requests,
   * but only the longest waiting request of each workspace.
   */
  peek (canServe: (request: Request) => boolean): Request | undefined {
    for (const priorityClass of this._classes) {
      const resumed = priorityClass.resumed.find(candidate => canServe(candidate.request))
      if (resumed) return resumed.request
      const next = findEarliest(priorityClass.byWorkspace.values(), canServe)
      if (next) return next.request
    }
    return undefined
  }

  remove (requestId: string): Request | undefined {
    return this._removeQueued(requestId)?.request
  }

  /** Removes a request that is about to start, and advances the virtual time of its class. */
  dequeue (requestId: string): Request | undefined {
    const priorityClass = this._classOfRequest.get(requestId)
    const queued = this._removeQueued(requestId)
    if (!priorityClass || !queued) return undefined
    const startTag = queued.finishTag - queued.request.cost / queued.request.weight
    priorityClass.virtualTime = Math.max(priorityClass.virtualTime, startTag)
    if (isEmpty(priorityClass)) reset(priorityClass)
    return queued.request
  }

  /** Removes and returns the requests whose start deadline has passed. */
  takeExpired (now: Timestamp): Request[] {
    const expired: Request[] = []
    for (const priorityClass of this._classes) {
      for (const queued of [priorityClass.resumed, ...priorityClass.byWorkspace.values()]) {
        for (const { request } of queued) if (request.startDeadline <= now) expired.push(request)
      }
    }
    for (const request of expired) this.remove(request.requestId)
    return expired
  }

  /** Returns how many requests wait in the class of this rank and in all higher classes. */
  countAhead (rank: number): number {
    let ahead = 0
    for (const priorityClass of this._classes) {
      if (priorityClass.rank > rank) break
      ahead += priorityClass.resumed.length
      for (const queued of priorityClass.byWorkspace.values()) ahead += queued.length
    }
    return ahead
  }

  /**
   * Estimates how many requests are served before a new request of a workspace in this class: all requests of higher
   * classes, all resumed ones and those of the same workspace, and for each other workspace at most as many as its weight
   * allows in that time.
   */
  countAheadOf (rank: number, workspace: string, weight: number): number {
    const priorityClass = this._classes.find(candidate => candidate.rank === rank)
    const higher = this.countAhead(rank - 1)
    if (!priorityClass) return higher
    const sameWorkspace = priorityClass.byWorkspace.get(workspace)?.length ?? 0
    let ahead = higher + priorityClass.resumed.length + sameWorkspace
    for (const [other, queued] of priorityClass.byWorkspace) {
      if (other === workspace || queued.length === 0) continue
      const share = Math.ceil((sameWorkspace + 1) * queued[0].request.weight / weight)
      ahead += Math.min(queued.length, share)
    }
    return ahead
  }

  private _removeQueued (requestId: string): QueuedRequest<Request> | undefined {
    const priorityClass = this._classOfRequest.get(requestId)
    if (!priorityClass) return undefined
    this._classOfRequest.delete(requestId)
    const lists = [priorityClass.resumed, ...priorityClass.byWorkspace.values()]
    for (const list of lists) {
      const index = list.findIndex(candidate => candidate.request.requestId === requestId)
      if (index === -1) continue
      const [removed] = list.splice(index, 1)
      if (isEmpty(priorityClass)) reset(priorityClass)
      return removed
    }
    return undefined
  }

  private _classOf (rank: number): PriorityClass<Request> {
    let priorityClass = this._classes.find(candidate => candidate.rank === rank)
    if (!priorityClass) {
      priorityClass = { rank, virtualTime: 0, finishTagByWorkspace: new Map(), byWorkspace: new Map(), resumed: [] }
      this._classes.push(priorityClass)
      this._classes.sort((left, right) => left.rank - right.rank)
    }
    return priorityClass
  }
}

function findEarliest<Request extends WaitingRequest> (lists: Iterable<ReadonlyArray<QueuedRequest<Request>>>, canServe: (request: Request) => boolean): QueuedRequest<Request> | undefined {
  let earliest: QueuedRequest<Request> | undefined
  for (const [head] of lists) {
    if (!head || !canServe(head.request)) continue
    if (!earliest || head.finishTag < earliest.finishTag || (head.finishTag === earliest.finishTag && head.arrivalNumber < earliest.arrivalNumber)) earliest = head
  }
  return earliest
}

function isEmpty<Request extends WaitingRequest> (priorityClass: PriorityClass<Request>): boolean {
  if (priorityClass.resumed.length > 0) return false
  for (const queued of priorityClass.byWorkspace.values()) if (queued.length > 0) return false
  return true
}

/** Resets a class that has become empty, so that no state is kept for idle workspaces. */
function reset<Request extends WaitingRequest> (priorityClass: PriorityClass<Request>): void {
  priorityClass.virtualTime = 0
  priorityClass.finishTagByWorkspace.clear()
  priorityClass.byWorkspace.clear()
}
