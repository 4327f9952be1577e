/**
 * Sum over a sliding window of time.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SLICE_MILLISECONDS = 500
const MILLISECONDS_PER_SECOND = 1000

interface Slice {
  startsAt: Timestamp
  amount: number
}

/** Sums recorded amounts over a sliding window, in slices of half a second. */
export class SlidingSum {
  private readonly _spanMilliseconds: number
  private readonly _slices: Slice[] = []

  private constructor (spanMilliseconds: number) {
    this._spanMilliseconds = spanMilliseconds
  }

  static create (spanSeconds: number): SlidingSum {
    return new SlidingSum(spanSeconds * MILLISECONDS_PER_SECOND)
  }

  record (amount: number, now: Timestamp): void {
    let last = this._slices.at(-1)
    if (!last || now >= last.startsAt + SLICE_MILLISECONDS) {
      last = { startsAt: now, amount: 0 }
      this._slices.push(last)
      if (this._slices.length > this._spanMilliseconds / SLICE_MILLISECONDS) this._slices.shift()
    }
    last.amount += amount
  }

  sum (now: Timestamp): number {
    return this._recent(now).reduce((sum, slice) => sum + slice.amount, 0)
  }

  /** Seconds since the first record in the sum; 0 when there is none. */
  secondsCovered (now: Timestamp): number {
    return (now - (this._recent(now).at(0)?.startsAt ?? now)) / MILLISECONDS_PER_SECOND
  }

  /** Returns the slices that started within the window. */
  private _recent (now: Timestamp): Slice[] {
    return this._slices.filter(slice => slice.startsAt >= now - this._spanMilliseconds)
  }
}
