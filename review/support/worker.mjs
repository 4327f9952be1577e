/**
 * Stand-in for a worker. It reads requests from plain connections, one at a time on each, and works on as many as it has
 * slots. A script writes each answer, so that an answer can be cut off, repeated or left without a length.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:net'

const HEAD_END = '\r\n\r\n'
const HEARTBEAT_MILLISECONDS = 1200

/** A running worker. */
export class Worker {
  /**
   * `serve(request, worker)` works on a request and answers it with `request.write` and `request.finish`;
   * `record(kind, fields)` records what happens.
   */
  constructor ({ service, zone = 'zona-4', version = 'v1', slots = 6, queue = 24, store, serve, record }) {
    this.service = service
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.stamp = `stamp-${this.id}`
    this.state = 'ready'
    this._options = { service, zone, version, slots, queue, store, serve, record }
    this._active = 0
    this._waiting = []
    this._sequence = 0
    this._sockets = new Set()
    this._server = createServer({ allowHalfOpen: false }, socket => this._accept(socket))
  }

  async start (host) {
    await new Promise(resolve => this._server.listen(0, host, resolve))
    this.address = `${host}:${this._server.address().port}`
    this._heartbeat()
    this._timer = setInterval(() => this._heartbeat(), HEARTBEAT_MILLISECONDS)
  }

  stop () {
    clearInterval(this._timer)
    for (const socket of this._sockets) socket.destroy()
    this._server.close()
  }

  /** Reports that the worker is leaving. It finishes what it was sent, says so in each answer, and closes each connection after it. */
  leave () {
    this.state = 'draining'
    this._heartbeat()
  }

  /** Whether no request is running or waiting. */
  get isIdle () {
    return this._active === 0 && this._waiting.length === 0
  }

  _heartbeat () {
    const { service, zone, version, slots, store } = this._options
    store.write(`servers/${this.id}`, { service, address: this.address, zone, version, capacity: slots, state: this.state, warmup_left_ms: 0, seq: ++this._sequence })
  }

  _accept (socket) {
    this._sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this._sockets.delete(socket))
    let received = Buffer.alloc(0)
    let isBusy = false
    const next = () => {
      if (isBusy) return
      const parsed = parseRequest(received)
      if (!parsed) return
      received = received.subarray(parsed.length)
      isBusy = true
      this._receive({
        ...parsed,
        socket,
        write: text => { if (!socket.destroyed) socket.write(text) },
        finish: () => {
          isBusy = false
          next()
        }
      })
    }
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk])
      next()
    })
  }

  _receive (request) {
    const { slots, queue, record } = this._options
    if (request.target === '/health') return this._answerHealth(request)
    const { attempt } = request
    if (request.headers.get('plumstage-expect-instance') !== this.id) {
      request.write(`HTTP/1.1 421 Misdirected Request\r\nPlumstage-Attempt-Id: ${attempt}\r\nPlumstage-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`)
      return request.finish()
    }
    if (this._active < slots) return this._run(request)
    if (this._waiting.length < queue) {
      this._waiting.push(request)
      return
    }
    record('shed', { attempt, worker: this.id })
    this.shed(request)
  }

  /** Rejects a request that the worker has no place for; it has not run. */
  shed (request) {
    request.write(`HTTP/1.1 503 Service Unavailable\r\nPlumstage-Attempt-Id: ${request.attempt}\r\nPlumstage-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`)
    request.finish()
  }

  /** Returns the beginning of the head of an answer, with the worker's stamp. */
  headOf (request, status = '200 OK') {
    const leaving = this.state === 'draining' ? 'Connection: close\r\nServer-Leaving: 1\r\n' : ''
    return `HTTP/1.1 ${status}\r\nPlumstage-Attempt-Id: ${request.attempt}\r\nPlumstage-Server-Stamp: ${this.stamp}\r\n${leaving}`
  }

  _run (request) {
    const { serve, record } = this._options
    if (request.socket.destroyed) return this._startNext()
    this._active++
    record('run', { attempt: request.attempt, worker: this.id, method: request.method, target: request.target })
    let hasEnded = false
    const end = () => {
      if (hasEnded) return
      hasEnded = true
      this._active--
      this._startNext()
    }
    request.socket.once('close', end)
    const { finish } = request
    serve({
      ...request,
      finish: () => {
        request.socket.off('close', end)
        end()
        finish()
      }
    }, this)
  }

  _startNext () {
    const request = this._waiting.shift()
    if (request) this._run(request)
  }

  _answerHealth (request) {
    request.write(`HTTP/1.1 200 OK\r\nPlumstage-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`)
    request.finish()
  }
}

function parseRequest (received) {
  const headEnd = received.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [first, ...lines] = received.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const length = headEnd + HEAD_END.length + Number(headers.get('content-length') ?? 0)
  if (received.length < length) return undefined
  const [method, target] = first.split(' ')
  return { method, target, headers, length, attempt: headers.get('plumstage-attempt-id') ?? '', body: received.subarray(headEnd + HEAD_END.length, length) }
}
