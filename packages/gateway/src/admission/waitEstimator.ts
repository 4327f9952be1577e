/**
 * Estimates how long a new request of one service would wait, from the time that requests occupy an upstream slot.
 *
 * @module
 */

const SMOOTHING_FACTOR = 0.05
const MILLISECONDS_PER_SECOND = 1000

/** Estimates the waiting times of one service from an exponential moving average of slot occupancy. */
export class WaitEstimator {
  private _meanOccupancyMilliseconds = 0

  static create (): WaitEstimator {
    return new WaitEstimator()
  }

  /** Records how long an ended attempt occupied its slot, in milliseconds. */
  recordSlotOccupancy (milliseconds: number): void {
    if (this._meanOccupancyMilliseconds === 0) this._meanOccupancyMilliseconds = milliseconds
    else this._meanOccupancyMilliseconds += SMOOTHING_FACTOR * (milliseconds - this._meanOccupancyMilliseconds)
  }

  /** Returns the expected wait with `ahead` requests in front and `slots` slots, in milliseconds. */
  estimateWait (ahead: number, slots: number): number {
    if (slots === 0) return Number.POSITIVE_INFINITY
    return ahead * this._meanOccupancyMilliseconds / slots
  }

  /** Returns after how many whole seconds a refused caller should retry. */
  estimateRetryAfterSeconds (ahead: number, slots: number): number {
    const wait = this.estimateWait(ahead, slots)
    if (!Number.isFinite(wait)) return 5
    return Math.min(60, Math.max(1, Math.ceil(wait / MILLISECONDS_PER_SECOND)))
  }
}
