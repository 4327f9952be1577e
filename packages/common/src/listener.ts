/**
 * Listening sockets of HTTP servers.
 *
 * @module
 */
import type { Server as HttpServer } from 'node:http'
import type { AddressInfo, Server, Socket } from 'node:net'
import { PlumstageError } from './errors.js'
import { splitAddress } from './networkAddress.js'

/** Listening on an address failed. `isTemporary` says whether it may succeed later without a change of the address. */
export const ListenError = PlumstageError.subclass('ListenError', { props: { code: 'listen_failed', isTemporary: false } })

/** Another process holds the port, the instance does not have the address yet, or the system has no room for a socket. */
const TEMPORARY_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])

/** Returns the error to raise when the system refuses to listen on an address. */
export function createListenError (address: string, cause: NodeJS.ErrnoException): Error {
  const props = { isTemporary: TEMPORARY_CODES.has(cause.code) }
  return new ListenError(`Can't listen on the address ${address}. Choose an address of this instance and a free port.`, { cause, props })
}

/** Whether it is worth trying again to listen. */
export function isTemporaryListenError (error: unknown): boolean {
  return error instanceof ListenError && error.isTemporary
}

/** Value with which Node's HTTP server passes on all fields of a head; bytes of heads are bounded by `maxHeaderSize`. */
const ALL_FIELDS = 0

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

  /**
   * Listens on an IP address and port; port 0 selects a free one. A server for HTTP passes on all fields of a head: by
   * default Node reads a body by all of them, but drops those beyond a number before anyone else sees them. Rejects with a
   * `ListenError`, after which it may be called again.
   */
  static async create (server: Server, address: string): Promise<Listener> {
    if ('maxHeadersCount' in server) server.maxHeadersCount = ALL_FIELDS
    const sockets = new Set<Socket>()
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause => {
        server.removeListener('listening', resolve)
        reject(createListenError(address, cause))
      })
      server.listen(port, host, resolve)
    })
    server.on('connection', (socket: Socket) => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
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
