/**
 * Lets requests of one service at one gateway start by the shares of their ranks. What is over the share of its rank waits
 * for as long as it can still begin in time.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Credit that a rank keeps at the most, as a multiple of the tokens of the request that earned it last. */
const MAXIMUM_CREDIT_REQUESTS = 1.5
/** Window over which the credit that a rank earns is measured, to tell how long a request would wait. */
const RATE_WINDOW_MILLISECONDS = 2000
/** Without pressure, requests that wait start so many at a time. */
const RELEASED_AT_ONCE = 8

/** A request that asks to start. */
export interface AdmissionRequest {
  /** Order among requests; 0 is the most urgent. */
  rank: number
  /** Prompt tokens that an upstream has to prefill for it. */
  tokens: number
  /** When it has to begin at the latest. */
  startBy: Timestamp
}

/** What becomes of a request that asks to start. */
export type AdmissionDecision = 'start' | 'wait' | 'reject'

/** Requests that waited and have to be acted upon. */
export interface ReleasedRequests<Request> {
  started: Request[]
  rejected: Request[]
}

interface RankState<Request> {
  /** Tokens that may start; negative after a request that was larger than the credit. */
  credit: number
  earned: Array<{ at: Timestamp, tokens: number }>
  /** By the latest moment to begin. */
  waiting: Request[]
}

/** Decides for one service. */
export class UrgencyAdmission<Request extends AdmissionRequest> {
  private readonly _ranks = new Map<number, RankState<Request>>()

  static create<Request extends AdmissionRequest> (): UrgencyAdmission<Request> {
    return new UrgencyAdmission<Request>()
  }

  /** Number of requests that wait. */
  get waitingCount (): number {
    return [...this._ranks.values()].reduce((sum, { waiting }) => sum + waiting.length, 0)
  }

  /** Decides on a new request. `shares` holds the share of each rank; undefined while there is room for all. */
  ask (request: Request, shares: ReadonlyMap<number, number> | undefined, now: Timestamp): AdmissionDecision {
    const share = shares?.get(request.rank) ?? 1
    const state = this._stateOf(request.rank)
    this._earn(state, request.tokens, share, now)
    if (share >= 1 || (state.waiting.length === 0 && state.credit >= request.tokens / 2)) {
      state.credit -= request.tokens
      return 'start'
    }
    if (now + this._waitOf(state, request, now) > request.startBy) return 'reject'
    insertInOrder(state.waiting, request)
    return 'wait'
  }

  /** Returns the requests that waited and may start now, and those that can't begin in time any more. */
  release (shares: ReadonlyMap<number, number> | undefined, now: Timestamp): ReleasedRequests<Request> {
    const released: ReleasedRequests<Request> = { started: [], rejected: [] }
    for (const [rank, state] of this._ranks) {
      const isFree = (shares?.get(rank) ?? 1) >= 1
      while (state.waiting.length > 0 && released.started.length < RELEASED_AT_ONCE) {
        const [first] = state.waiting
        if (first.startBy < now) released.rejected.push(first)
        else if (isFree || state.credit >= first.tokens / 2) released.started.push(first)
        else break
        if (first.startBy >= now) state.credit -= first.tokens
        state.waiting.shift()
      }
    }
    return released
  }

  /** Removes a request that does not want to start any more. */
  remove (request: Request): void {
    const waiting = this._ranks.get(request.rank)?.waiting
    const index = waiting?.indexOf(request) ?? -1
    if (index >= 0) waiting!.splice(index, 1)
  }

  /** Time until the rank has earned enough for the requests that begin before this one, and for this one. */
  private _waitOf (state: RankState<Request>, request: Request, now: Timestamp): number {
    const earned = state.earned.reduce((sum, { tokens }) => sum + tokens, 0)
    if (earned <= 0) return Number.POSITIVE_INFINITY
    const span = Math.max(RATE_WINDOW_MILLISECONDS / 2, now - state.earned[0].at)
    const ahead = state.waiting.filter(waiting => waiting.startBy <= request.startBy).reduce((sum, { tokens }) => sum + tokens, 0)
    return Math.max(0, ahead + request.tokens / 2 - state.credit) / (earned / span)
  }

  private _earn (state: RankState<Request>, tokens: number, share: number, now: Timestamp): void {
    const earned = tokens * Math.min(1, share)
    state.credit = Math.min(tokens * MAXIMUM_CREDIT_REQUESTS, state.credit + earned)
    state.earned = state.earned.filter(({ at }) => at > now - RATE_WINDOW_MILLISECONDS)
    state.earned.push({ at: now, tokens: earned })
  }

  private _stateOf (rank: number): RankState<Request> {
    let state = this._ranks.get(rank)
    if (!state) {
      state = { credit: 0, earned: [], waiting: [] }
      this._ranks.set(rank, state)
    }
    return state
  }
}

function insertInOrder<Request extends AdmissionRequest> (waiting: Request[], request: Request): void {
  const index = waiting.findIndex(({ startBy }) => startBy > request.startBy)
  if (index < 0) waiting.push(request)
  else waiting.splice(index, 0, request)
}
