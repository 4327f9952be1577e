/**
 * Connections to upstreams: each carries one request at a time and is used again while the upstream keeps it open.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { Pool, buildConnector } from 'undici'
import type { Dispatcher as HttpClient } from 'undici'
import type { Upstream } from './upstreamTable.js'

/** Time until a connection has to be established. */
const CONNECT_TIMEOUT_MILLISECONDS = 700
/** Used where an upstream does not state how long it keeps an idle connection. */
const KEEP_ALIVE_MILLISECONDS = 4000
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection is not used again this shortly before the upstream closes it. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 400

/** Gives the connections to one upstream. */
export interface UpstreamConnections {
  clientOf (upstream: Upstream): HttpClient
  /** Whether a connection is being reset right now: an answer that ends with its connection is not whole then. */
  readonly resetting: boolean
  /** Closes the connections of an upstream that is gone, after the calls that use them. */
  forget (upstream: Upstream): void
  close (): Promise<void>
}

/** Keeps a pool of connections for each run of an upstream. */
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
   * The library takes an answer without a length as whole when its connection is reset. It does so in its own listeners
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
 * Whether a connection that has ended was reset. Node reports a reset that arrives together with bytes as an ordinary
 * end; but a reset connection has no peer any more, and one that was closed in order still has. The address of the peer
 * is asked for here first, since Node keeps what it has answered once.
 */
function wasReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
