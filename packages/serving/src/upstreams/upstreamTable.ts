/**
 * The upstreams that a gateway knows, with the work they have from all gateways.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ListedUpstream } from './listedUpstream.js'
import { UpstreamHealth } from './upstreamHealth.js'

/** Work at an upstream. */
export interface UpstreamLoad {
  requests: number
  /** Prompt tokens of requests whose first event has not arrived. */
  waitingTokens: number
}

/** One run of one upstream. */
export class Upstream {
  readonly health = UpstreamHealth.create()
  /** Work that this gateway has there. */
  readonly localLoad: UpstreamLoad = { requests: 0, waitingTokens: 0 }
  /** When it is taken away; undefined when that is not known. */
  leavesAt: Timestamp | undefined
  /** When it is no longer slow after its start. */
  warmUpEndsAt: Timestamp = 0
  private _listed: ListedUpstream
  private readonly _peerLoads = new Map<string, UpstreamLoad>()
  private readonly _peerTotal: UpstreamLoad = { requests: 0, waitingTokens: 0 }
  /** Work of all other gateways as a relay sums it up; goes before what they say themselves. */
  private _aggregatedPeerLoad: UpstreamLoad | undefined

  private constructor (listed: ListedUpstream) {
    this._listed = listed
  }

  static create (listed: ListedUpstream, now: Timestamp): Upstream {
    const upstream = new Upstream(listed)
    upstream.update(listed, now)
    return upstream
  }

  get listed (): ListedUpstream {
    return this._listed
  }

  get isLeaving (): boolean {
    return this._listed.state === 'leaving'
  }

  /** Requests of all gateways together, as far as they are known. */
  get requests (): number {
    return this.localLoad.requests + (this._aggregatedPeerLoad ?? this._peerTotal).requests
  }

  /** Waiting prompt tokens of all gateways together, as far as they are known. */
  get waitingTokens (): number {
    return this.localLoad.waitingTokens + (this._aggregatedPeerLoad ?? this._peerTotal).waitingTokens
  }

  /** Sums the work of the gateways that are heard directly, without one of them. */
  sumPeerLoads (exceptGateway: string): UpstreamLoad {
    const except = this._peerLoads.get(exceptGateway)
    return { requests: this._peerTotal.requests - (except?.requests ?? 0), waitingTokens: this._peerTotal.waitingTokens - (except?.waitingTokens ?? 0) }
  }

  update (listed: ListedUpstream, now: Timestamp): void {
    this._listed = listed
    this.warmUpEndsAt = now + listed.warmupMilliseconds
    if (listed.leavesInMilliseconds !== undefined) this.leavesAt ??= now + listed.leavesInMilliseconds
  }

  /** Takes the work that another gateway has there. */
  setPeerLoad (gateway: string, work: UpstreamLoad | undefined): void {
    const before = this._peerLoads.get(gateway)
    this._peerTotal.requests += (work?.requests ?? 0) - (before?.requests ?? 0)
    this._peerTotal.waitingTokens += (work?.waitingTokens ?? 0) - (before?.waitingTokens ?? 0)
    if (work) this._peerLoads.set(gateway, work)
    else this._peerLoads.delete(gateway)
  }

  /** Takes the work of all other gateways from a relay; undefined when no relay is followed. */
  setAggregatedPeerLoad (work: UpstreamLoad | undefined): void {
    this._aggregatedPeerLoad = work
  }
}

/** All upstreams by id. */
export class UpstreamTable {
  private readonly _upstreams = new Map<string, Upstream>()
  private _byService = new Map<string, Upstream[]>()

  static create (): UpstreamTable {
    return new UpstreamTable()
  }

  get (id: string): Upstream | undefined {
    return this._upstreams.get(id)
  }

  list (): Upstream[] {
    return [...this._upstreams.values()]
  }

  listOfService (service: string): readonly Upstream[] {
    return this._byService.get(service) ?? []
  }

  /** Upstreams that may be given new work now: suspended ones only when there is no other. */
  listAvailable (service: string, now: Timestamp): readonly Upstream[] {
    const present = this.listOfService(service).filter(upstream => !upstream.isLeaving)
    const sound = present.filter(upstream => !upstream.health.isSuspended(now))
    return sound.length > 0 ? sound : present
  }

  /** Takes the whole list; returns the runs that are no longer in it. */
  apply (listed: readonly ListedUpstream[], now: Timestamp): Upstream[] {
    const removed: Upstream[] = []
    const ids = new Set(listed.map(entry => entry.id))
    for (const [id, upstream] of this._upstreams) {
      if (ids.has(id)) continue
      this._upstreams.delete(id)
      removed.push(upstream)
    }
    for (const entry of listed) {
      const known = this._upstreams.get(entry.id)
      if (known && known.listed.incarnation === entry.incarnation && known.listed.address === entry.address) {
        known.update(entry, now)
        continue
      }
      if (known) removed.push(known)
      this._upstreams.set(entry.id, Upstream.create(entry, now))
    }
    this._indexByService()
    return removed
  }

  private _indexByService (): void {
    this._byService = new Map()
    for (const upstream of this._upstreams.values()) {
      const list = this._byService.get(upstream.listed.service) ?? []
      list.push(upstream)
      this._byService.set(upstream.listed.service, list)
    }
  }
}
