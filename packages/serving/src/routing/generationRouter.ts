/**
 * Routes generation requests to the upstream with the lowest expected time to the first token, including the prefill of
 * shared prefix segments that the upstream has not cached. Gateways agree on the preferred upstream of a segment by
 * rendezvous hashing.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GenerationDemand, PromptSegment } from '../callers/callerProtocol.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { rendezvousWeight } from './rendezvousHash.js'
import { findCheapest } from './router.js'
import type { Router, RoutingRequest, RoutingChoice } from './router.js'
import type { PrefixCacheIndex } from './prefixCacheIndex.js'

/** Parameters of the routing cost. */
export interface GenerationWeights {
  /** Cost of a millisecond spent on prefilling uncached shared segments, relative to a millisecond of waiting. */
  recomputation: number
  /** Cost of an upstream in another failure domain, in milliseconds. */
  otherDomainMilliseconds: number
  /** Cost of each request that is assigned to an upstream, in milliseconds. */
  perRequestMilliseconds: number
}

export const DEFAULT_GENERATION_WEIGHTS: GenerationWeights = {
  recomputation: 2,
  otherDomainMilliseconds: 5,
  perRequestMilliseconds: 1
}

/** Cost of each request beyond the upstream's batch size, in milliseconds. */
const BEYOND_BATCH_MILLISECONDS = 60
/** Cost of an upstream that fails all requests, as a multiple of the route's latency objective. */
const FAILURE_COST_FACTOR = 3

/**
 * Up to this number of upstreams, a request may be routed to any of them. Beyond it, each shared segment has a few
 * candidates of its own: load reports are some hundred milliseconds old, so gateways that chose among all upstreams
 * would all send to the same one that looks idle. It also limits the number of upstreams that prefill a segment.
 */
const MAXIMUM_UNRESTRICTED_UPSTREAMS = 16
/** Number of candidates that requests with the same shared segment have at first. */
const INITIAL_CANDIDATES = 6
/** The number of candidates is doubled while the expected wait at the cheapest one is at least this long. */
const BUSY_THRESHOLD_MILLISECONDS = 300

/** Chooses the upstream with the lowest expected time to the first token. */
export class GenerationRouter implements Router {
  private readonly _failureDomain: string
  private readonly _index: PrefixCacheIndex
  private readonly _weights: GenerationWeights

  private constructor (failureDomain: string, index: PrefixCacheIndex, weights: GenerationWeights) {
    this._failureDomain = failureDomain
    this._index = index
    this._weights = weights
  }

  static create (failureDomain: string, index: PrefixCacheIndex, weights: GenerationWeights = DEFAULT_GENERATION_WEIGHTS): GenerationRouter {
    return new GenerationRouter(failureDomain, index, weights)
  }

  choose (request: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): RoutingChoice | undefined {
    const { generation } = request
    if (!generation) {
      const upstream = findCheapest(candidates, candidate => this._expectedWait(candidate, request) + this._penaltyOf(candidate, request))
      return upstream && { upstream, prefillTokens: 0 }
    }
    const sharedPrefix = sharedPrefixOf(generation)
    const preferred = findPreferredUpstream(sharedPrefix, candidates)
    const costOf = (candidate: Upstream): number => this._expectedWait(candidate, request) + this._penaltyOf(candidate, request) + this._recomputationCost(candidate, request, sharedPrefix, preferred, now)
    const upstream = this._chooseByCost(generation, request, candidates, costOf)
    return upstream && { upstream, prefillTokens: Math.max(0, generation.promptTokens - this._countCachedTokens(upstream, sharedPrefix, preferred, now)) }
  }

  private _chooseByCost (generation: GenerationDemand, request: RoutingRequest, candidates: readonly Upstream[], costOf: (candidate: Upstream) => number): Upstream | undefined {
    if (candidates.length <= MAXIMUM_UNRESTRICTED_UPSTREAMS) return findCheapest(candidates, costOf)
    const ranked = rankByRendezvous(routingKeyOf(generation), candidates)
    for (let count = INITIAL_CANDIDATES; count < ranked.length; count *= 2) {
      const chosen = findCheapest(ranked.slice(0, count), costOf)
      if (chosen && this._expectedWait(chosen, request) < BUSY_THRESHOLD_MILLISECONDS) return chosen
    }
    return findCheapest(ranked, costOf)
  }

  private _expectedWait (upstream: Upstream, { prefillTokensPerMillisecond }: RoutingRequest): number {
    const excessRequests = Math.max(0, upstream.requests - upstream.listed.capacity)
    return upstream.waitingTokens / prefillTokensPerMillisecond +
      upstream.requests * this._weights.perRequestMilliseconds +
      excessRequests * BEYOND_BATCH_MILLISECONDS
  }

  private _penaltyOf (upstream: Upstream, request: RoutingRequest): number {
    const domainCost = upstream.listed.failureDomain === this._failureDomain ? 0 : this._weights.otherDomainMilliseconds
    return domainCost + FAILURE_COST_FACTOR * request.objectiveMilliseconds * upstream.health.failureRate
  }

  /**
   * The preferred upstream is assumed to have the shared segments cached even if this gateway has not sent them there,
   * because the other gateways prefer the same one.
   */
  private _countCachedTokens (upstream: Upstream, sharedPrefix: readonly PromptSegment[], preferred: Upstream | undefined, now: Timestamp): number {
    return upstream === preferred ? sumTokens(sharedPrefix) : this._index.countCachedTokens(upstream.listed.id, sharedPrefix, now)
  }

  private _recomputationCost (upstream: Upstream, { prefillTokensPerMillisecond }: RoutingRequest, sharedPrefix: readonly PromptSegment[], preferred: Upstream | undefined, now: Timestamp): number {
    const tokens = sumTokens(sharedPrefix) - this._countCachedTokens(upstream, sharedPrefix, preferred, now)
    return tokens / prefillTokensPerMillisecond * this._weights.recomputation
  }
}

/** Returns the segments of a prompt that other requests may share: all but the last. */
export function sharedPrefixOf (generation: GenerationDemand): readonly PromptSegment[] {
  return generation.segments.slice(0, -1)
}

/**
 * Returns the key by which all gateways rank the upstreams for a request: the id of its last shared segment, or of its
 * only segment if it shares none.
 */
function routingKeyOf (generation: GenerationDemand): string {
  return sharedPrefixOf(generation).at(-1)?.id ?? generation.segments.at(-1)?.id ?? ''
}

function rankByRendezvous (key: string, candidates: readonly Upstream[]): Upstream[] {
  const weights = new Map(candidates.map(upstream => [upstream, rendezvousWeight(key, upstream.listed.id)]))
  return [...candidates].sort((left, right) => weights.get(right)! - weights.get(left)!)
}

function findPreferredUpstream (sharedPrefix: readonly PromptSegment[], candidates: readonly Upstream[]): Upstream | undefined {
  const last = sharedPrefix.at(-1)
  if (!last) return undefined
  return findCheapest(candidates, upstream => -rendezvousWeight(last.id, upstream.listed.id))
}

function sumTokens (segments: readonly PromptSegment[]): number {
  return segments.reduce((sum, segment) => sum + segment.tokens, 0)
}
