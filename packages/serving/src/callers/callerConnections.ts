/**
 * The connections of callers, and the responses on them that are not completely written.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Server, Socket } from 'node:net'

/** One connection of a caller. */
export class CallerConnection {
  private readonly _socket: Socket
  private _openResponses = 0
  private _last: ServerResponse | undefined
  private _isClosing = false
  /** Bytes that were read when the last response was written; what is read later begins a request. */
  private _bytesReadBefore = 0

  private constructor (socket: Socket) {
    this._socket = socket
  }

  static create (socket: Socket): CallerConnection {
    return new CallerConnection(socket)
  }

  /** Number of requests that were read and whose responses are not completely written. */
  get openResponses (): number {
    return this._openResponses
  }

  /** Whether a response has announced that the connection closes after it; requests behind it are not processed. */
  get isClosing (): boolean {
    return this._isClosing
  }

  /** Whether `response` is that of the last request that was read, so that the connection can close after it. */
  isLast (response: ServerResponse): boolean {
    return response === this._last
  }

  /** Records that a response announces that the connection closes after it. */
  recordClosing (): void {
    this._isClosing = true
  }

  /** Counts a response as open until it is written or its connection is closed. */
  open (response: ServerResponse): void {
    this._openResponses++
    this._last = response
    response.once('close', () => {
      this._openResponses--
      if (this._last === response) this._last = undefined
      this._bytesReadBefore = this._socket.bytesRead
    })
  }

  /** Closes the connection if all its responses are written and no part of another request was read. */
  closeIfIdle (): void {
    if (this._openResponses === 0 && this._socket.bytesRead === this._bytesReadBefore) this._socket.destroy()
  }
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly _connections = new Map<Socket, CallerConnection>()

  private constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this._connections.set(socket, CallerConnection.create(socket))
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

  /** Returns the connection of a response. */
  connectionOf ({ req: { socket } }: ServerResponse): CallerConnection {
    return this._connections.get(socket) ?? CallerConnection.create(socket)
  }

  /** Closes the connections whose responses are all written and that bring no request. */
  closeIdle (): void {
    for (const connection of this._connections.values()) connection.closeIfIdle()
  }
}
