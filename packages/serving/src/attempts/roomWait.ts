/**
 * The wait of one request until its service has room for requests of its urgency.
 *
 * @module
 */
import type { UrgencyQueue } from '../admission/urgencyQueue.js'
import type { ServingState } from '../servingState.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { CrashTrackingServices } from './crashTracking.js'
import type { DispatchRefusal } from './dispatchRefusal.js'

/** Dependencies of the wait. */
export interface RoomWaitServices extends CrashTrackingServices {
  state: ServingState
  /** Requests of this gateway that wait for room. */
  queue: UrgencyQueue
}

/** Calls exactly one of these, at once or later, unless the wait is given up. */
export interface RoomWaitCallbacks {
  start: () => void
  reject: () => void
}

/** Waits for one request. */
export class RoomWait {
  private readonly _services: RoomWaitServices
  private readonly _request: AcceptedRequest
  private readonly _refusal: DispatchRefusal
  private _isOver = false
  private _leaveQueue: (() => void) | undefined

  private constructor (services: RoomWaitServices, request: AcceptedRequest, refusal: DispatchRefusal) {
    this._services = services
    this._request = request
    this._refusal = refusal
  }

  static create (services: RoomWaitServices, request: AcceptedRequest, refusal: DispatchRefusal): RoomWait {
    return new RoomWait(services, request, refusal)
  }

  /** Begins the wait of a request of which an upstream is expected to prefill so many prompt tokens. */
  begin (prefillTokens: number, { start, reject }: RoomWaitCallbacks): void {
    const { state, clock, queue } = this._services
    const { service, rank } = this._request
    const tokens = Math.max(1, prefillTokens)
    state.recordRankDemand(service.name, rank, tokens, clock.now())
    this._leaveQueue = queue.submit(service.name, { rank, tokens, startBy: this._refusal.latestStart(tokens), start: () => this._end(start), reject: () => this._end(reject) })
  }

  /** Ends the wait without a call; harmless if there is none. */
  giveUp (): void {
    this._isOver = true
    this._leaveQueue?.()
  }

  private _end (callback: () => void): void {
    if (this._isOver) return
    this._isOver = true
    callback()
  }
}
