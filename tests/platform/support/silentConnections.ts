/**
 * The open connections of a server, which can be made silent for good while new ones work.
 *
 * @module
 */
import type { Server, Socket } from 'node:net'

/** Knows which connections of one or more servers are open, and which of them are silent. */
export class SilentConnections {
  private readonly _open = new Set<Socket>()
  private readonly _silent = new WeakSet<Socket>()

  static create (): SilentConnections {
    return new SilentConnections()
  }

  /** Follows the connections of a server that are opened from now on. */
  observe (server: Server): void {
    server.on('connection', (socket: Socket) => {
      this._open.add(socket)
      socket.once('close', () => this._open.delete(socket))
    })
  }

  /** Makes all open connections silent: the server neither ends them nor is told what arrives; it asks `isSilent` before it answers. */
  silence (): void {
    for (const socket of this._open) {
      this._silent.add(socket)
      socket.setTimeout(0)
    }
  }

  isSilent (socket: Socket): boolean {
    return this._silent.has(socket)
  }

  /** Number of open connections that are not silent. */
  get liveCount (): number {
    return [...this._open].filter(socket => !this._silent.has(socket)).length
  }
}
