/**
 * Chooses the upstreams of each round of probes, so that neither a crashed nor a busy one is mistaken for a lost link.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { chooseDiverse } from './diverseChoice.js'

/** How long an upstream that failed is probed only if there are no others. */
const FAILURE_MEMORY_MILLISECONDS = 5000

/** Upstreams are probed in this order; those that are full let a probe wait like any other request. */
const RANK_FREE = 0
const RANK_FULL = 1
const RANK_FAILED = 2

/** Remembers which upstreams were probed and which have failed. */
export class ProbeRotation {
  /** Number of the last round in which an upstream was probed. */
  private readonly _probedInRound = new Map<Upstream, number>()
  private readonly _failedUntil = new Map<string, Timestamp>()
  private _round = 0

  static create (): ProbeRotation {
    return new ProbeRotation()
  }

  recordFailure (upstreamId: string, now: Timestamp): void {
    this._failedUntil.set(upstreamId, now + FAILURE_MEMORY_MILLISECONDS)
  }

  recordResponse (upstreamId: string): void {
    this._failedUntil.delete(upstreamId)
  }

  /** Chooses up to `count` of the upstreams for the next round: those that were not probed for longest, of different services and failure domains. */
  choose (upstreams: readonly Upstream[], count: number, now: Timestamp): Upstream[] {
    this._forget(upstreams, now)
    const byRound = [...upstreams].sort((one, other) => this._roundOf(one) - this._roundOf(other))
    const chosen = chooseDiverse(byRound, count, [], upstream => this._rankOf(upstream))
    this._round++
    for (const upstream of chosen) this._probedInRound.set(upstream, this._round)
    return chosen
  }

  private _rankOf ({ listed, requests }: Upstream): number {
    if (this._failedUntil.has(listed.id)) return RANK_FAILED
    return requests >= listed.capacity ? RANK_FULL : RANK_FREE
  }

  private _roundOf (upstream: Upstream): number {
    return this._probedInRound.get(upstream) ?? 0
  }

  private _forget (upstreams: readonly Upstream[], now: Timestamp): void {
    const known = new Set(upstreams)
    for (const upstream of this._probedInRound.keys()) if (!known.has(upstream)) this._probedInRound.delete(upstream)
    for (const [id, until] of this._failedUntil) if (now >= until) this._failedUntil.delete(id)
  }
}
