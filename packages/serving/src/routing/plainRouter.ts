/**
 * Routes requests of plain services by upstream load, preferring upstreams in the failure domain of the gateway.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { findCheapest } from './router.js'
import type { Router, RoutingRequest, RoutingChoice } from './router.js'

/** Cost of an upstream in another failure domain, as a share of an upstream's capacity. */
const OTHER_DOMAIN_COST = 0.25
/** Cost of an upstream that fails all requests, as a multiple of an upstream's capacity. */
const FAILURE_COST = 4
/** Cost of an upstream that is still warming up, as a share of an upstream's capacity. */
const WARMUP_COST = 0.5
/** Random part of the cost, which spreads requests over upstreams of equal cost. */
const MAXIMUM_JITTER = 0.02

/** Chooses by load, failure domain, warm-up and failures. */
export class PlainRouter implements Router {
  private readonly _failureDomain: string
  private readonly _random: SeededRandom

  private constructor (failureDomain: string, random: SeededRandom) {
    this._failureDomain = failureDomain
    this._random = random
  }

  static create (failureDomain: string, random: SeededRandom): PlainRouter {
    return new PlainRouter(failureDomain, random)
  }

  choose (_request: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): RoutingChoice | undefined {
    const upstream = findCheapest(candidates, candidate => this._costOf(candidate, now))
    return upstream && { upstream, prefillTokens: 0 }
  }

  private _costOf (upstream: Upstream, now: Timestamp): number {
    const load = upstream.requests / Math.max(1, upstream.listed.capacity)
    const domainCost = upstream.listed.failureDomain === this._failureDomain ? 0 : OTHER_DOMAIN_COST
    const warmupCost = upstream.warmUpEndsAt > now ? WARMUP_COST : 0
    return load + domainCost + warmupCost + FAILURE_COST * upstream.health.failureRate + MAXIMUM_JITTER * this._random.nextFraction()
  }
}
