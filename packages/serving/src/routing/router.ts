/**
 * Selection of an upstream for one attempt.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GenerationDemand } from '../callers/callerProtocol.js'
import type { Upstream } from '../upstreams/upstreamTable.js'

/** Properties of a request that routing depends on. */
export interface RoutingRequest {
  generation?: GenerationDemand
  objectiveMilliseconds: number
  /** Prompt tokens that one upstream of the service prefills per millisecond. */
  prefillTokensPerMillisecond: number
}

/** The upstream chosen for a request. */
export interface RoutingChoice {
  upstream: Upstream
  /** Prompt tokens that the upstream is expected to prefill for the request. */
  prefillTokens: number
}

/** Chooses one of the upstreams that may be given new work. */
export interface Router {
  choose (request: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): RoutingChoice | undefined
}

/** Returns the candidate with the lowest cost; undefined when there is none. */
export function findCheapest (candidates: readonly Upstream[], costOf: (upstream: Upstream) => number): Upstream | undefined {
  let cheapest: Upstream | undefined
  let lowest = Number.POSITIVE_INFINITY
  for (const upstream of candidates) {
    const cost = costOf(upstream)
    if (cost >= lowest) continue
    lowest = cost
    cheapest = upstream
  }
  return cheapest
}
