/**
 * What the attempts of one request tell the state that all requests share: the health of upstreams, the answers by which the
 * versions of a roll-out are judged, and the usage of workspaces.
 *
 * @module
 */
import type { Clock, Timestamp } from '@plumstage/common'
import type { ServingState } from '../servingState.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { AttemptFailure } from './attemptPolicy.js'

/** Failures that say nothing about the upstream. */
const BLAMELESS_FAILURES: ReadonlySet<AttemptFailure> = new Set(['unsendable', 'peer-unavailable', 'links-lost', 'silent'])

/** Dependencies of the effects. */
export interface AttemptEffectsServices {
  state: ServingState
  clock: Clock
  /** Time of day in milliseconds since the epoch, for usage windows. */
  timeOfDay: () => Timestamp
}

/** The effects of one request. */
export class AttemptEffects {
  private readonly _services: AttemptEffectsServices
  private readonly _request: AcceptedRequest
  private _isUsageRecorded = false

  private constructor (services: AttemptEffectsServices, request: AcceptedRequest) {
    this._services = services
    this._request = request
  }

  static create (services: AttemptEffectsServices, request: AcceptedRequest): AttemptEffects {
    return new AttemptEffects(services, request)
  }

  /** Records once that an upstream has begun to execute the request. */
  recordUsage (): void {
    const { state, timeOfDay } = this._services
    const { workspace } = this._request
    if (this._isUsageRecorded || workspace === undefined) return
    this._isUsageRecorded = true
    state.usage.record(workspace, timeOfDay())
  }

  /** Records what became of an attempt that began at `startedAt`. Lost connections say nothing about a version. */
  recordAnswer (upstream: Upstream, failed: boolean, startedAt: Timestamp): void {
    const { state, clock } = this._services
    const now = clock.now()
    state.rollouts.recordAnswer(upstream, this._request.route.name, { failed, milliseconds: now - startedAt }, now)
  }

  recordFailure (upstream: Upstream, failure: AttemptFailure): void {
    if (BLAMELESS_FAILURES.has(failure)) return
    const now = this._services.clock.now()
    if (failure === 'unreachable' || failure === 'other-instance') upstream.health.recordUnreachable(now)
    else upstream.health.recordFailure(now)
  }

  /** Records a complete response. */
  recordComplete (upstream: Upstream, failed: boolean): void {
    if (failed) upstream.health.recordFailure(this._services.clock.now())
    else upstream.health.recordSuccess()
  }
}
