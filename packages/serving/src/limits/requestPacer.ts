/**
 * Paces the requests of one gateway to one upstream, as a leaky bucket that keeps one deadline.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const MILLISECONDS_PER_SECOND = 1000

/** The part of an upstream's limit that one gateway may use. */
export interface LimitShare {
  /** Always positive. */
  requestsPerSecond: number
  /** Requests that may be sent at once after a pause; at least 1. */
  burstRequests: number
  /** Part of the interval between two requests that passes before the first one, from 0 to 1; it differs between gateways. */
  phase: number
}

/** Decides when the next request may be sent. */
export class RequestPacer {
  private _intervalMilliseconds: number
  private _toleranceMilliseconds: number
  /** When the bucket is empty. A request may be sent up to the tolerance earlier. */
  private _emptyAt: Timestamp

  private constructor (share: LimitShare, now: Timestamp) {
    this._intervalMilliseconds = intervalOf(share)
    this._toleranceMilliseconds = toleranceOf(share)
    this._emptyAt = now + this._toleranceMilliseconds + this._intervalMilliseconds * share.phase
  }

  /** Starts with a full bucket, because what other gateways sent before is not known. */
  static create (share: LimitShare, now: Timestamp): RequestPacer {
    return new RequestPacer(share, now)
  }

  /** When the next request may be sent; it may be in the past. */
  get nextSendAt (): Timestamp {
    return this._emptyAt - this._toleranceMilliseconds
  }

  /** Applies a changed share; the wait for the next request is scaled with the interval. */
  update (share: LimitShare, now: Timestamp): void {
    const interval = intervalOf(share)
    const remaining = Math.max(0, this._emptyAt - now) * interval / this._intervalMilliseconds
    this._emptyAt = now + remaining
    this._intervalMilliseconds = interval
    this._toleranceMilliseconds = toleranceOf(share)
  }

  recordSend (now: Timestamp): void {
    this._emptyAt = Math.max(now, this._emptyAt) + this._intervalMilliseconds
  }
}

function intervalOf ({ requestsPerSecond }: LimitShare): number {
  return MILLISECONDS_PER_SECOND / requestsPerSecond
}

function toleranceOf (share: LimitShare): number {
  return (share.burstRequests - 1) * intervalOf(share)
}
