/**
 * Merges all information about upstreams into one table: Service records, the instance list (which may lag), departures
 * reported by peers, and the results of this gateway's own requests.
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

/** A change of the table to which tasks react. */
export type UpstreamChange =
  | { kind: 'added', upstream: Upstream }
  | { kind: 'leaving', upstream: Upstream }
  | { kind: 'removed', upstream: Upstream }

interface DeclaredUpstream extends UpstreamIdentity {
  failureDomain: string
  instanceClass: string
}

/** The table of all upstreams that are known to a gateway. */
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

  /**
   * Returns the upstreams of a service that accept new requests. If all of them are ejected, returns them nevertheless,
   * because a failing upstream is better than none.
   */
  listAvailable (service: string, now: Timestamp): Upstream[] {
    const accepting = this.listOfService(service).filter(upstream => upstream.state === 'live' && !upstream.drained)
    const healthy = accepting.filter(upstream => upstream.ejectedUntil <= now)
    return healthy.length > 0 ? healthy : accepting
  }

  /** Returns the departures to report to peers. */
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

  /** Marks an upstream as leaving. It does not become live again within the same incarnation. */
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

  /**
   * Counts a failed request. From the third consecutive failure on, the upstream is ejected: it gets no new requests for a
   * time that doubles with each further failure.
   */
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
    const declaredByKey = new Map(this._listDeclared().map(upstream => [keyOfUpstream(upstream), upstream]))
    for (const [key, upstream] of this._upstreams) {
      if (declaredByKey.get(key)?.incarnation === upstream.incarnation) continue
      this._upstreams.delete(key)
      upstream.state = 'gone'
      changes.push({ kind: 'removed', upstream })
    }
    for (const [key, declared] of declaredByKey) {
      if (!this._upstreams.has(key)) changes.push(this._add(key, declared))
    }
    this._markDrained()
    this._pruneDepartures(now)
    return changes
  }

  /**
   * Applies the departures of leaving instances. Called for each change of the instance list and of the configuration,
   * because they arrive in any order and a departure needs both.
   */
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

  /** Removes departures whose deadline is long past and whose upstream is no longer in the table. */
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
