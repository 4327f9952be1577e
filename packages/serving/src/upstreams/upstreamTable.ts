/**
 * The upstreams that a gateway knows, with their load from all gateways.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { StatedLimit } from '../limits/statedLimit.js'
import { softwareOf } from '../streams/software.js'
import type { SoftwareId } from '../streams/software.js'
import type { ListedUpstream } from './listedUpstream.js'
import { UpstreamHealth } from './upstreamHealth.js'

const MAXIMUM_LEAVING_INCARNATIONS = 10_000

/** Load of an upstream. */
export interface UpstreamLoad {
  requests: number
  /** Prompt tokens of requests whose first event has not arrived. */
  waitingTokens: number
}

/** One incarnation of an upstream. */
export class Upstream {
  readonly health = UpstreamHealth.create()
  /** The request limit that it states. */
  readonly limit = StatedLimit.create()
  /** Load by this gateway's requests. */
  readonly localLoad: UpstreamLoad = { requests: 0, waitingTokens: 0 }
  /** When the platform removes it; undefined when that is not known. */
  leavesAt: Timestamp | undefined
  /** When it reaches its full speed after its start. */
  warmUpEndsAt: Timestamp = 0
  /** Whether it has stated in a response that it is leaving. */
  hasStatedLeaving = false
  private _retryAt: Timestamp = 0
  private _listed: ListedUpstream
  private readonly _peerLoads = new Map<string, UpstreamLoad>()
  private readonly _peerTotal: UpstreamLoad = { requests: 0, waitingTokens: 0 }
  /** Load by all peers as aggregated by a relay; takes precedence over the peers' own reports. */
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

  get software (): SoftwareId {
    return softwareOf(this._listed)
  }

  get isLeaving (): boolean {
    return this.hasStatedLeaving || this._listed.state === 'leaving'
  }

  /** Until when it wants no requests from this gateway. */
  get retryAt (): Timestamp {
    return this._retryAt
  }

  /** Records until when it wants no requests; returns whether that is later than before. */
  recordRetryAfter (retryAt: Timestamp): boolean {
    if (retryAt <= this._retryAt) return false
    this._retryAt = retryAt
    return true
  }

  /** Requests of all gateways, as far as they are known. */
  get requests (): number {
    return this.localLoad.requests + (this._aggregatedPeerLoad ?? this._peerTotal).requests
  }

  /** Waiting prompt tokens of all gateways, as far as they are known. */
  get waitingTokens (): number {
    return this.localLoad.waitingTokens + (this._aggregatedPeerLoad ?? this._peerTotal).waitingTokens
  }

  /** Sums the load by the peers whose reports arrive directly, except the one that is to receive the sums. */
  sumPeerLoads (excludedGateway: string): UpstreamLoad {
    const excluded = this._peerLoads.get(excludedGateway)
    return { requests: this._peerTotal.requests - (excluded?.requests ?? 0), waitingTokens: this._peerTotal.waitingTokens - (excluded?.waitingTokens ?? 0) }
  }

  update (listed: ListedUpstream, now: Timestamp): void {
    this._listed = listed
    this.warmUpEndsAt = now + listed.warmupMilliseconds
    if (listed.leavesInMilliseconds !== undefined) this.leavesAt ??= now + listed.leavesInMilliseconds
  }

  /** Sets the load by one peer; undefined removes it. */
  setPeerLoad (gateway: string, load: UpstreamLoad | undefined): void {
    const before = this._peerLoads.get(gateway)
    this._peerTotal.requests += (load?.requests ?? 0) - (before?.requests ?? 0)
    this._peerTotal.waitingTokens += (load?.waitingTokens ?? 0) - (before?.waitingTokens ?? 0)
    if (load) this._peerLoads.set(gateway, load)
    else this._peerLoads.delete(gateway)
  }

  /** Sets the load by all peers as aggregated by a relay; undefined when no relay is followed. */
  setAggregatedPeerLoad (load: UpstreamLoad | undefined): void {
    this._aggregatedPeerLoad = load
  }
}

/** An upstream that starts again under its id may have another address or another software. */
function isSameRun (known: ListedUpstream, listed: ListedUpstream): boolean {
  return known.incarnation === listed.incarnation && known.address === listed.address && known.softwareVersion === listed.softwareVersion
}

/** An upstream that starts again under its id is another incarnation. */
function incarnationKeyOf ({ id, incarnation }: ListedUpstream): string {
  return `${id}/${incarnation}`
}

/** All upstreams by id. */
export class UpstreamTable {
  /** Incarnations that have stated that they are leaving, the latest last; kept while their entries may lapse and return. */
  private readonly _leavingIncarnations = new Set<string>()
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

  /**
   * Upstreams that may get new requests now and that `accepts` selects; suspended ones only when there are no others.
   */
  listAvailable (service: string, now: Timestamp, accepts: (upstream: Upstream) => boolean = () => true): readonly Upstream[] {
    const present = this.listOfService(service).filter(upstream => !upstream.isLeaving && upstream.retryAt <= now && accepts(upstream))
    const healthy = present.filter(upstream => !upstream.health.isSuspended(now))
    return healthy.length > 0 ? healthy : present
  }

  /**
   * When the first of the upstreams that `accepts` selects wants requests again; undefined unless all of them have asked
   * this gateway to wait.
   */
  nextRetryAt (service: string, now: Timestamp, accepts: (upstream: Upstream) => boolean): Timestamp | undefined {
    const present = this.listOfService(service).filter(upstream => !upstream.isLeaving && accepts(upstream))
    const earliest = Math.min(...present.map(({ retryAt }) => retryAt))
    return present.length > 0 && earliest > now ? earliest : undefined
  }

  /** Replaces the list; returns the incarnations that are no longer in it. */
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
      if (known && isSameRun(known.listed, entry)) {
        known.update(entry, now)
        continue
      }
      if (known) removed.push(known)
      this._upstreams.set(entry.id, this._createUpstream(entry, now))
    }
    this._indexByService()
    return removed
  }

  /** Records that an upstream has stated that it is leaving; returns whether that is new. It holds as long as its incarnation. */
  recordLeaving (upstream: Upstream): boolean {
    if (upstream.hasStatedLeaving) return false
    upstream.hasStatedLeaving = true
    this._leavingIncarnations.add(incarnationKeyOf(upstream.listed))
    const [oldest] = this._leavingIncarnations
    if (this._leavingIncarnations.size > MAXIMUM_LEAVING_INCARNATIONS) this._leavingIncarnations.delete(oldest)
    return true
  }

  private _createUpstream (entry: ListedUpstream, now: Timestamp): Upstream {
    const upstream = Upstream.create(entry, now)
    upstream.hasStatedLeaving = this._leavingIncarnations.has(incarnationKeyOf(entry))
    return upstream
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
