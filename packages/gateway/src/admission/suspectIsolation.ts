/**
 * Reserves upstreams on which suspects (requests that may have crashed an upstream) run alone.
 *
 * @module
 */
import type { Upstream } from '../upstreams/upstream.js'

/** Keeps other requests off some upstreams of one service while suspects wait or run. */
export class SuspectIsolation {
  /**
   * The suspect that runs on each reserved upstream, by address; undefined while the upstream is idle or still runs other
   * requests.
   */
  private readonly _reserved = new Map<string, string | undefined>()

  static create (): SuspectIsolation {
    return new SuspectIsolation()
  }

  isReserved (address: string): boolean {
    return this._reserved.has(address)
  }

  /**
   * Returns an idle upstream for the next suspect, or undefined while there is none. If none is reserved for it yet,
   * reserves another one, up to half of the available upstreams, but at least one.
   */
  findOrReserveUpstream (available: readonly Upstream[], excluded: readonly string[]): Upstream | undefined {
    this._releaseUnavailable(available)
    const unused = available.filter(upstream => this._reserved.has(upstream.address) && this._reserved.get(upstream.address) === undefined)
    const idle = unused.find(upstream => upstream.estimatedLoad === 0 && !excluded.includes(upstream.address))
    if (idle) return idle
    for (const upstream of unused) if (excluded.includes(upstream.address)) this._reserved.delete(upstream.address)
    if (unused.some(upstream => !excluded.includes(upstream.address)) || this._reserved.size >= Math.max(1, Math.floor(available.length / 2))) return undefined
    const chosen = chooseLeastLoaded(available.filter(upstream => !this._reserved.has(upstream.address)), excluded)
    if (!chosen) return undefined
    this._reserved.set(chosen.address, undefined)
    return chosen.estimatedLoad === 0 ? chosen : undefined
  }

  recordStart (address: string, requestId: string): void {
    this._reserved.set(address, requestId)
  }

  /** Records that a request has ended. If it was a suspect, its upstream stays reserved for the next one. */
  recordEnd (requestId: string): void {
    for (const [address, running] of this._reserved) if (running === requestId) this._reserved.set(address, undefined)
  }

  /** Releases the reserved upstreams on which no suspect runs. Called when no suspect waits. */
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
