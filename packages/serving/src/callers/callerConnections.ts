/**
 * The connections of callers, and the responses on them that are not completely written. A caller may send requests without waiting
 * for responses; only some of them are processed at a time, and no more are read meanwhile.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Server, Socket } from 'node:net'

/** Requests of one connection that are processed at the same time; those behind them wait. */
const MAXIMUM_PROCESSED = 64
/** Requests of all connections that may wait. What is read at once of one connection holds some hundred. */
const MAXIMUM_WAITING = 4000

/** One connection of a caller. */
export class CallerConnection {
  private readonly _socket: Socket
  private readonly _onWaitingChanged: (change: number) => void
  private _openResponses = 0
  private _processed = 0
  /** Starts the requests that were read and wait for their turn. */
  private readonly _waiting: Array<() => void> = []
  private _last: ServerResponse | undefined
  private _isClosing = false
  /** Bytes that were read when the last response was written; what is read later begins a request. */
  private _bytesReadBefore = 0

  private constructor (socket: Socket, onWaitingChanged: (change: number) => void) {
    this._socket = socket
    this._onWaitingChanged = onWaitingChanged
    // Node resumes reading for each request that it has read; nothing more is wanted while others wait.
    socket.on('resume', () => { if (this._waiting.length > 0) socket.pause() })
    socket.once('close', () => this._forgetWaiting())
  }

  /** `onWaitingChanged` is told how many more requests wait. */
  static create (socket: Socket, onWaitingChanged: (change: number) => void = () => {}): CallerConnection {
    return new CallerConnection(socket, onWaitingChanged)
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

  /** Starts to process the request of an open response, now or when earlier ones of the connection are answered. */
  process (response: ServerResponse, start: () => void): void {
    const begin = (): void => {
      this._processed++
      response.once('close', () => this._endProcessing())
      start()
    }
    if (this._processed < MAXIMUM_PROCESSED) return begin()
    this._waiting.push(begin)
    this._socket.pause()
    this._onWaitingChanged(1)
  }

  /** Whether requests of the connection wait for earlier ones. */
  get hasWaiting (): boolean {
    return this._waiting.length > 0
  }

  /** Closes the connection at once. */
  destroy (): void {
    this._socket.destroy()
  }

  private _endProcessing (): void {
    this._processed--
    if (this._socket.destroyed) return this._forgetWaiting()
    const begin = this._waiting.shift()
    if (!begin) return
    this._onWaitingChanged(-1)
    if (this._waiting.length === 0) this._socket.resume()
    begin()
  }

  private _forgetWaiting (): void {
    this._onWaitingChanged(-this._waiting.length)
    this._waiting.length = 0
  }

  /** Closes the connection if all its responses are written and no part of another request was read. */
  closeIfIdle (): void {
    if (this._openResponses === 0 && this._socket.bytesRead === this._bytesReadBefore) this._socket.destroy()
  }
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly _connections = new Map<Socket, CallerConnection>()
  private _waiting = 0

  private constructor (server: Server) {
    server.on('connection', (socket: Socket) => {
      this._connections.set(socket, CallerConnection.create(socket, change => { this._waiting += change }))
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

  /** Whether more requests wait behind others of their connections than there is memory for. */
  get isOverfull (): boolean {
    return this._waiting > MAXIMUM_WAITING
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
