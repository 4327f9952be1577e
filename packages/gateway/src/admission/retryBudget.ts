/**
 * Limits retries to a fraction of the requests, so that a burst of failures does not multiply the load.
 *
 * @module
 */

const RETRIES_PER_REQUEST = 0.2
const MAXIMUM_AVAILABLE_RETRIES = 100

/** Counts the retries that are still allowed for one service. Each new request adds a fraction of one. */
export class RetryBudget {
  private _available = MAXIMUM_AVAILABLE_RETRIES

  static create (): RetryBudget {
    return new RetryBudget()
  }

  recordRequest (): void {
    this._available = Math.min(MAXIMUM_AVAILABLE_RETRIES, this._available + RETRIES_PER_REQUEST)
  }

  /** Consumes one retry; returns false when none is left. */
  tryTake (): boolean {
    if (this._available < 1) return false
    this._available--
    return true
  }
}
