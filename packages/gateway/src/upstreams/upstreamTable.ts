/**
 * Folds all knowledge about upstreams into one table: records, the lagging instance list, departures told by peers,
 * and what this gateway's own connections saw.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Instance } from '@plumstage/coordination'
import type { Configuration, ServiceRecord } from '@plumstage/records'
import { STATIC_INCARNATION, keyOfUpstream } from './upstream.js'
import type { Upstream, UpstreamDeparture, UpstreamIdentity } from './upstream.js'

const FAILURES_BEFORE_EJECTION = 3
const INITIAL_EJECTION_MILLISECONDS = 1000
const MAXIMUM_EJECTION_MILLISECONDS = 30_000
const DEPARTURE_RETENTION_MILLISECONDS = 10 * 60_000

/** A change of the table that tasks act on. */
export type UpstreamChange =
  | { kind: 'added', upstream: Upstream }
  | { kind: 'leaving', upstream: Upstream }
  | { kind: 'removed', upstream: Upstream }

interface DeclaredUpstream extends UpstreamIdentity {
  failureDomain: string
  instanceClass: string
}

/** All upstreams that a gateway knows. */
export class UpstreamTable {
  private readonly _upstreams = new Map<string, Upstream>()
  private readonly _departures = new Map<string, UpstreamDeparture>()
  private _configuration: Configuration | undefined
  private _instances: readonly Instance[] = []

  static create (): UpstreamTable {
    return new UpstreamTable()
  }

  list (): Upstream[] {
    return [...this._upstreams.values()]
  }

  find (identity: Pick<UpstreamIdentity, 'service' | 'address'>): Upstream | undefined {
    return this._upstreams.get(keyOfUpstream(identity))
  }

  listOfService (service: string): Upstream[] {
    return this.list().filter(upstream => upstream.service === service)
  }

  /** Returns the upstreams of a service that may get new work. Where all have failed, those that have are better than none. */
  listAvailable (service: string, now: Timestamp): Upstream[] {
    const open = this.listOfService(service).filter(upstream => upstream.state === 'live' && !upstream.drained)
    const healthy = open.filter(upstream => upstream.ejectedUntil <= now)
    return healthy.length > 0 ? healthy : open
  }

  /** Returns the departures to tell peers about. */
  listDepartures (): UpstreamDeparture[] {
    return [...this._departures.values()]
  }

  applyConfiguration (configuration: Configuration, now: Timestamp): UpstreamChange[] {
    this._configuration = configuration
    return [...this._reconcile(now), ...this._applyLeavingInstances(now)]
  }

  applyInstances (instances: readonly Instance[], now: Timestamp): UpstreamChange[] {
    this._instances = instances
    return [...this._reconcile(now), ...this._applyLeavingInstances(now)]
  }

  /** Marks an upstream as leaving. Within its incarnation nothing brings it back. */
  applyDeparture (departure: UpstreamDeparture, now: Timestamp): UpstreamChange[] {
    this._pruneDepartures(now)
    const key = keyOfDeparture(departure)
    if (this._departures.has(key)) return []
    this._departures.set(key, departure)
    const upstream = this.find(departure)
    if (!upstream || upstream.incarnation !== departure.incarnation || upstream.state !== 'live') return []
    upstream.state = 'leaving'
    upstream.leavingDeadline = departure.deadline
    return [{ kind: 'leaving', upstream }]
  }

  recordAttemptStarted (identity: UpstreamIdentity): void {
    const upstream = this.find(identity)
    if (!upstream) return
    upstream.inFlight++
    upstream.estimatedLoad++
  }

  recordAttemptEnded (identity: UpstreamIdentity): void {
    const upstream = this.find(identity)
    if (!upstream) return
    upstream.inFlight = Math.max(0, upstream.inFlight - 1)
    upstream.estimatedLoad = Math.max(upstream.inFlight, upstream.estimatedLoad - 1)
  }

  recordSuccess (identity: UpstreamIdentity): void {
    const upstream = this.find(identity)
    if (!upstream) return
    upstream.consecutiveFailures = 0
    upstream.ejectedUntil = 0
  }

  /** Counts a failed call; several in a row keep new work away for a growing time. */
  recordFailure (identity: UpstreamIdentity, now: Timestamp): void {
    const upstream = this.find(identity)
    if (!upstream) return
    upstream.consecutiveFailures++
    const excess = upstream.consecutiveFailures - FAILURES_BEFORE_EJECTION
    if (excess < 0) return
    upstream.ejectedUntil = now + Math.min(MAXIMUM_EJECTION_MILLISECONDS, INITIAL_EJECTION_MILLISECONDS * 2 ** excess)
  }

  private _reconcile (now: Timestamp): UpstreamChange[] {
    const changes: UpstreamChange[] = []
    const listed = new Map(this._listDeclared().map(upstream => [keyOfUpstream(upstream), upstream]))
    for (const [key, upstream] of this._upstreams) {
      if (listed.get(key)?.incarnation === upstream.incarnation) continue
      this._upstreams.delete(key)
      upstream.state = 'gone'
      changes.push({ kind: 'removed', upstream })
    }
    for (const [key, declared] of listed) {
      if (!this._upstreams.has(key)) changes.push(this._add(key, declared))
    }
    this._markDrained()
    this._pruneDepartures(now)
    return changes
  }

  /** The list and the configuration arrive in any order: whichever comes last meets the notices of the other. */
  private _applyLeavingInstances (now: Timestamp): UpstreamChange[] {
    const changes: UpstreamChange[] = []
    for (const instance of this._instances) {
      if (instance.state !== 'leaving') continue
      for (const service of this._servicesOfPool(instance.pool)) {
        changes.push(...this.applyDeparture({ service: service.name, address: instance.address, incarnation: instance.incarnation, deadline: instance.deadline ?? now }, now))
      }
    }
    return changes
  }

  private _listDeclared (): DeclaredUpstream[] {
    const declared: DeclaredUpstream[] = []
    for (const service of this._configuration?.services.values() ?? []) {
      for (const upstream of service.upstreams) declared.push({ service: service.name, incarnation: STATIC_INCARNATION, ...upstream })
      for (const instance of this._instances) {
        if (instance.pool === service.pool) declared.push({ service: service.name, address: instance.address, incarnation: instance.incarnation, failureDomain: instance.failureDomain, instanceClass: instance.instanceClass })
      }
    }
    return declared
  }

  private _add (key: string, declared: DeclaredUpstream): UpstreamChange {
    const departure = this._departures.get(keyOfDeparture(declared))
    const upstream: Upstream = {
      service: declared.service,
      address: declared.address,
      incarnation: declared.incarnation,
      failureDomain: declared.failureDomain,
      instanceClass: declared.instanceClass,
      state: departure ? 'leaving' : 'live',
      leavingDeadline: departure?.deadline,
      drained: false,
      inFlight: 0,
      estimatedLoad: 0,
      consecutiveFailures: 0,
      ejectedUntil: 0
    }
    this._upstreams.set(key, upstream)
    return { kind: 'added', upstream }
  }

  private _markDrained (): void {
    for (const upstream of this._upstreams.values()) {
      upstream.drained = this._configuration?.services.get(upstream.service)?.drainedUpstreams.includes(upstream.address) ?? false
    }
  }

  private _servicesOfPool (pool: string): ServiceRecord[] {
    return [...this._configuration?.services.values() ?? []].filter(service => service.pool === pool)
  }

  /** Drops departures of instances that are long gone and no longer listed. */
  private _pruneDepartures (now: Timestamp): void {
    for (const [key, departure] of this._departures) {
      if (departure.deadline + DEPARTURE_RETENTION_MILLISECONDS > now) continue
      if (this.find(departure)?.incarnation === departure.incarnation) continue
      this._departures.delete(key)
    }
  }
}

function keyOfDeparture (identity: UpstreamIdentity): string {
  return `${keyOfUpstream(identity)} ${identity.incarnation}`
}
