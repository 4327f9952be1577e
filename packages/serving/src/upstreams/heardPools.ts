/**
 * Tells whether the open connections of a pool may be used, by when one of them was last heard: those that were heard after a silence
 * has begun are not part of it.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { Clock, Timestamp } from '@plumstage/common'

/**
 * How much is known of the open connections that a request may use: one that can be repeated takes the risk that they have gone
 * silent, as long as a gateway need not be in touch with everything yet; for others, one of them was heard a moment ago.
 */
export type ConnectionNeed = 'shared' | 'heard-lately'

/** Bytes have arrived within this share of the time after which a gateway has to be in touch again. */
const HEARD_SHARES: Readonly<Record<ConnectionNeed, number>> = { shared: 0.8, 'heard-lately': 0.5 }

/** The pools of one gateway. */
export class HeardPools {
  private readonly _clock: Clock
  private readonly _contactMilliseconds: number
  private readonly _heardAt = new WeakMap<HttpClient, Timestamp>()
  /** Number of requests that run on a pool. */
  private readonly _running = new WeakMap<HttpClient, number>()

  private constructor (clock: Clock, contactMilliseconds: number) {
    this._clock = clock
    this._contactMilliseconds = contactMilliseconds
  }

  /** `contactMilliseconds` is the time after which a gateway has to be in touch again with whatever it had lost. */
  static create (clock: Clock, contactMilliseconds: number): HeardPools {
    return new HeardPools(clock, contactMilliseconds)
  }

  /** Adds a pool without connections, which counts as heard: those that are opened for its first requests work. */
  add (pool: HttpClient): void {
    this.recordBytes(pool, this._clock.now())
  }

  /** Records that a request begins on a pool; it ends with `endRequest`. */
  beginRequest (pool: HttpClient): void {
    this._running.set(pool, (this._running.get(pool) ?? 0) + 1)
  }

  endRequest (pool: HttpClient): void {
    this._running.set(pool, (this._running.get(pool) ?? 0) - 1)
  }

  /** Records that bytes have arrived on a connection of a pool. */
  recordBytes (pool: HttpClient, now: Timestamp): void {
    this._heardAt.set(pool, now)
  }

  /** Whether a request with this need may use the open connections of a pool. Where requests run, a busy upstream may let them wait. */
  isUsable (pool: HttpClient, need: ConnectionNeed): boolean {
    if ((this._running.get(pool) ?? 0) > 0) return true
    const heardAt = this._heardAt.get(pool) ?? Number.NEGATIVE_INFINITY
    return this._clock.now() < heardAt + this._contactMilliseconds * HEARD_SHARES[need]
  }
}
