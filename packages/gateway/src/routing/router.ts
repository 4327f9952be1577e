/**
 * Chooses the upstream for an attempt.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ServiceRecord } from '@plumstage/records'
import { keyOfUpstream } from '../upstreams/upstream.js'
import type { Upstream } from '../upstreams/upstream.js'
import type { PrefixIndex } from './prefixIndex.js'

/** The properties of a request that determine its upstream. */
export interface RoutingRequest {
  service: ServiceRecord
  promptTokens: number
  /** Digests of the prompt's prefix blocks; empty where prompts are not cached. */
  prefixBlocks: readonly string[]
}

/** Components of a score, each in seconds. Lower is better. */
export interface RoutingScore {
  address: string
  total: number
  /** Expected wait behind the requests that the upstream already runs. */
  wait: number
  /** Expected time to prefill the part of the prompt that is not cached. */
  prefill: number
  /** Network round trip to another failure domain. */
  distance: number
  /** Price of the instance class, weighted. */
  price: number
  /** Prompt tokens that are not cached and have to be recomputed, weighted. */
  recomputation: number
}

/** Chooses among the upstreams that accept new requests. */
export interface Router {
  choose (request: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): Upstream | undefined
}

const WAIT_SECONDS_AT_FULL_LOAD = 0.5
const CROSS_FAILURE_DOMAIN_SECONDS = 0.002
const TOKENS_PER_RECOMPUTATION_UNIT = 1000

/** Chooses the upstream with the lowest score: seconds to the first token, plus weighted price and recomputation. */
export class ScoreRouter implements Router {
  private readonly _failureDomain: string
  private readonly _prefixIndex: PrefixIndex

  private constructor (failureDomain: string, prefixIndex: PrefixIndex) {
    this._failureDomain = failureDomain
    this._prefixIndex = prefixIndex
  }

  /** `failureDomain` is the failure domain of the gateway itself. */
  static create (failureDomain: string, prefixIndex: PrefixIndex): ScoreRouter {
    return new ScoreRouter(failureDomain, prefixIndex)
  }

  choose (request: RoutingRequest, candidates: readonly Upstream[]): Upstream | undefined {
    let best: Upstream | undefined
    let bestTotal = Number.POSITIVE_INFINITY
    for (const candidate of candidates) {
      const { total } = this.score(request, candidate)
      if (total >= bestTotal) continue
      best = candidate
      bestTotal = total
    }
    return best
  }

  score (request: RoutingRequest, candidate: Upstream): RoutingScore {
    const service = request.service
    const cachedTokens = Math.min(request.promptTokens, this._prefixIndex.countCachedTokens(keyOfUpstream(candidate), request.prefixBlocks))
    const uncachedTokens = request.promptTokens - cachedTokens
    const wait = WAIT_SECONDS_AT_FULL_LOAD * candidate.estimatedLoad / service.concurrencyPerUpstream
    const prefill = uncachedTokens / service.prefillTokensPerSecond
    const distance = candidate.failureDomain === this._failureDomain ? 0 : CROSS_FAILURE_DOMAIN_SECONDS
    const price = service.weights.price * (service.prices[candidate.instanceClass] ?? 0)
    const recomputation = service.weights.recomputation * uncachedTokens / TOKENS_PER_RECOMPUTATION_UNIT
    return { address: candidate.address, total: wait + prefill + distance + price + recomputation, wait, prefill, distance, price, recomputation }
  }
}
