/**
 * Upstreams on which suspects run alone.
 *
 * @module
 */
import type { Upstream } from '../upstreams/upstream.js'

/** Keeps some upstreams of one service free of other work while suspects wait or run. */
export class SuspectIsolation {
  /** Request that runs alone on each reserved upstream, by address; undefined while the upstream empties. */
  private readonly _reserved = new Map<string, string | undefined>()

  static create (): SuspectIsolation {
    return new SuspectIsolation()
  }

  isReserved (address: string): boolean {
    return this._reserved.has(address)
  }

  /** Returns an empty upstream for the next suspect. Reserves another one, if that is allowed, to empty it. */
  findUpstream (available: readonly Upstream[], excluded: readonly string[]): Upstream | undefined {
    this._releaseUnavailable(available)
    const waiting = available.filter(upstream => this._reserved.has(upstream.address) && this._reserved.get(upstream.address) === undefined)
    const empty = waiting.find(upstream => upstream.estimatedLoad === 0 && !excluded.includes(upstream.address))
    if (empty) return empty
    for (const upstream of waiting) if (excluded.includes(upstream.address)) this._reserved.delete(upstream.address)
    if (waiting.some(upstream => !excluded.includes(upstream.address)) || this._reserved.size >= Math.max(1, Math.floor(available.length / 2))) return undefined
    const chosen = chooseLeastLoaded(available.filter(upstream => !this._reserved.has(upstream.address)), excluded)
    if (!chosen) return undefined
    this._reserved.set(chosen.address, undefined)
    return chosen.estimatedLoad === 0 ? chosen : undefined
  }

  recordStart (address: string, requestId: string): void {
    this._reserved.set(address, requestId)
  }

  /** Notes that a request has ended; its upstream empties for the next suspect. */
  recordEnd (requestId: string): void {
    for (const [address, running] of this._reserved) if (running === requestId) this._reserved.set(address, undefined)
  }

  /** Gives back the upstreams that no suspect runs on, because none waits. */
  releaseIdle (): void {
    for (const [address, running] of this._reserved) if (running === undefined) this._reserved.delete(address)
  }

  private _releaseUnavailable (available: readonly Upstream[]): void {
    for (const [address, running] of this._reserved) {
      if (running === undefined && !available.some(upstream => upstream.address === address)) this._reserved.delete(address)
    }
  }
}

function chooseLeastLoaded (upstreams: readonly Upstream[], excluded: readonly string[]): Upstream | undefined {
  const untried = upstreams.filter(upstream => !excluded.includes(upstream.address))
  const candidates = untried.length > 0 ? untried : upstreams
  return [...candidates].sort((left, right) => left.estimatedLoad - right.estimatedLoad)[0]
}
