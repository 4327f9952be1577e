/**
 * Stand-in for a worker, after PROTOCOL.md. A case decides what becomes of each request; the worker checks the instance that
 * is expected, keeps connections open, serves one request at a time on each, and drops a request whose connection closes.
 */
import { createServer } from 'node:net'

export class Worker {
  /** `run` gets `{ method, target, headers, body, id, socket, answer, refuse }` and the worker. */
  constructor (id, run) {
    this.id = id
    this.run = run
    this.sockets = new Set()
    this.born = Date.now()
  }

  async listen (port = 0) {
    this.server = createServer({ noDelay: true }, socket => this.accept(socket))
    await new Promise((resolve, reject) => { this.server.once('error', reject); this.server.listen(port, '127.0.0.1', resolve) })
    this.port = this.server.address().port
    this.address = `127.0.0.1:${this.port}`
    return this
  }

  /** The entry in the store. */
  entry (service, fields = {}) {
    return JSON.stringify({ service, address: this.address, zone: 'zona-4', version: 'v1', capacity: 64, state: 'ready', warmup_left_ms: 0, seq: 1, born: this.born, ...fields })
  }

  close () {
    for (const socket of this.sockets) socket.destroy()
    this.server?.close()
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    let received = Buffer.alloc(0)
    let busy = false
    const next = () => {
      if (busy) return
      const parsed = parseRequest(received)
      if (!parsed) return
      received = received.subarray(parsed.length)
      busy = true
      const done = () => { busy = false; setImmediate(next) }
      this.receive(parsed.request, socket, done)
    }
    socket.on('data', chunk => { received = Buffer.concat([received, chunk]); next() })
  }

  receive (request, socket, done) {
    const send = (status, extra, body) => {
      if (!socket.destroyed) socket.write(`HTTP/1.1 ${status}\r\nPlumstage-Attempt-Id: ${request.id}\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
      done()
    }
    const notExecuted = 'Plumstage-Not-Executed: 1\r\n'
    if (request.method === 'GET' && request.target === '/health') return send('200 OK', `Plumstage-Instance-Id: ${this.id}\r\n`, '')
    if (request.id === '') return send('400 Bad Request', notExecuted, '')
    const expected = request.headers.get('plumstage-expect-instance')
    if (expected !== undefined && expected !== this.id) return send('421 Misdirected Request', `Plumstage-Instance-Id: ${this.id}\r\n`, '')
    const stamp = `Plumstage-Server-Stamp: ${this.id}.${request.id}\r\n`
    this.run({ ...request, socket, stamp, done, answer: (body, extra = '', status = '200 OK') => send(status, stamp + extra, body), refuse: (extra = '') => send('503 Service Unavailable', notExecuted + extra, '') }, this)
  }
}

function parseRequest (bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const bodyLength = Number(headers.get('content-length') ?? 0)
  const length = headEnd + 4 + bodyLength
  if (bytes.length < length) return undefined
  const [method, target] = first.split(' ')
  return { length, request: { method, target, headers, body: bytes.subarray(headEnd + 4, length), id: headers.get('plumstage-attempt-id') ?? '' } }
}
