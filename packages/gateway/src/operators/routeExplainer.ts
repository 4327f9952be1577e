/**
 * Explains where a request would go now, and why.
 *
 * @module
 */
import { digestPrefixBlocks, estimateTokens, renderChat } from '@plumstage/common/promptBlocks'
import type { Clock } from '@plumstage/common'
import type { Configuration, RouteRecord } from '@plumstage/records'
import type { RoutingScore, ScoreRouter } from '../routing/router.js'
import type { Upstream } from '../upstreams/upstream.js'
import type { UpstreamTable } from '../upstreams/upstreamTable.js'

/** The request in question: a model with a prompt, or a method with a path. */
export interface RouteQuery {
  model?: string
  method: string
  path?: string
  prompt: string
}

/** What keeps new work away from an upstream. */
export type ExclusionReason = 'leaving' | 'drained' | 'failing' | 'full'

export interface ExplainedCandidate {
  address: string
  failureDomain: string
  score: RoutingScore
  excluded?: ExclusionReason
}

export interface Explanation {
  configurationRevision: number
  route?: string
  service?: string
  priority?: string
  idempotency?: string
  /** Candidates, the one that would be taken first. */
  candidates: ExplainedCandidate[]
  summary: string
}

/** Answers questions about routing. */
export class RouteExplainer {
  private readonly _configuration: () => Configuration
  private readonly _table: UpstreamTable
  private readonly _router: ScoreRouter
  private readonly _clock: Clock

  private constructor (configuration: () => Configuration, table: UpstreamTable, router: ScoreRouter, clock: Clock) {
    this._configuration = configuration
    this._table = table
    this._router = router
    this._clock = clock
  }

  static create (configuration: () => Configuration, table: UpstreamTable, router: ScoreRouter, clock: Clock): RouteExplainer {
    return new RouteExplainer(configuration, table, router, clock)
  }

  explain (question: RouteQuery): Explanation {
    const configuration = this._configuration()
    const route = findRoute(configuration, question)
    const service = route && configuration.services.get(route.service)
    if (!route || !service) return { configurationRevision: configuration.revision, candidates: [], summary: 'No route takes this request. Apply a Route for its model or path.' }
    const prompt = question.model === undefined ? '' : renderChat([{ role: 'user', content: question.prompt }])
    const request = { service, promptTokens: estimateTokens(prompt), prefixBlocks: digestPrefixBlocks(prompt) }
    const candidates = this._table.listOfService(service.name).map(upstream => ({
      address: upstream.address,
      failureDomain: upstream.failureDomain,
      score: this._router.score(request, upstream),
      excluded: this._findExclusion(upstream, service.concurrencyPerUpstream)
    }))
    candidates.sort((left, right) => Number(left.excluded !== undefined) - Number(right.excluded !== undefined) || left.score.total - right.score.total)
    const chosen = candidates.find(candidate => candidate.excluded === undefined)
    const summary = chosen ? `Route ${route.name} would send it to ${chosen.address} of service ${service.name}.` : `Route ${route.name} would let it wait: no upstream of service ${service.name} takes new work.`
    return { configurationRevision: configuration.revision, route: route.name, service: service.name, priority: route.priority, idempotency: route.idempotency, candidates, summary }
  }

  private _findExclusion (upstream: Upstream, concurrency: number): ExclusionReason | undefined {
    if (upstream.state !== 'live') return 'leaving'
    if (upstream.drained) return 'drained'
    if (upstream.ejectedUntil > this._clock.now()) return 'failing'
    return upstream.estimatedLoad >= concurrency ? 'full' : undefined
  }
}

function findRoute (configuration: Configuration, question: RouteQuery): RouteRecord | undefined {
  if (question.model !== undefined) return configuration.findRouteByModel(question.model)
  return configuration.findRouteByPath(question.method, question.path ?? '/')
}
