/**
 * How fast the upstreams of a service get through the prompts that wait for them, as first events show it.
 *
 * @module
 */

const DEFAULT_TOKENS_PER_MILLISECOND = 40
const MINIMUM_TOKENS_PER_MILLISECOND = 10
const MAXIMUM_TOKENS_PER_MILLISECOND = 200
/** With less than this before it, the time to a first event says little about reading. */
const MINIMUM_SAMPLE_TOKENS = 15_000
/** Share of the mean that each sample replaces. */
const SAMPLE_WEIGHT = 0.02

/** Speed of one upstream, averaged over those of a service. */
export class PrefillRate {
  private _millisecondsPerToken = 1 / DEFAULT_TOKENS_PER_MILLISECOND

  static create (): PrefillRate {
    return new PrefillRate()
  }

  get tokensPerMillisecond (): number {
    return 1 / this._millisecondsPerToken
  }

  /** A first event came after a time in which these tokens were to be read, the request's own included. */
  record (tokens: number, milliseconds: number): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS) return
    const sample = Math.min(1 / MINIMUM_TOKENS_PER_MILLISECOND, Math.max(1 / MAXIMUM_TOKENS_PER_MILLISECOND, milliseconds / tokens))
    this._millisecondsPerToken += SAMPLE_WEIGHT * (sample - this._millisecondsPerToken)
  }
}
