/** Callers on kept connections: each `Caller` has one connection, on which it sends one request at a time. */
import { connect } from 'node:net'
import { HOST, KEY } from './configuration.mjs'

export class Caller {
  constructor (ip, port) {
    this.ip = ip
    this.port = port
  }

  async open () {
    this.socket = connect({ host: this.ip, port: this.port, noDelay: true })
    this.isOpen = false
    this.received = Buffer.alloc(0)
    this.wake = () => {}
    this.socket.on('data', chunk => { this.received = Buffer.concat([this.received, chunk]); this.wake() })
    this.socket.on('error', error => { this.error = error.code })
    this.socket.on('close', () => { this.isOpen = false; this.wake() })
    await new Promise(resolve => { this.socket.once('connect', () => { this.isOpen = true; resolve() }); this.socket.once('close', resolve) })
  }

  close () {
    this.socket?.destroy()
  }

  /**
   * Sends a request; `payload` is written as it is, for bodies whose framing is in `headers`. Resolves to `{ status, headers, body, complete, end }`, where
   * `end` is 'answered', 'closed' or 'left'.
   */
  async send ({ id, method = 'GET', path, headers = {}, body, payload = body, deadline = 5000, patience = deadline }) {
    const fields = { Host: HOST, Authorization: `Bearer ${KEY}`, 'Plumstage-Attempt-Id': id, 'Plumstage-Deadline-Ms': String(deadline), ...(body === undefined ? {} : { 'Content-Length': String(body.length) }), ...headers }
    this.received = Buffer.alloc(0)
    const timer = setTimeout(() => { this.hasLeft = true; this.wake() }, patience)
    this.hasLeft = false
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
    if (payload !== undefined) this.socket.write(payload)
    for (;;) {
      const answer = parseAnswer(this.received)
      if (answer?.complete) {
        clearTimeout(timer)
        if (answer.headers.get('connection') === 'close') this.close()
        return { ...answer, end: 'answered' }
      }
      if (!this.isOpen || this.hasLeft) {
        clearTimeout(timer)
        this.close()
        return { status: 0, headers: new Map(), body: '', ...answer, complete: false, end: this.hasLeft ? 'left' : 'closed' }
      }
      await new Promise(resolve => { this.wake = resolve })
    }
  }
}

/** Parses an answer as far as it has arrived; undefined before its head is complete. */
function parseAnswer (bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(first.split(' ')[1])
  const rest = bytes.subarray(headEnd + 4)
  if (headers.get('transfer-encoding') !== 'chunked') {
    const length = Number(headers.get('content-length') ?? 0)
    return { status, headers, body: rest.subarray(0, length).toString('latin1'), complete: rest.length >= length }
  }
  let body = ''
  for (let start = 0; ;) {
    const lineEnd = rest.indexOf('\r\n', start)
    if (lineEnd < 0) return { status, headers, body, complete: false }
    const length = Number.parseInt(rest.subarray(start, lineEnd).toString('latin1'), 16)
    if (rest.length < lineEnd + 2 + length + 2) return { status, headers, body, complete: false }
    if (length === 0) return { status, headers, body, complete: true }
    body += rest.subarray(lineEnd + 2, lineEnd + 2 + length).toString('latin1')
    start = lineEnd + 2 + length + 2
  }
}
