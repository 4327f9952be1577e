/**
 * Limits retries to a fraction of the requests, so that a wave of failures does not multiply the load.
 *
 * @module
 */

const RETRIES_PER_REQUEST = 0.2
const MAXIMUM_AVAILABLE_RETRIES = 100

/** Retries that may still be made for one service. */
export class RetryBudget {
  private _available = MAXIMUM_AVAILABLE_RETRIES

  static create (): RetryBudget {
    return new RetryBudget()
  }

  recordRequest (): void {
    this._available = Math.min(MAXIMUM_AVAILABLE_RETRIES, this._available + RETRIES_PER_REQUEST)
  }

  /** Takes one retry; false when none is left. */
  tryTake (): boolean {
    if (this._available < 1) return false
    this._available--
    return true
  }
}
