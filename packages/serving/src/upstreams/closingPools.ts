/**
 * Pools of connections that get no further requests, and are closed once those that they carry have ended.
 *
 * @module
 */
import type { Pool } from 'undici'
import type { SeparateClient } from './upstreamPool.js'

/** The closing pools of one gateway. */
export class ClosingPools {
  private readonly _pools = new Set<Pool>()

  static create (): ClosingPools {
    return new ClosingPools()
  }

  /** Closes a pool after its requests. */
  add (pool: Pool): void {
    this._pools.add(pool)
    pool.close().catch(() => {}).finally(() => this._pools.delete(pool))
  }

  /** Returns a pool as the client of one request. */
  createSeparate (pool: Pool): SeparateClient {
    this._pools.add(pool)
    return { client: pool, release: () => this.add(pool) }
  }

  /** Closes all pools immediately. */
  async destroy (): Promise<void> {
    await Promise.all([...this._pools].map(async pool => await pool.destroy()))
  }
}
