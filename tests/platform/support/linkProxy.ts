/**
 * A proxy for the connections of one gateway to one upstream, whose link can be cut in several ways.
 *
 * @module
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { ProxiedConnection } from './proxiedConnection.js'

/**
 * What becomes of connections. `open`: all are passed on. `silent`: none ends and new ones are accepted, but nothing is
 * passed on until the mode changes. `reset`: all are reset and new ones refused. `established-only`: those that are open
 * live on and new ones are refused.
 */
export type LinkMode = 'open' | 'silent' | 'reset' | 'established-only'

/** A running proxy. */
export class LinkProxy {
  private readonly _host: string
  private readonly _upstreamAddress: string
  private readonly _connections = new Set<ProxiedConnection>()
  private _server: Server | undefined
  private _port: number
  private _mode: LinkMode = 'open'

  private constructor (host: string, upstreamAddress: string, port: number) {
    this._host = host
    this._upstreamAddress = upstreamAddress
    this._port = port
  }

  /**
   * Listens at a loopback address from which the system makes no connections, so that its port can be opened again. Any
   * port is taken unless one is named.
   */
  static async create (host: string, upstreamAddress: string, port = 0): Promise<LinkProxy> {
    const proxy = new LinkProxy(host, upstreamAddress, port)
    await proxy._listen()
    return proxy
  }

  get port (): number {
    return this._port
  }

  /** The upstream's address for the gateway. */
  get address (): string {
    return `${this._host}:${this._port}`
  }

  /** Resolves when the port is open or closed as the mode demands. */
  async setMode (mode: LinkMode): Promise<void> {
    this._mode = mode
    if (mode === 'reset') this._resetConnections()
    else for (const connection of this._connections) connection.setSilent(mode === 'silent')
    if (mode === 'open' || mode === 'silent') await this._listen()
    else this._refuse()
  }

  stop (): void {
    this._refuse()
    this._resetConnections()
  }

  private async _listen (): Promise<void> {
    if (this._server) return
    const server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this._accept(socket))
    this._server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this._port, this._host, resolve)
    })
    this._port = (server.address() as AddressInfo).port
  }

  private _refuse (): void {
    this._server?.close()
    this._server = undefined
  }

  private _accept (socket: Socket): void {
    const connection = ProxiedConnection.create(socket, this._upstreamAddress, this._mode === 'silent', closed => this._connections.delete(closed))
    this._connections.add(connection)
  }

  private _resetConnections (): void {
    for (const connection of this._connections) connection.reset()
  }
}
