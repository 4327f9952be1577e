/**
 * Learns how long requests of one service hold an upstream slot, and from that how long a new one would wait.
 *
 * @module
 */

const SMOOTHING = 0.05
const MILLISECONDS_PER_SECOND = 1000

/** Expected waiting times of one service. */
export class ServiceRate {
  private _meanHoldMilliseconds = 0

  static create (): ServiceRate {
    return new ServiceRate()
  }

  /** Notes how long an ended attempt held its slot, in milliseconds. */
  recordHold (milliseconds: number): void {
    if (this._meanHoldMilliseconds === 0) this._meanHoldMilliseconds = milliseconds
    else this._meanHoldMilliseconds += SMOOTHING * (milliseconds - this._meanHoldMilliseconds)
  }

  /** Returns the expected wait behind `ahead` requests on `slots` slots, in milliseconds. */
  estimateWait (ahead: number, slots: number): number {
    if (slots === 0) return Number.POSITIVE_INFINITY
    return ahead * this._meanHoldMilliseconds / slots
  }

  /** Returns after how many whole seconds a refused caller should come back. */
  estimateRetryAfterSeconds (ahead: number, slots: number): number {
    const wait = this.estimateWait(ahead, slots)
    if (!Number.isFinite(wait)) return 5
    return Math.min(60, Math.max(1, Math.ceil(wait / MILLISECONDS_PER_SECOND)))
  }
}
