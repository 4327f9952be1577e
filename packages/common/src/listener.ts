/**
 * Listening sockets of HTTP servers.
 *
 * @module
 */
import type { Server as HttpServer } from 'node:http'
import type { AddressInfo, Server, Socket } from 'node:net'
import { PlumstageError } from './errors.js'
import { splitAddress } from './networkAddress.js'

/** An address can't be listened on. */
export const ListenError = PlumstageError.subclass('ListenError', { props: { code: 'listen_failed' } })

/** A server that listens, with the sockets it has open. */
export class Listener {
  /** IP number and port that callers reach. */
  readonly address: string
  private readonly _server: Server
  private readonly _sockets: Set<Socket>

  private constructor (server: Server, sockets: Set<Socket>) {
    const bound = server.address() as AddressInfo
    this.address = bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
    this._server = server
    this._sockets = sockets
  }

  /** Listens on an IP number and port; port 0 takes a free one. */
  static async create (server: Server, address: string): Promise<Listener> {
    const sockets = new Set<Socket>()
    server.on('connection', (socket: Socket) => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    })
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause => reject(new ListenError(`The address ${address} can't be listened on. Choose a free port of this instance.`, { cause })))
      server.listen(port, host, resolve)
    })
    return new Listener(server, sockets)
  }

  /** Takes no new connections, closes idle ones, and resolves when the last call on the others has ended. */
  async closeGracefully (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    const server = this._server as Partial<HttpServer>
    server.closeIdleConnections?.()
    await closed
  }

  /** Cuts every connection. */
  async destroy (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }
}
