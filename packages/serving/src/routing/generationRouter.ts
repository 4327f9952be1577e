/**
 * Routes generations: to the upstream with the shortest time to the first token, where reading shared parts of the
 * prompt again counts as time. Gateways agree on the home of a shared part by rendezvous hashing.
 *
 * What a gateway knows of the load elsewhere is some hundred milliseconds old. If all gateways chose among all upstreams,
 * all would send to the same one that looked idle. So beyond a number of upstreams each shared part has a few of its
 * own, and more only while those are busy; then a part is also read at few upstreams.
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

/** What the costs of a choice weigh. */
export interface GenerationWeights {
  /** Prompt tokens that an engine reads in a millisecond. */
  prefillTokensPerMillisecond: number
  /** How much a millisecond of reading a shared part again counts against one of waiting. */
  recomputation: number
  /** Cost of leaving the failure domain, in milliseconds. */
  otherDomainMilliseconds: number
  /** Cost of each request that an upstream runs, in milliseconds. */
  perRequestMilliseconds: number
}

export const DEFAULT_GENERATION_WEIGHTS: GenerationWeights = {
  prefillTokensPerMillisecond: 40,
  recomputation: 2,
  otherDomainMilliseconds: 5,
  perRequestMilliseconds: 1
}

/** Cost of requests beyond the batch size, in milliseconds each. */
const BEYOND_BATCH_MILLISECONDS = 60
/** Share of the objective that an upstream costs which fails all requests. */
const FAILURE_COST_FACTOR = 3

/** Up to this number of upstreams a request may go to any of them. */
const MAXIMUM_UNRESTRICTED_UPSTREAMS = 16
/** Upstreams to which the requests with one shared part go at first. */
const INITIAL_CANDIDATES = 6
/** Twice as many are considered while all of them would begin later than this. */
const BUSY_THRESHOLD_MILLISECONDS = 300

/** Chooses by expected time to the first token. */
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

  choose (call: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): RoutingChoice | undefined {
    const { generation } = call
    if (!generation) {
      const upstream = findCheapest(candidates, candidate => this._expectedWait(candidate) + this._penaltyOf(candidate, call))
      return upstream && { upstream, prefillTokens: 0 }
    }
    const shared = sharedPrefixOf(generation)
    const home = findPreferredUpstream(shared, candidates)
    const costOf = (candidate: Upstream): number => this._expectedWait(candidate) + this._penaltyOf(candidate, call) + this._recomputationCost(candidate, shared, home, now)
    const upstream = this._chooseByCost(generation, candidates, costOf)
    return upstream && { upstream, prefillTokens: Math.max(0, generation.promptTokens - this._countCachedTokens(upstream, shared, home, now)) }
  }

  private _chooseByCost (generation: GenerationDemand, candidates: readonly Upstream[], costOf: (candidate: Upstream) => number): Upstream | undefined {
    if (candidates.length <= MAXIMUM_UNRESTRICTED_UPSTREAMS) return findCheapest(candidates, costOf)
    const ranked = rankByRendezvous(routingKeyOf(generation), candidates)
    for (let choices = INITIAL_CANDIDATES; choices < ranked.length; choices *= 2) {
      const chosen = findCheapest(ranked.slice(0, choices), costOf)
      if (chosen && this._expectedWait(chosen) < BUSY_THRESHOLD_MILLISECONDS) return chosen
    }
    return findCheapest(ranked, costOf)
  }

  private _expectedWait (upstream: Upstream): number {
    const beyondBatch = Math.max(0, upstream.requests - upstream.listed.capacity)
    return upstream.waitingTokens / this._weights.prefillTokensPerMillisecond +
      upstream.requests * this._weights.perRequestMilliseconds +
      beyondBatch * BEYOND_BATCH_MILLISECONDS
  }

  private _penaltyOf (upstream: Upstream, call: RoutingRequest): number {
    const distance = upstream.listed.failureDomain === this._failureDomain ? 0 : this._weights.otherDomainMilliseconds
    return distance + FAILURE_COST_FACTOR * call.objectiveMilliseconds * upstream.health.failureRate
  }

  /** The home of a part is taken to have it even if this gateway has not sent it there. */
  private _countCachedTokens (upstream: Upstream, shared: readonly PromptSegment[], home: Upstream | undefined, now: Timestamp): number {
    return upstream === home ? sumTokens(shared) : this._index.countCachedTokens(upstream.listed.id, shared, now)
  }

  private _recomputationCost (upstream: Upstream, shared: readonly PromptSegment[], home: Upstream | undefined, now: Timestamp): number {
    const tokens = sumTokens(shared) - this._countCachedTokens(upstream, shared, home, now)
    return tokens / this._weights.prefillTokensPerMillisecond * this._weights.recomputation
  }
}

/** The parts of a prompt that other requests may share: all but the last. */
export function sharedPrefixOf (generation: GenerationDemand): readonly PromptSegment[] {
  return generation.segments.slice(0, -1)
}

/** The part by which gateways agree on upstreams: the last shared one, or the request's own if it shares none. */
function routingKeyOf (generation: GenerationDemand): string {
  return sharedPrefixOf(generation).at(-1)?.id ?? generation.segments.at(-1)?.id ?? ''
}

function rankByRendezvous (key: string, candidates: readonly Upstream[]): Upstream[] {
  const weights = new Map(candidates.map(upstream => [upstream, rendezvousWeight(key, upstream.listed.id)]))
  return [...candidates].sort((left, right) => weights.get(right)! - weights.get(left)!)
}

function findPreferredUpstream (shared: readonly PromptSegment[], candidates: readonly Upstream[]): Upstream | undefined {
  const last = shared.at(-1)
  if (!last) return undefined
  return findCheapest(candidates, upstream => -rendezvousWeight(last.id, upstream.listed.id))
}

function sumTokens (parts: readonly PromptSegment[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
