/**
 * The connections of callers, and the responses on them that are not completely written.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Server, Socket } from 'node:net'

/** One connection of a caller. */
export class CallerConnection {
  private _openResponses = 0

  static create (): CallerConnection {
    return new CallerConnection()
  }

  /** Number of requests that were read and whose responses are not completely written. */
  get openResponses (): number {
    return this._openResponses
  }

  /** Counts a response as open until it is written or its connection is closed. */
  open (response: ServerResponse): void {
    this._openResponses++
    response.once('close', () => { this._openResponses-- })
  }
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly _connections = new Map<Socket, CallerConnection>()

  private constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this._connections.set(socket, CallerConnection.create())
      socket.once('close', () => this._connections.delete(socket))
    })
  }

  static create (server: Server): CallerConnections {
    return new CallerConnections(server)
  }

  /** Number of requests that were read and whose responses are not completely written. */
  get openResponses (): number {
    return [...this._connections.values()].reduce((sum, { openResponses }) => sum + openResponses, 0)
  }

  /** Begins a response; returns its connection. */
  open (response: ServerResponse): CallerConnection {
    const { socket } = response.req
    const connection = this._connections.get(socket) ?? CallerConnection.create()
    connection.open(response)
    return connection
  }
}
