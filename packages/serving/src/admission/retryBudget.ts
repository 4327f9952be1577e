/**
 * Bounds the retries of a service to a share of its requests, so that a wave of failures does not multiply the load.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SLICES_PER_WINDOW = 10

/** The bound that all gateways keep together. */
export interface RetryBound {
  /** Retries allowed for each request. */
  ratio: number
  /** Retries allowed besides, in one window. */
  slack: number
  windowMilliseconds: number
}

interface Slice {
  startsAt: Timestamp
  requests: number
  retries: number
}

/** Counts the requests and retries of one service at one gateway over a sliding window. */
export class RetryBudget {
  private _slices: Slice[] = []

  static create (): RetryBudget {
    return new RetryBudget()
  }

  recordRequest (bound: RetryBound, now: Timestamp): void {
    this._currentSlice(bound, now).requests++
  }

  /** Takes one retry if this gateway's share of the bound allows it. */
  tryTake (bound: RetryBound, gateways: number, now: Timestamp): boolean {
    const slice = this._currentSlice(bound, now)
    const requests = this._slices.reduce((sum, other) => sum + other.requests, 0)
    const retries = this._slices.reduce((sum, other) => sum + other.retries, 0)
    if (retries + 1 > requests * bound.ratio + bound.slack / Math.max(1, gateways)) return false
    slice.retries++
    return true
  }

  private _currentSlice (bound: RetryBound, now: Timestamp): Slice {
    this._slices = this._slices.filter(slice => slice.startsAt > now - bound.windowMilliseconds)
    const last = this._slices.at(-1)
    if (last && now < last.startsAt + bound.windowMilliseconds / SLICES_PER_WINDOW) return last
    const slice = { startsAt: now, requests: 0, retries: 0 }
    this._slices.push(slice)
    return slice
  }
}
