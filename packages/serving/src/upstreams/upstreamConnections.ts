/**
 * Connections to upstreams: each carries one request at a time and is reused while the upstream keeps it open.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { Dispatcher as HttpClient, Pool, buildConnector } from 'undici'
import type { Clock, ConnectionResets, Timestamp } from '@plumstage/common'
import { createResettingConnector } from '@plumstage/common/resettingConnector'
import { DelayedEnd } from './delayedEnd.js'
import type { ConnectionNeed, HeardPools } from './heardPools.js'
import { ResetObserver } from './resetObserver.js'
import { ClosingPools } from './closingPools.js'
import { createUpstreamPool } from './upstreamPool.js'
import type { SeparateClient } from './upstreamPool.js'
import type { Upstream } from './upstreamTable.js'

/** Time limit for establishing a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 700

/** Provides the connections to upstreams. */
export interface UpstreamConnections {
  clientOf (upstream: Upstream, need: ConnectionNeed): HttpClient
  /** Opens new connections from now on, because the open ones are silent; those close after their requests. */
  replaceSilent (): void
  /** Whether the connections of a client were replaced because they were silent, after a time since which one of them is. */
  isSilent (client: HttpClient, since: Timestamp): boolean
  /** Creates a client with a new connection, for one request. */
  createSeparateClient (upstream: Upstream): SeparateClient
  /** Whether a connection is being broken off at this moment: a response that ends with its connection is then incomplete. */
  readonly resetting: boolean
  /** Closes the connections of a removed upstream, after the requests that use them. */
  forget (upstream: Upstream): void
  close (): Promise<void>
}

/** Dependencies of the connections. */
export interface PooledUpstreamConnectionsOptions {
  /** Notices the resets of upstreams. */
  observer: ResetObserver
  /** Counts the resets of this gateway. */
  resets: ConnectionResets
  /** Tells which pools were heard lately. */
  heard: HeardPools
  clock: Clock
}

/** Keeps a pool of connections for each incarnation of an upstream. */
export class PooledUpstreamConnections implements UpstreamConnections {
  private readonly _pools = new Map<Upstream, Pool>()
  /** Pools that are closed once the requests on them have ended. */
  private readonly _closing = ClosingPools.create()
  private readonly _connect: buildConnector.connector
  private readonly _options: PooledUpstreamConnectionsOptions
  private readonly _createdAt = new WeakMap<HttpClient, Timestamp>()
  /** When all pools were last replaced because their connections were silent. */
  private _replacedAt: Timestamp = Number.NEGATIVE_INFINITY

  private constructor (options: PooledUpstreamConnectionsOptions) {
    const { resets } = options
    this._options = options
    this._connect = createResettingConnector({ target: 'upstream', resets, timeout: CONNECT_TIMEOUT_MILLISECONDS, onConnection: socket => this._prepare(socket) })
  }

  static create (options: PooledUpstreamConnectionsOptions): PooledUpstreamConnections {
    return new PooledUpstreamConnections(options)
  }

  get resetting (): boolean {
    return this._options.observer.resetting
  }

  clientOf (upstream: Upstream, need: ConnectionNeed): HttpClient {
    const known = this._pools.get(upstream)
    if (known && this._options.heard.isUsable(known, need)) return known
    this.forget(upstream)
    const pool = this._createPool(upstream.listed.address)
    this._pools.set(upstream, pool)
    return pool
  }

  replaceSilent (): void {
    this._replacedAt = this._options.clock.now()
    for (const upstream of [...this._pools.keys()]) this.forget(upstream)
  }

  isSilent (client: HttpClient, since: Timestamp): boolean {
    const createdAt = this._createdAt.get(client)
    return createdAt !== undefined && createdAt <= this._replacedAt && since <= this._replacedAt
  }

  createSeparateClient (upstream: Upstream): SeparateClient {
    return this._closing.createSeparate(this._createPool(upstream.listed.address))
  }

  forget (upstream: Upstream): void {
    const pool = this._pools.get(upstream)
    this._pools.delete(upstream)
    if (pool) this._closing.add(pool)
  }

  async close (): Promise<void> {
    const pools = [...this._pools.values()]
    this._pools.clear()
    await Promise.all([...pools.map(async pool => await pool.destroy()), this._closing.destroy()])
  }

  private _createPool (address: string): Pool {
    const pool = createUpstreamPool(address, this._connect)
    this._createdAt.set(pool, this._options.clock.now())
    this._options.heard.add(pool)
    return pool
  }

  private _prepare (socket: Socket): void {
    DelayedEnd.attach(socket)
    this._options.observer.observe(socket)
  }
}
