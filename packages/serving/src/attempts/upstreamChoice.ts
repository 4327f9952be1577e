/**
 * Chooses the upstream of each attempt of one request.
 *
 * @module
 */
import type { Clock } from '@plumstage/common'
import type { RoutingChoice } from '../routing/router.js'
import type { ServingState } from '../servingState.js'
import type { SoftwareId } from '../streams/software.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { CrashTracking } from './crashTracking.js'

const DEFAULT_OBJECTIVE_MILLISECONDS = 1000

/** Dependencies of the choice. */
export interface UpstreamChoiceServices {
  clock: Clock
  state: ServingState
}

/** Prefers upstreams at which the request has not failed yet. */
export class UpstreamChoice {
  private readonly _services: UpstreamChoiceServices
  private readonly _request: AcceptedRequest
  private readonly _crashes: CrashTracking
  private readonly _failed = new Set<Upstream>()
  /** Upstreams at which attempts have failed, also those that were forgotten since. */
  private readonly _everFailed = new Set<Upstream>()
  private _hasFailed = false

  private constructor (services: UpstreamChoiceServices, request: AcceptedRequest, crashes: CrashTracking) {
    this._services = services
    this._request = request
    this._crashes = crashes
  }

  static create (services: UpstreamChoiceServices, request: AcceptedRequest, crashes: CrashTracking): UpstreamChoice {
    return new UpstreamChoice(services, request, crashes)
  }

  /** Whether an attempt has failed at any upstream. */
  get hasFailed (): boolean {
    return this._hasFailed
  }

  recordFailure (upstream: Upstream): void {
    this._hasFailed = true
    this._failed.add(upstream)
    this._everFailed.add(upstream)
  }

  /** Whether an attempt has failed at an upstream before, for whatever reason. */
  hasFailedAt (upstream: Upstream): boolean {
    return this._everFailed.has(upstream)
  }

  /** Forgets where attempts have failed, because the path was at fault and not the upstreams. */
  forgetFailures (): void {
    this._failed.clear()
  }

  /** Whether an attempt may be sent to any upstream now; only to those that run `software`, if it is set. */
  hasUsable (software: SoftwareId | undefined): boolean {
    return this._listUsable(software).length > 0
  }

  /** Whether an upstream is usable at which the request has not failed. */
  hasUntried (software: SoftwareId | undefined): boolean {
    return this._listUsable(software).some(upstream => !this._failed.has(upstream))
  }

  /** Returns the upstream for the next attempt; undefined if none may get one now. */
  choose (software: SoftwareId | undefined): RoutingChoice | undefined {
    const { clock, state } = this._services
    const { service, generation, route } = this._request
    const now = clock.now()
    const usable = this._listUsable(software)
    const untried = usable.filter(upstream => !this._failed.has(upstream))
    const { tokensPerMillisecond } = state.capacities.capacityOf(service.name, now)
    const demand = { generation, objectiveMilliseconds: route.objectiveMilliseconds ?? DEFAULT_OBJECTIVE_MILLISECONDS, prefillTokensPerMillisecond: tokensPerMillisecond }
    return state.routerOf(service).choose(demand, untried.length > 0 ? untried : usable, now)
  }

  private _listUsable (software: SoftwareId | undefined): readonly Upstream[] {
    const { clock, state } = this._services
    const { service, head } = this._request
    const now = clock.now()
    const usable = this._crashes.listUsable(software, now)
    if (!state.rollouts.hasOrders) return usable
    const request = { service: service.name, requestId: head.requestId, isBound: software !== undefined, hasFailed: this._hasFailed }
    return state.rollouts.select(request, usable, state.rolloutJudging(now), now)
  }
}
