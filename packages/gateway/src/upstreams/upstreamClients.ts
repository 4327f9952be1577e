/**
 * HTTP connections to upstreams.
 *
 * @module
 */
import { Pool } from 'undici'
import type { Dispatcher as HttpClient } from 'undici'
import type { ConnectionResets } from '@plumstage/common'
import { createResettingConnector } from '@plumstage/common/resettingConnector'
import type { UpstreamIdentity } from './upstream.js'
import { keyOfUpstream } from './upstream.js'

const CONNECT_TIMEOUT_MILLISECONDS = 1000
const KEEP_ALIVE_MILLISECONDS = 4000

/** Whether a connection is reused by successive requests or opened for one request. */
export type ConnectionReuse = 'reuse' | 'fresh'

/** Provides the HTTP clients for requests to upstreams. */
export interface UpstreamClients {
  clientOf (upstream: UpstreamIdentity, reuse: ConnectionReuse): HttpClient
  /** Closes the connections of a removed upstream once the requests on them have ended. */
  forget (upstream: Pick<UpstreamIdentity, 'service' | 'address'>): void
  close (): Promise<void>
}

/**
 * Keeps the connection pools of all upstreams. Each request that must not be retried gets a new connection, because on a
 * reused one it could be lost when the upstream closes the idle connection while the request is sent.
 */
export class PooledUpstreamClients implements UpstreamClients {
  private readonly _reusedPools = new Map<string, Pool>()
  private readonly _singleUsePools = new Map<string, Pool>()

  private readonly _resets: ConnectionResets

  private constructor (resets: ConnectionResets) {
    this._resets = resets
  }

  /** `resets` counts the connections of attempts that were given up. */
  static create (resets: ConnectionResets): PooledUpstreamClients {
    return new PooledUpstreamClients(resets)
  }

  clientOf (upstream: UpstreamIdentity, reuse: ConnectionReuse): HttpClient {
    const pools = reuse === 'reuse' ? this._reusedPools : this._singleUsePools
    const key = keyOfUpstream(upstream)
    let pool = pools.get(key)
    if (!pool) {
      pool = createPool(upstream.address, reuse, this._resets)
      pools.set(key, pool)
    }
    return pool
  }

  forget (upstream: Pick<UpstreamIdentity, 'service' | 'address'>): void {
    const key = keyOfUpstream(upstream)
    for (const pools of [this._reusedPools, this._singleUsePools]) {
      void pools.get(key)?.close()
      pools.delete(key)
    }
  }

  async close (): Promise<void> {
    const pools = [...this._reusedPools.values(), ...this._singleUsePools.values()]
    await Promise.all(pools.map(async pool => await pool.destroy()))
  }
}

/** Creates a pool without a connection limit. `pipelining: 0` makes undici close each connection after one request. */
function createPool (address: string, reuse: ConnectionReuse, resets: ConnectionResets): Pool {
  return new Pool(`http://${address}`, {
    connections: null,
    pipelining: reuse === 'reuse' ? 1 : 0,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    connect: createResettingConnector({ target: 'upstream', resets, timeout: CONNECT_TIMEOUT_MILLISECONDS })
  })
}
