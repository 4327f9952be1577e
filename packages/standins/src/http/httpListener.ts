/**
 * Listening sockets for HTTP servers.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from 'node:net'

/** Where a server listens. */
export interface ListenAddress {
  /** IP number. */
  host: string
  /** Port; 0 lets the system choose a free one. */
  port: number
}

/** A server that listens, with the sockets it has open. */
export class HttpListener {
  /** The address callers reach, for example `127.0.0.1:9000`. */
  readonly address: string
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  private constructor (server: Server) {
    const bound = server.address() as AddressInfo
    this.address = bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
    this._server = server
    server.on('connection', (socket: Socket) => {
      this._sockets.add(socket)
      socket.once('close', () => this._sockets.delete(socket))
    })
  }

  static async create (server: Server, listen: ListenAddress): Promise<HttpListener> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(listen.port, listen.host, () => { server.off('error', reject); resolve() })
    })
    return new HttpListener(server)
  }

  /** Stops listening and cuts every connection, as when the instance is taken away. */
  async destroy (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }
}
