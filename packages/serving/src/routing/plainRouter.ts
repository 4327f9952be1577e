/**
 * Routes calls of plain services: to the own failure domain while it is not busier than the others.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { findCheapest } from './router.js'
import type { Router, RoutingRequest, RoutingChoice } from './router.js'

/** Cost of leaving the failure domain, in shares of an upstream's capacity. */
const OTHER_DOMAIN_COST = 0.25
/** Cost of an upstream that fails all requests, in shares of an upstream's capacity. */
const FAILURE_COST = 4
const WARMUP_COST = 0.5
/** Spreads equal choices over the upstreams. */
const MAXIMUM_JITTER = 0.02

/** Chooses by free capacity, distance and failures. */
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

  choose (_call: RoutingRequest, candidates: readonly Upstream[], now: Timestamp): RoutingChoice | undefined {
    const upstream = findCheapest(candidates, candidate => this._costOf(candidate, now))
    return upstream && { upstream, prefillTokens: 0 }
  }

  private _costOf (upstream: Upstream, now: Timestamp): number {
    const load = upstream.requests / Math.max(1, upstream.listed.capacity)
    const distance = upstream.listed.failureDomain === this._failureDomain ? 0 : OTHER_DOMAIN_COST
    const warmup = upstream.warmUpEndsAt > now ? WARMUP_COST : 0
    return load + distance + warmup + FAILURE_COST * upstream.health.failureRate + MAXIMUM_JITTER * this._random.nextFraction()
  }
}
