/**
 * A server that answers each request with the same bytes and then ends its connection.
 *
 * @module
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

const REQUEST_HEAD_END = '\r\n\r\n'

/** How the server ends a connection behind the last byte. */
export type RawEnding = 'closed' | 'reset'

/** A running server. */
export class RawServer {
  text = ''
  ending: RawEnding = 'closed'
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  private constructor () {
    this._server = createServer(socket => this._serve(socket))
  }

  static async create (): Promise<RawServer> {
    const server = new RawServer()
    await new Promise<void>(resolve => server._server.listen(0, '127.0.0.1', resolve))
    return server
  }

  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  async stop (): Promise<void> {
    for (const socket of this._sockets) socket.destroy()
    await new Promise<void>(resolve => this._server.close(() => resolve()))
  }

  private _serve (socket: Socket): void {
    this._sockets.add(socket)
    socket.on('close', () => this._sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    let received = ''
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      if (isWholeRequest(received)) this._respond(socket)
    })
  }

  private _respond (socket: Socket): void {
    if (this.ending === 'closed') return void socket.end(this.text)
    socket.write(this.text, () => socket.resetAndDestroy())
  }
}

function isWholeRequest (received: string): boolean {
  const headEnd = received.indexOf(REQUEST_HEAD_END)
  if (headEnd < 0) return false
  const [, length] = /content-length: (\d+)/i.exec(received.slice(0, headEnd)) ?? []
  return received.length >= headEnd + REQUEST_HEAD_END.length + Number(length ?? 0)
}
