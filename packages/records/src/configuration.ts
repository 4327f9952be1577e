/**
 * All configuration records of one revision, indexed for request lookups.
 *
 * @module
 */
import { hash } from 'node:crypto'
import type { CallerLimits, ConfigurationRecord, PriorityRecord, RouteRecord, ServiceRecord, WorkspaceRecord } from './model.js'

/** Returns the digest under which a bearer token is stored. */
export function digestToken (token: string): string {
  return hash('sha256', token, 'hex')
}

/** An immutable view of all records at one revision. */
export class Configuration {
  readonly revision: number
  readonly services: ReadonlyMap<string, ServiceRecord>
  readonly priorities: ReadonlyMap<string, PriorityRecord>
  readonly workspaces: ReadonlyMap<string, WorkspaceRecord>
  readonly routes: ReadonlyMap<string, RouteRecord>
  /** Limits on what callers send; undefined when the configuration does not set them. */
  readonly callerLimits: CallerLimits | undefined
  private readonly _workspaceByDigest = new Map<string, WorkspaceRecord>()
  private readonly _routeByModel = new Map<string, RouteRecord>()
  private readonly _pathRoutes: RouteRecord[]
  private readonly _pathRoutesByHost = new Map<string, RouteRecord[]>()
  private readonly _prioritiesByService = new Map<string, PriorityRecord[]>()

  private constructor (revision: number, records: readonly ConfigurationRecord[], callerLimits?: CallerLimits) {
    this.revision = revision
    this.callerLimits = callerLimits
    this.services = indexByName(records.filter(record => record.kind === 'Service'))
    this.priorities = indexByName(records.filter(record => record.kind === 'Priority'))
    this.workspaces = indexByName(records.filter(record => record.kind === 'Workspace'))
    const routes = records.filter(record => record.kind === 'Route')
    this.routes = indexByName(routes)
    for (const workspace of this.workspaces.values()) workspace.tokenDigests.forEach(digest => this._workspaceByDigest.set(digest, workspace))
    for (const route of routes) if (route.model !== undefined) this._routeByModel.set(route.model, route)
    for (const service of this.services.keys()) this._prioritiesByService.set(service, this._collectPriorities(service, routes))
    this._pathRoutes = routes.filter(route => route.pathPrefix !== undefined).sort(compareSpecificity)
    for (const route of this._pathRoutes) if (route.host !== undefined) this._addPathRouteForHost(route.host, route)
  }

  static create (revision: number, records: readonly ConfigurationRecord[], callerLimits?: CallerLimits): Configuration {
    return new Configuration(revision, records, callerLimits)
  }

  findWorkspaceByToken (token: string): WorkspaceRecord | undefined {
    return this._workspaceByDigest.get(digestToken(token))
  }

  findRouteByModel (model: string): RouteRecord | undefined {
    return this._routeByModel.get(model)
  }

  /** Returns the route with the longest matching path prefix; a route that lists the method wins over one for all methods. */
  findRouteByPath (method: string, path: string): RouteRecord | undefined {
    return this._pathRoutes.find(route => path.startsWith(route.pathPrefix ?? '/') && (route.methods.length === 0 || route.methods.includes(method)))
  }

  /** Returns the route of a host with the longest matching path prefix. */
  findRouteByHost (host: string, path: string): RouteRecord | undefined {
    return this._pathRoutesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix ?? '/'))
  }

  /** Returns the routes that may lead to a service. */
  listRoutesOfService (service: string): RouteRecord[] {
    return [...this.routes.values()].filter(route => route.service === service || route.split?.some(share => share.service === service) === true)
  }

  /** Returns the priority classes of all routes to a service. */
  listPrioritiesOfService (service: string): PriorityRecord[] {
    return this._prioritiesByService.get(service) ?? []
  }

  listModels (): string[] {
    return [...this._routeByModel.keys()].sort()
  }

  private _addPathRouteForHost (host: string, route: RouteRecord): void {
    const routes = this._pathRoutesByHost.get(host)
    if (routes) routes.push(route)
    else this._pathRoutesByHost.set(host, [route])
  }

  private _collectPriorities (service: string, routes: readonly RouteRecord[]): PriorityRecord[] {
    const names = new Set(routes.filter(route => route.service === service).map(route => route.priority))
    return [...names].map(name => this.priorities.get(name)).filter((priority): priority is PriorityRecord => priority !== undefined)
  }
}

function indexByName<Named extends { name: string }> (records: readonly Named[]): Map<string, Named> {
  return new Map(records.map(record => [record.name, record]))
}

/** Sorts longer path prefixes first and, at equal length, routes that list methods before routes for all methods. */
function compareSpecificity (left: RouteRecord, right: RouteRecord): number {
  const byLength = (right.pathPrefix?.length ?? 0) - (left.pathPrefix?.length ?? 0)
  if (byLength !== 0) return byLength
  return Math.sign(right.methods.length) - Math.sign(left.methods.length)
}
