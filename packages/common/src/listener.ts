/**
 * Listening sockets of HTTP servers.
 *
 * @module
 */
import type { Server as HttpServer } from 'node:http'
import type { AddressInfo, Server, Socket } from 'node:net'
import { PlumstageError } from './errors.js'
import { splitAddress } from './networkAddress.js'

/** Listening on an address failed. */
export const ListenError = PlumstageError.subclass('ListenError', { props: { code: 'listen_failed' } })

/** A listening server and its open sockets. */
export class Listener {
  /** IP address and port that the server is bound to. */
  readonly address: string
  private readonly _server: Server
  private readonly _sockets: Set<Socket>

  private constructor (server: Server, sockets: Set<Socket>) {
    const bound = server.address() as AddressInfo
    this.address = bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
    this._server = server
    this._sockets = sockets
  }

  /** Listens on an IP address and port; port 0 selects a free one. */
  static async create (server: Server, address: string): Promise<Listener> {
    const sockets = new Set<Socket>()
    server.on('connection', (socket: Socket) => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    })
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause => reject(new ListenError(`Can't listen on the address ${address}. Choose an address of this instance and a free port.`, { cause })))
      server.listen(port, host, resolve)
    })
    return new Listener(server, sockets)
  }

  /** Stops accepting connections, closes idle ones, and resolves when the last request on the remaining ones has ended. */
  async closeGracefully (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    const server = this._server as Partial<HttpServer>
    server.closeIdleConnections?.()
    await closed
  }

  /** Closes the server and destroys all connections. */
  async destroy (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }
}
