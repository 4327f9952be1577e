/**
 * Decides whether a request is admitted: by its route, its workspace and quota, and whether it is quarantined.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Timestamp } from '@plumstage/common'
import type { Configuration, RouteRecord, ServiceRecord, WorkspaceRecord } from '@plumstage/records'
import type { DecisionBasis } from '../deployment/decisionBasis.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { ServingState } from '../servingState.js'
import type { CallerHead, GenerationDemand } from './callerProtocol.js'
import { createQuarantineRejection, createRejection } from './rejection.js'
import type { Rejection } from './rejection.js'

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000
const RETRY_AFTER_NO_CONFIGURATION_MILLISECONDS = 500
const MAXIMUM_QUOTA_RETRY_AFTER_MILLISECONDS = 5000
/** Rank of requests for which neither the workspace nor the priority class states one: the last to be served. */
const DEFAULT_RANK = 4
const HASH_RANGE = 2 ** 32

/** Where an admitted request goes and which workspace it is charged to. */
export interface Admission {
  route: RouteRecord
  service: ServiceRecord
  workspace?: string
  rank: number
  deadline: Timestamp
  /** What was known when the request was decided. */
  basis: DecisionBasis
  /** The work that it requires of a model engine, at most as much as fits into one. */
  generation?: GenerationDemand
}

/** Admits or rejects the requests of one gateway. */
export class RequestAdmission {
  private readonly _state: ServingState

  private constructor (state: ServingState) {
    this._state = state
  }

  static create (state: ServingState): RequestAdmission {
    return new RequestAdmission(state)
  }

  /** Decides by the head alone, before the body is read; deadlines count from `acceptedAt`. */
  admit (head: CallerHead, acceptedAt: Timestamp, now: Timestamp): Result<Admission, Rejection> {
    const { configuration } = this._state.view
    if (!configuration) return err(createRejection('no-configuration', 'The gateway has no configuration yet. Send the request again after the indicated delay.', RETRY_AFTER_NO_CONFIGURATION_MILLISECONDS))
    const limit = configuration.callerLimits?.maximumHeaderBytes
    if (limit !== undefined && head.headBytes > limit) return err(createRejection('head-too-large', `The head of the request is larger than ${limit} bytes. Send a smaller one.`))
    const route = configuration.findRouteByHost(head.host, head.path)
    if (!route) return err(createRejection('no-route', 'No route matches this host and path. Correct them, or ask the operator for a route.'))
    const workspace = findWorkspace(configuration, route, head)
    if (workspace.isErr()) return err(workspace.error)
    const service = configuration.services.get(chooseService(route, head.resumedRequestId ?? head.requestId))
    if (!service) return err(createRejection('no-upstream', `Route ${route.name} refers to a service that is not configured. The operator has to correct the route.`, RETRY_AFTER_NO_CONFIGURATION_MILLISECONDS))
    const timeoutMilliseconds = Math.min(head.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS, route.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS)
    return ok({
      route,
      service,
      workspace: workspace.value?.name,
      rank: workspace.value?.rank ?? configuration.priorities.get(route.priority)?.rank ?? DEFAULT_RANK,
      deadline: acceptedAt + timeoutMilliseconds,
      basis: this._state.decisionBasis(now),
      generation: head.generation && boundByMemory(head.generation, service)
    })
  }

  /** Charges the workspace's quota; returns the units charged. */
  chargeQuota (admission: Admission, head: CallerHead, now: Timestamp): Result<number, Rejection> {
    const quota = admission.workspace === undefined ? undefined : this._state.view.configuration?.workspaces.get(admission.workspace)?.quota
    if (!quota || admission.workspace === undefined) return ok(0)
    const units = quota.unit === 'requests' ? 1 : countTokens(head) ?? quota.defaultUnits
    const decision = this._state.quotas.consume(admission.workspace, quota, units, this._state.peers.measureCoverage(now), now)
    if (decision.kind === 'admitted') return ok(units)
    const retryAfterMilliseconds = Math.min(MAXIMUM_QUOTA_RETRY_AFTER_MILLISECONDS, decision.retryAfterMilliseconds)
    const rejection = createRejection('quota-exceeded', `Workspace ${admission.workspace} has exceeded its quota, and the request was not executed. Send it again after the indicated delay.`, retryAfterMilliseconds)
    return err({ ...rejection, quota: { units, unitsPerSecond: quota.unitsPerSecond, burstUnits: quota.burstUnits } })
  }

  /** Rejects a request during which upstreams crashed before, unless it may be tried now. */
  checkQuarantine (digest: string, now: Timestamp): Result<void, Rejection> {
    const verdict = this._state.requestQuarantine.decide(digest, now)
    return verdict.kind === 'refused' ? err(createQuarantineRejection(verdict.retryAt - now)) : ok(undefined)
  }
}

function findWorkspace (configuration: Configuration, route: RouteRecord, head: CallerHead): Result<WorkspaceRecord | undefined, Rejection> {
  const workspace = head.token === undefined ? undefined : configuration.findWorkspaceByToken(head.token)
  if (workspace || route.anonymous === true || configuration.workspaces.size === 0) return ok(workspace)
  return err(createRejection('unauthenticated', 'The bearer token belongs to no workspace. Send a valid one.'))
}

/** Picks one of the services that share a route by weight, always the same for the same request id and for the stream that it began. */
function chooseService (route: RouteRecord, requestId: string): string {
  if (!route.split || route.split.length === 0) return route.service
  const total = route.split.reduce((sum, share) => sum + share.weight, 0)
  let point = rendezvousWeight(requestId, route.name) / HASH_RANGE * total
  for (const share of route.split) {
    point -= share.weight
    if (point < 0) return share.service
  }
  return route.split[route.split.length - 1].service
}

/** An engine refuses a request that does not fit into its memory, so what lies beyond is no load, nor demand for further engines. */
function boundByMemory (demand: GenerationDemand, { engine }: ServiceRecord): GenerationDemand {
  const maximumTokens = engine?.kvCacheTokens ?? 0
  if (maximumTokens <= 0) return demand
  const bound = (tokens: number): number => Math.min(tokens, maximumTokens)
  return {
    ...demand,
    promptTokens: bound(demand.promptTokens),
    maximumOutputTokens: bound(demand.maximumOutputTokens),
    expectedOutputTokens: demand.expectedOutputTokens === undefined ? undefined : bound(demand.expectedOutputTokens),
    segments: demand.segments.map(({ id, tokens }) => ({ id, tokens: bound(tokens) }))
  }
}

function countTokens (head: CallerHead): number | undefined {
  return head.generation && head.generation.promptTokens + head.generation.maximumOutputTokens
}
