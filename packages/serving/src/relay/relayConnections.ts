/**
 * Connections to upstreams through other gateways: each is a tunnel that carries one request at a time and is reused
 * while the upstream keeps it open.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Dispatcher as HttpClient, Pool, buildConnector } from 'undici'
import { DelayedEnd } from '../upstreams/delayedEnd.js'
import type { ConnectionNeed, HeardPools } from '../upstreams/heardPools.js'
import type { ResetObserver } from '../upstreams/resetObserver.js'
import { ClosingPools } from '../upstreams/closingPools.js'
import { createUpstreamPool } from '../upstreams/upstreamPool.js'
import type { SeparateClient } from '../upstreams/upstreamPool.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { RelayDialer } from './relayDialer.js'

/** Dependencies of the connections. */
export interface RelayConnectionsOptions {
  dialer: RelayDialer
  /** Tells which tunnels were heard lately. */
  heard: HeardPools
  /** Observes the tunnels for resets. */
  resets: ResetObserver
}

/** Keeps a pool of tunnels for each peer and incarnation of an upstream. */
export class RelayConnections {
  private readonly _options: RelayConnectionsOptions
  private readonly _poolsByPeer = new Map<string, Map<Upstream, Pool>>()
  /** Pools that are closed once the requests on them have ended. */
  private readonly _retired = ClosingPools.create()

  private constructor (options: RelayConnectionsOptions) {
    this._options = options
  }

  static create (options: RelayConnectionsOptions): RelayConnections {
    return new RelayConnections(options)
  }

  /** Whether a connection is being reset at this moment: a response that ends with its connection is then incomplete. */
  get resetting (): boolean {
    return this._options.resets.resetting
  }

  /** Returns the client whose requests reach an upstream through a peer, with new tunnels if the open ones were not heard lately. It fails with a `RelayError` when no tunnel can be opened. */
  clientThrough (peerAddress: string, upstream: Upstream, need: ConnectionNeed): HttpClient {
    const pools = this._poolsByPeer.get(peerAddress) ?? new Map<Upstream, Pool>()
    this._poolsByPeer.set(peerAddress, pools)
    const known = pools.get(upstream)
    if (known && this._options.heard.isUsable(known, need)) return known
    if (known) this._retired.add(known)
    const pool = this._createPool(peerAddress, upstream)
    this._options.heard.add(pool)
    pools.set(upstream, pool)
    return pool
  }

  /** Creates a client with a tunnel of its own, for one request. */
  createSeparateClient (peerAddress: string, upstream: Upstream): SeparateClient {
    return this._retired.createSeparate(this._createPool(peerAddress, upstream))
  }

  /** Closes the tunnels through a peer, after the requests that use them. */
  retirePeer (peerAddress: string): void {
    for (const pool of this._poolsByPeer.get(peerAddress)?.values() ?? []) this._retired.add(pool)
    this._poolsByPeer.delete(peerAddress)
  }

  /** Closes all tunnels, after the requests that use them. */
  retireAll (): void {
    for (const peerAddress of [...this._poolsByPeer.keys()]) this.retirePeer(peerAddress)
  }

  /** Closes the tunnels to a removed upstream, after the requests that use them. */
  forget (upstream: Upstream): void {
    for (const pools of this._poolsByPeer.values()) {
      const pool = pools.get(upstream)
      pools.delete(upstream)
      if (pool) this._retired.add(pool)
    }
  }

  /** Closes all tunnels immediately. */
  async close (): Promise<void> {
    this.retireAll()
    await this._retired.destroy()
  }

  private _createPool (peerAddress: string, upstream: Upstream): Pool {
    return createUpstreamPool(upstream.listed.address, (_options, callback) => { void this._connect(peerAddress, upstream, callback) })
  }

  private async _connect (peerAddress: string, upstream: Upstream, callback: buildConnector.Callback): Promise<void> {
    const opened = await this._options.dialer.open(peerAddress, upstream.listed.id)
    if (opened.isErr()) return callback(opened.error, null)
    DelayedEnd.attach(opened.value)
    this._options.resets.observe(opened.value)
    // undici uses a connection as a stream only.
    callback(null, opened.value as Duplex as Socket)
  }
}
