/**
 * Waiting requests of one service: priority classes in order of rank, workspaces within a class by weighted fair share.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** A request that waits for an upstream. */
export interface WaitingRequest {
  requestId: string
  workspace: string
  /** Share of the workspace relative to the others. */
  weight: number
  /** Priority class; 0 goes first. */
  rank: number
  /** Expected work, in any unit that is the same for all requests of the service. */
  cost: number
  /** The request is refused when it has not started by then. */
  startDeadline: Timestamp
}

interface QueuedRequest<Request extends WaitingRequest> {
  request: Request
  /** Virtual time at which the request would end if its workspace were served at its share. */
  finishTag: number
  order: number
}

interface PriorityClass<Request extends WaitingRequest> {
  virtualTime: number
  finishTagByWorkspace: Map<string, number>
  queued: Array<QueuedRequest<Request>>
}

/** A queue that gives the next request to serve, with start-time fair queueing inside each class. */
export class FairQueue<Request extends WaitingRequest> {
  private readonly _classes = new Map<number, PriorityClass<Request>>()
  private _order = 0
  private _size = 0

  static create<Request extends WaitingRequest> (): FairQueue<Request> {
    return new FairQueue<Request>()
  }

  get size (): number {
    return this._size
  }

  add (request: Request): void {
    const priorityClass = this._classOf(request.rank)
    const start = Math.max(priorityClass.virtualTime, priorityClass.finishTagByWorkspace.get(request.workspace) ?? 0)
    const finishTag = start + request.cost / request.weight
    priorityClass.finishTagByWorkspace.set(request.workspace, finishTag)
    priorityClass.queued.push({ request, finishTag, order: this._order++ })
    this._size++
  }

  /** Puts a request that had been taken before back at the head of its class. */
  addFirst (request: Request): void {
    this._classOf(request.rank).queued.push({ request, finishTag: Number.NEGATIVE_INFINITY, order: this._order++ })
    this._size++
  }

  /** Returns the first request, in order of service, for which `canServe` holds, without removing it. */
  peek (canServe: (request: Request) => boolean): Request | undefined {
    for (const rank of this._ranks) {
      let best: QueuedRequest<Request> | undefined
      for (const candidate of this._classOf(rank).queued) {
        if (isBefore(candidate, best) && canServe(candidate.request)) best = candidate
      }
      if (best) return best.request
    }
    return undefined
  }

  remove (requestId: string): Request | undefined {
    for (const priorityClass of this._classes.values()) {
      const index = priorityClass.queued.findIndex(candidate => candidate.request.requestId === requestId)
      if (index === -1) continue
      const [removed] = priorityClass.queued.splice(index, 1)
      this._size--
      this._forgetIdle(priorityClass)
      return removed.request
    }
    return undefined
  }

  /** Removes a request because it starts, and moves the virtual time of its class on. */
  take (requestId: string): Request | undefined {
    for (const priorityClass of this._classes.values()) {
      const queued = priorityClass.queued.find(candidate => candidate.request.requestId === requestId)
      if (!queued) continue
      const startTag = queued.finishTag - queued.request.cost / queued.request.weight
      priorityClass.virtualTime = Math.max(priorityClass.virtualTime, startTag)
      return this.remove(requestId)
    }
    return undefined
  }

  /** Removes and returns the requests that can no longer start in time. */
  takeExpired (now: Timestamp): Request[] {
    const expired: Request[] = []
    for (const priorityClass of this._classes.values()) {
      for (const { request } of priorityClass.queued) if (request.startDeadline <= now) expired.push(request)
    }
    for (const request of expired) this.remove(request.requestId)
    return expired
  }

  /** Returns how much work is served before a request of this rank that arrives now. */
  countAhead (rank: number): number {
    let ahead = 0
    for (const [otherRank, priorityClass] of this._classes) if (otherRank <= rank) ahead += priorityClass.queued.length
    return ahead
  }

  /** Returns the requests of one workspace and class that wait. */
  countOfWorkspace (rank: number, workspace: string): number {
    return this._classOf(rank).queued.filter(candidate => candidate.request.workspace === workspace).length
  }

  private get _ranks (): number[] {
    return [...this._classes.keys()].sort((left, right) => left - right)
  }

  private _classOf (rank: number): PriorityClass<Request> {
    let priorityClass = this._classes.get(rank)
    if (!priorityClass) {
      priorityClass = { virtualTime: 0, finishTagByWorkspace: new Map(), queued: [] }
      this._classes.set(rank, priorityClass)
    }
    return priorityClass
  }

  /** An empty class starts anew, so that tags of idle workspaces do not pile up. */
  private _forgetIdle (priorityClass: PriorityClass<Request>): void {
    if (priorityClass.queued.length > 0) return
    priorityClass.virtualTime = 0
    priorityClass.finishTagByWorkspace.clear()
  }
}

function isBefore<Request extends WaitingRequest> (left: QueuedRequest<Request>, right: QueuedRequest<Request> | undefined): boolean {
  if (!right) return true
  if (left.finishTag !== right.finishTag) return left.finishTag < right.finishTag
  return left.order < right.order
}
