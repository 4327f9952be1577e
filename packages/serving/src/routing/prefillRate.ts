/**
 * Estimates the prefill rate of the upstreams of a service from the time to the first event of their requests.
 *
 * @module
 */

const DEFAULT_TOKENS_PER_MILLISECOND = 40
const MINIMUM_TOKENS_PER_MILLISECOND = 10
const MAXIMUM_TOKENS_PER_MILLISECOND = 200
/** With fewer tokens queued at the upstream, the time to the first event says little about the prefill rate. */
const MINIMUM_SAMPLE_TOKENS = 15_000
/** Weight of a new sample in the exponential moving average. */
const SAMPLE_WEIGHT = 0.02

/** Prefill rate of one upstream, averaged over the upstreams of a service. */
export class PrefillRate {
  private _millisecondsPerToken = 1 / DEFAULT_TOKENS_PER_MILLISECOND

  static create (): PrefillRate {
    return new PrefillRate()
  }

  get tokensPerMillisecond (): number {
    return 1 / this._millisecondsPerToken
  }

  /**
   * Records the time from the dispatch of a request to its first event. `tokens` are the prompt tokens that the
   * upstream had to prefill in that time, those of the request included.
   */
  record (tokens: number, milliseconds: number): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS) return
    const sample = Math.min(1 / MINIMUM_TOKENS_PER_MILLISECOND, Math.max(1 / MAXIMUM_TOKENS_PER_MILLISECOND, milliseconds / tokens))
    this._millisecondsPerToken += SAMPLE_WEIGHT * (sample - this._millisecondsPerToken)
  }
}
