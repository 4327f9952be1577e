/**
 * Estimates the duration of requests that have a fixed part and a part for each token, by a straight line through recent ones.
 *
 * @module
 */

/** The averages are about those of as many requests. */
const AVERAGED_REQUESTS = 30
/** Fewer requests say nothing. */
const MINIMUM_REQUESTS = 5

/** The estimate for one kind of request. */
export class DurationEstimate {
  private _count = 0
  private _meanTokens = 0
  private _meanMilliseconds = 0
  /** Moving variance of the tokens, and their covariance with the milliseconds. */
  private _variance = 0
  private _covariance = 0

  static create (): DurationEstimate {
    return new DurationEstimate()
  }

  /** Records how long a request took. */
  record (tokens: number, milliseconds: number): void {
    this._count = Math.min(AVERAGED_REQUESTS, this._count + 1)
    const weight = 1 / this._count
    const tokensAway = tokens - this._meanTokens
    const millisecondsAway = milliseconds - this._meanMilliseconds
    this._meanTokens += weight * tokensAway
    this._meanMilliseconds += weight * millisecondsAway
    this._variance = (1 - weight) * (this._variance + weight * tokensAway * tokensAway)
    this._covariance = (1 - weight) * (this._covariance + weight * tokensAway * millisecondsAway)
  }

  /** Returns how many milliseconds a request will probably take; undefined if too few were recorded. */
  expect (tokens: number): number | undefined {
    if (this._count < MINIMUM_REQUESTS) return undefined
    return Math.max(0, this._meanMilliseconds + this._millisecondsPerToken * (tokens - this._meanTokens))
  }

  /** Requests that were all equally long show no part for each token. */
  private get _millisecondsPerToken (): number {
    return this._variance > 0 ? Math.max(0, this._covariance / this._variance) : 0
  }
}
