/**
 * Stand-in for an upstream of the users' platform. A script writes each response directly to the socket, so that it can
 * be cut off, sent twice or left without a length.
 *
 * @module
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { SilentConnections } from './silentConnections.js'

/** A request as the upstream received it. */
export interface ReceivedRequest {
  method: string
  target: string
  headers: Map<string, string>
  body: string
  requestId: string
  socket: Socket
}

/** Responds to one request. */
export type ResponseScript = (request: ReceivedRequest, upstream: UpstreamStandin) => void

const HEAD_END = '\r\n\r\n'
/** Requests for the upstream's health are answered by every upstream, and aren't among those that it records. */
const HEALTH_PATH = '/health'

/** A running upstream. */
export class UpstreamStandin {
  readonly id: string
  readonly requests: ReceivedRequest[] = []
  script: ResponseScript
  connectionCount = 0
  hasCrashed = false
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _connections = SilentConnections.create()
  private readonly _waiters = new Set<() => void>()

  private constructor (id: string, script: ResponseScript) {
    this.id = id
    this.script = script
    this._server = createServer(socket => this._serve(socket))
    this._connections.observe(this._server)
  }

  static async create (id: string, script: ResponseScript = respond('hello')): Promise<UpstreamStandin> {
    const upstream = new UpstreamStandin(id, script)
    await new Promise<void>(resolve => upstream._server.listen(0, '127.0.0.1', resolve))
    return upstream
  }

  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Resolves when the upstream has received `count` requests. */
  async waitForRequests (count: number): Promise<void> {
    while (this.requests.length < count) await new Promise<void>(resolve => this._waiters.add(resolve))
  }

  /**
   * Makes all open connections silent for good, without an end or a reset: nothing that arrives on them is received, and
   * nothing that is written to them leaves. New connections work.
   */
  silenceConnections (): void {
    this._connections.silence()
    for (const socket of this._sockets) socket.write = () => true
  }

  /** Number of open connections that are not silent. */
  get liveConnections (): number {
    return this._connections.liveCount
  }

  /** Closes the port and all connections, as when the process ends. */
  async crash (): Promise<void> {
    this.hasCrashed = true
    await this.stop()
  }

  async stop (): Promise<void> {
    for (const socket of this._sockets) socket.destroy()
    await new Promise<void>(resolve => this._server.close(() => resolve()))
  }

  private _serve (socket: Socket): void {
    this.connectionCount++
    this._sockets.add(socket)
    socket.on('close', () => this._sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    let received = ''
    socket.on('data', chunk => {
      if (this._connections.isSilent(socket)) return
      received += chunk.toString('latin1')
      for (let request = parseRequest(received, socket); request; request = parseRequest(received, socket)) {
        received = received.slice(request.length)
        this._receive(request.request)
      }
    })
  }

  private _receive (request: ReceivedRequest): void {
    if (request.method === 'GET' && request.target === HEALTH_PATH) return void request.socket.write(`HTTP/1.1 200 OK\r\nPlumstage-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`)
    this.requests.push(request)
    for (const wake of this._waiters) wake()
    this._waiters.clear()
    if (request.headers.get('plumstage-expect-instance') !== this.id) return void request.socket.write(`HTTP/1.1 421 Misdirected Request\r\nPlumstage-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`)
    this.script(request, this)
  }
}

/** Returns the beginning of a signed response head. */
export function formatResponseHead (request: ReceivedRequest, upstream: UpstreamStandin, status = '200 OK', extra = ''): string {
  return `HTTP/1.1 ${status}\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nPlumstage-Server-Stamp: signed-by-${upstream.id}\r\n${extra}`
}

/** Responds with a body of known length. `extra` holds further header lines. */
export function respond (body: string, status = '200 OK', extra = ''): ResponseScript {
  return (request, upstream) => request.socket.write(`${formatResponseHead(request, upstream, status, extra)}Content-Length: ${body.length}${HEAD_END}${body}`)
}

/** Refuses the request without executing it. */
export function refuse (): ResponseScript {
  return request => request.socket.write(`HTTP/1.1 503 Service Unavailable\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nPlumstage-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`)
}

/**
 * Streams events `first` to `last`, then ends the stream cleanly or resets the connection in the middle of the next event.
 * `extra` holds further header lines.
 */
export function streamEvents (first: number, last: number, ending: 'end' | 'reset', extra = ''): ResponseScript {
  return (request, upstream) => {
    const { socket } = request
    socket.write(`${formatResponseHead(request, upstream, '200 OK', extra)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked${HEAD_END}`)
    for (let id = first; id <= last; id++) socket.write(formatChunk(formatServerSentEvent(id)))
    if (ending === 'end') return void socket.write('0\r\n\r\n')
    socket.write(formatChunk('id: 99'), () => socket.resetAndDestroy())
  }
}

export function formatServerSentEvent (id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`
}

function formatChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function parseRequest (received: string, socket: Socket): { request: ReceivedRequest, length: number } | undefined {
  const headEnd = received.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [first, ...lines] = received.slice(0, headEnd).split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const length = headEnd + HEAD_END.length + Number(headers.get('content-length') ?? 0)
  if (received.length < length) return undefined
  const [method, target] = first.split(' ')
  return { length, request: { method, target, headers, body: received.slice(headEnd + HEAD_END.length, length), requestId: headers.get('plumstage-attempt-id') ?? '', socket } }
}
