/**
 * Connections to upstreams: each carries one request at a time and is reused while the upstream keeps it open.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { Pool, buildConnector } from 'undici'
import type { Dispatcher as HttpClient } from 'undici'
import type { Upstream } from './upstreamTable.js'

/** Time limit for establishing a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 700
/** Used when an upstream does not state how long it keeps an idle connection open. */
const KEEP_ALIVE_MILLISECONDS = 4000
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection is no longer reused from this long before the upstream closes it. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 400

/** Provides the connections to upstreams. */
export interface UpstreamConnections {
  clientOf (upstream: Upstream): HttpClient
  /** Whether a connection is being reset at this moment: a response that ends with its connection is then incomplete. */
  readonly resetting: boolean
  /** Closes the connections of a removed upstream, after the requests that use them. */
  forget (upstream: Upstream): void
  close (): Promise<void>
}

/** Keeps a pool of connections for each incarnation of an upstream. */
export class PooledUpstreamConnections implements UpstreamConnections {
  private readonly _pools = new Map<Upstream, Pool>()
  private readonly _connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })
  private _resetting = false

  static create (): PooledUpstreamConnections {
    return new PooledUpstreamConnections()
  }

  get resetting (): boolean {
    return this._resetting
  }

  clientOf (upstream: Upstream): HttpClient {
    let pool = this._pools.get(upstream)
    if (!pool) {
      pool = this._createPool(upstream.listed.address)
      this._pools.set(upstream, pool)
    }
    return pool
  }

  forget (upstream: Upstream): void {
    void this._pools.get(upstream)?.close()
    this._pools.delete(upstream)
  }

  async close (): Promise<void> {
    const pools = [...this._pools.values()]
    this._pools.clear()
    await Promise.all(pools.map(async pool => await pool.destroy()))
  }

  private _createPool (address: string): Pool {
    return new Pool(`http://${address}`, {
      connections: null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => this._connect(options, (...outcome) => {
        const [, socket] = outcome
        if (socket) this._observeResets(socket)
        callback(...outcome)
      })
    })
  }

  /**
   * undici treats a response without a length as complete when its connection is reset. It does so in its own listeners
   * of the same events, which run after these.
   */
  private _observeResets (socket: Socket): void {
    socket.on('error', () => this._markResetting())
    socket.on('end', () => { if (wasReset(socket)) this._markResetting() })
  }

  private _markResetting (): void {
    this._resetting = true
    queueMicrotask(() => { this._resetting = false })
  }
}

/**
 * Whether a connection that has ended was reset. Node reports a reset that arrives together with data as an ordinary
 * end; but a socket that was reset has no remote address any more, while one that was closed properly still has one.
 * Nothing may read the remote address earlier, because Node caches it at the first read.
 */
function wasReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
