/**
 * Gateways that open tunnels for each other, and upstreams, on loopback addresses.
 *
 * @module
 */
import { createServer as createHttpServer } from 'node:http'
import type { RequestListener } from 'node:http'
import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { ConnectionResets, Instrumentation, Listener, MonotonicClock } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { RelayDialer, RelayServer, Upstream } from '@plumstage/serving'
import type { RelayServerOptions, RelayTarget, TunnelConnection } from '@plumstage/serving'

export const GATEWAY_HOST = '127.0.0.10'
export const OTHER_GATEWAY_HOST = '127.0.0.11'
export const PEER_HOST = '127.0.0.20'
const UPSTREAM_HOST = '127.0.0.30'

/** A gateway that opens tunnels. */
export interface RelayingPeer {
  server: RelayServer
  address: string
  listener: Listener
  events: ActionEvent[]
}

/** Everything that one test starts. */
export class RelayNetwork {
  /** Addresses from which peers open tunnels. */
  readonly gatewayHosts = new Set([GATEWAY_HOST, OTHER_GATEWAY_HOST])
  readonly clock = MonotonicClock.create()
  readonly targets = new Map<string, RelayTarget>()
  private readonly _listeners: Listener[] = []
  private readonly _sockets: { destroy (): unknown }[] = []

  static create (): RelayNetwork {
    return new RelayNetwork()
  }

  async startPeer (overrides: Partial<RelayServerOptions> = {}): Promise<RelayingPeer> {
    const instrumentation = Instrumentation.create('peer', 'run', this.clock)
    const events: ActionEvent[] = []
    instrumentation.addListener(event => events.push(event))
    const server = RelayServer.create({
      findUpstream: id => this.targets.get(id) ?? { kind: 'unlisted' },
      isGateway: host => this.gatewayHosts.has(host),
      acceptsTunnels: () => 'accepted',
      clock: this.clock,
      instrumentation,
      ...overrides
    })
    const httpServer = createHttpServer()
    server.attach(httpServer)
    const listener = await this.listen(httpServer, `${PEER_HOST}:0`)
    return { server, address: listener.address, listener, events }
  }

  async listen (server: Server, address: string): Promise<Listener> {
    const listener = await Listener.create(server, address)
    this._listeners.push(listener)
    return listener
  }

  /** Starts an upstream that passes each connection to `onConnection`. */
  async startUpstream (id: string, onConnection: (socket: Socket) => void): Promise<Listener> {
    const server = createServer({ allowHalfOpen: true }, socket => {
      socket.on('error', () => {})
      onConnection(socket)
    })
    return await this._listUpstream(id, server)
  }

  async startHttpUpstream (id: string, listener: RequestListener): Promise<Listener> {
    return await this._listUpstream(id, createHttpServer(listener))
  }

  /** The upstream with an id as the gateway knows it. */
  upstreamOf (id: string): Upstream {
    const target = this.targets.get(id)
    const address = target?.kind === 'listed' ? target.address : `${UPSTREAM_HOST}:9`
    return Upstream.create({ id, incarnation: '1', service: 'model', address, failureDomain: 'north', capacity: 8, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }, this.clock.now())
  }

  dialer (localHost = GATEWAY_HOST): RelayDialer {
    return RelayDialer.create({ localHost, clock: this.clock, connectionResets: ConnectionResets.create(this.clock) })
  }

  /** Opens a tunnel that the peer must accept. */
  async open (peerAddress: string, upstreamId: string, localHost = GATEWAY_HOST): Promise<TunnelConnection> {
    const connection = (await this.dialer(localHost).open(peerAddress, upstreamId))._unsafeUnwrap()
    connection.on('error', () => {})
    this._sockets.push(connection)
    return connection
  }

  async close (): Promise<void> {
    for (const socket of this._sockets) socket.destroy()
    await Promise.all(this._listeners.map(async listener => await listener.destroy()))
  }

  private async _listUpstream (id: string, server: Server): Promise<Listener> {
    const listener = await this.listen(server, `${UPSTREAM_HOST}:0`)
    this.targets.set(id, { kind: 'listed', address: listener.address })
    return listener
  }
}
