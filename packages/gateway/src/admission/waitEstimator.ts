/**
 * Learns how long requests of one service hold an upstream slot, and from that how long a new one would wait.
 *
 * @module
 */

const SMOOTHING_FACTOR = 0.05
const MILLISECONDS_PER_SECOND = 1000

/** Expected waiting times of one service. */
export class WaitEstimator {
  private _meanOccupancyMilliseconds = 0

  static create (): WaitEstimator {
    return new WaitEstimator()
  }

  /** Notes how long an ended attempt held its slot, in milliseconds. */
  recordSlotOccupancy (milliseconds: number): void {
    if (this._meanOccupancyMilliseconds === 0) this._meanOccupancyMilliseconds = milliseconds
    else this._meanOccupancyMilliseconds += SMOOTHING_FACTOR * (milliseconds - this._meanOccupancyMilliseconds)
  }

  /** Returns the expected wait behind `ahead` requests on `slots` slots, in milliseconds. */
  estimateWait (ahead: number, slots: number): number {
    if (slots === 0) return Number.POSITIVE_INFINITY
    return ahead * this._meanOccupancyMilliseconds / slots
  }

  /** Returns after how many whole seconds a refused caller should come back. */
  estimateRetryAfterSeconds (ahead: number, slots: number): number {
    const wait = this.estimateWait(ahead, slots)
    if (!Number.isFinite(wait)) return 5
    return Math.min(60, Math.max(1, Math.ceil(wait / MILLISECONDS_PER_SECOND)))
  }
}
