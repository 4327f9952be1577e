/**
 * Learns how fast the upstreams of a service prefill prompts while they also generate: a line is fitted through the time
 * to the first event over the prompt tokens of the request. Waiting for other requests only moves the line up. Tokens of
 * other requests are left out: they are known with a delay, and would make the upstreams look faster than they are.
 *
 * @module
 */

/** Rate that is assumed before anything was observed, in prompt tokens per millisecond. */
const START_TOKENS_PER_MILLISECOND = 40
const START_BASE_MILLISECONDS = 60
/** Number of tokens at which the assumed line has its second point. */
const START_TOKENS = 10_000
/** Weight of each of the two points of the assumed line, in samples. */
const START_WEIGHT = 0.3
const MINIMUM_TOKENS_PER_MILLISECOND = 1
const MAXIMUM_TOKENS_PER_MILLISECOND = 2000
/** Factor by which each sample reduces the weight of the earlier ones: about the last hundred decide. */
const DECAY = 0.99
/** More samples than this are not counted, since earlier ones have lost their weight. */
const MAXIMUM_SAMPLES = 200
/** Samples after which the estimate is used in place of what is assumed. */
const SUFFICIENT_SAMPLES = 100
/** A longer time than this multiple of the expected one is caused by a fault, and counts as that multiple. */
const MAXIMUM_EXPECTED_MULTIPLE = 3
const MAXIMUM_TOKENS = 10_000_000

/** A prefill rate and the number of samples that it is based on. */
export interface MeasuredRate {
  tokensPerMillisecond: number
  samples: number
}

/** The prefill times of one service as observed by one gateway. */
export class PrefillModel {
  private _weight = 0
  private _tokens = 0
  private _milliseconds = 0
  private _squaredTokens = 0
  private _products = 0
  private _samples = 0

  private constructor () {
    this._add(0, START_BASE_MILLISECONDS, START_WEIGHT)
    this._add(START_TOKENS, START_BASE_MILLISECONDS + START_TOKENS / START_TOKENS_PER_MILLISECOND, START_WEIGHT)
  }

  static create (): PrefillModel {
    return new PrefillModel()
  }

  get measured (): MeasuredRate {
    return { tokensPerMillisecond: 1 / this._millisecondsPerToken, samples: this._samples }
  }

  /**
   * Records the time from the dispatch of a request to its first event. `tokens` are its prompt tokens that the upstream
   * had to prefill. Impossible values are ignored.
   */
  record (tokens: number, milliseconds: number): void {
    if (!(tokens >= 0 && tokens <= MAXIMUM_TOKENS && milliseconds >= 0 && Number.isFinite(milliseconds))) return
    const maximum = MAXIMUM_EXPECTED_MULTIPLE * this._expectedMilliseconds(tokens)
    for (const sum of ['_weight', '_tokens', '_milliseconds', '_squaredTokens', '_products'] as const) this[sum] *= DECAY
    this._add(tokens, Math.min(milliseconds, maximum), 1)
    this._samples = Math.min(this._samples + 1, MAXIMUM_SAMPLES)
  }

  private _add (tokens: number, milliseconds: number, weight: number): void {
    this._weight += weight
    this._tokens += weight * tokens
    this._milliseconds += weight * milliseconds
    this._squaredTokens += weight * tokens * tokens
    this._products += weight * tokens * milliseconds
  }

  private get _millisecondsPerToken (): number {
    const variance = this._weight * this._squaredTokens - this._tokens * this._tokens
    const slope = variance > 0 ? (this._weight * this._products - this._tokens * this._milliseconds) / variance : 1 / START_TOKENS_PER_MILLISECOND
    return Math.min(1 / MINIMUM_TOKENS_PER_MILLISECOND, Math.max(1 / MAXIMUM_TOKENS_PER_MILLISECOND, slope))
  }

  private _expectedMilliseconds (tokens: number): number {
    const base = (this._milliseconds - this._millisecondsPerToken * this._tokens) / this._weight
    return Math.max(START_BASE_MILLISECONDS, base) + this._millisecondsPerToken * tokens
  }
}

/** Whether a rate is based on enough samples to decide by. */
export function isSufficient (rate: MeasuredRate): boolean {
  return rate.samples >= SUFFICIENT_SAMPLES
}

/** Averages the rates that several gateways measured, weighted by their samples. */
export function mergeRates (rates: readonly MeasuredRate[]): MeasuredRate {
  const valid = rates.filter(rate => rate.tokensPerMillisecond >= MINIMUM_TOKENS_PER_MILLISECOND && rate.tokensPerMillisecond <= MAXIMUM_TOKENS_PER_MILLISECOND && rate.samples > 0 && Number.isFinite(rate.samples))
  const samples = valid.reduce((sum, rate) => sum + rate.samples, 0)
  if (samples === 0) return { tokensPerMillisecond: START_TOKENS_PER_MILLISECOND, samples: 0 }
  const milliseconds = valid.reduce((sum, rate) => sum + rate.samples / rate.tokensPerMillisecond, 0)
  return { tokensPerMillisecond: samples / milliseconds, samples }
}
