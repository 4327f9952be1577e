/** Stand-in for a worker: registers itself in the store, and serves streams of events or short answers within its places. */
import { createServer } from 'node:http'
import { randomBytes } from 'node:crypto'

const HEARTBEAT_MILLISECONDS = 1200

export class Worker {
  active = 0
  sockets = new Set()
  isDown = false
  sequence = 0

  /** `kind` is 'stream' or 'plain'; a stream has `events` events, one each `eventMilliseconds`; prompts are read one after the other. */
  static async create (store, { service, zone, capacity, kind = 'stream', events = 20, eventMilliseconds = 200, prefillMilliseconds = 0, isSpot = false, poison, onRun = () => {}, onCrash = () => {} }) {
    const worker = Object.assign(new Worker(), { store, service, zone, capacity, kind, events, eventMilliseconds, prefillMilliseconds, isSpot, poison, onRun, onCrash })
    worker.id = `i-${randomBytes(5).toString('hex')}`
    worker.server = createServer((request, response) => worker.serve(request, response))
    worker.server.keepAliveTimeout = 30_000
    worker.server.on('connection', socket => {
      worker.sockets.add(socket)
      socket.once('close', () => worker.sockets.delete(socket))
    })
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve))
    worker.beat()
    worker.timer = setInterval(() => worker.beat(), HEARTBEAT_MILLISECONDS)
    return worker
  }

  get address () { return `127.0.0.1:${this.server.address().port}` }

  beat () {
    this.store.put(`servers/${this.id}`, JSON.stringify({ service: this.service, address: this.address, zone: this.zone, version: 'v1', capacity: this.capacity, state: 'ready', warmup_left_ms: 0, spot: this.isSpot, born: (this.born ??= Date.now()), seq: ++this.sequence }))
  }

  /** Waits until the prompt has been read, after those that came before. */
  async prefill () {
    const now = performance.now()
    this.prefilledAt = Math.max(now, this.prefilledAt ?? now) + this.prefillMilliseconds
    await sleep(this.prefilledAt - now)
  }

  /** Crashes: connections are reset, its port refuses others, and nothing more is said to the store, which removes the entry after three heartbeats. */
  crash () {
    if (this.isDown) return
    this.isDown = true
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.resetAndDestroy()
    this.server.close()
    setTimeout(() => this.store.remove(`servers/${this.id}`), 3 * HEARTBEAT_MILLISECONDS)
    this.onCrash()
  }

  stop () {
    this.isDown = true
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  async serve (request, response) {
    let bodyBytes = 0
    try {
      for await (const chunk of request) bodyBytes += chunk.length
    } catch { return }
    const id = request.headers['plumstage-attempt-id']
    if (request.url === '/health') return response.writeHead(200, { 'plumstage-instance-id': this.id }).end('ok')
    if (id === undefined) return response.writeHead(400, { 'plumstage-not-executed': '1' }).end()
    const expected = request.headers['plumstage-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'plumstage-instance-id': this.id }).end()
    if (this.poison !== undefined && request.url.startsWith(this.poison)) return this.crash()
    if (this.active >= this.capacity) return response.writeHead(503, { 'plumstage-attempt-id': id, 'plumstage-not-executed': '1' }).end()
    this.active++
    const run = { isOpen: true }
    response.once('close', () => { run.isOpen = false; this.active-- })
    this.onRun({ worker: this, request, bodyBytes })
    const head = { 'plumstage-attempt-id': id, 'plumstage-server-stamp': `${this.id}.${randomBytes(4).toString('hex')}` }
    if (this.kind === 'plain') {
      await sleep(this.eventMilliseconds)
      if (run.isOpen) response.writeHead(200, { ...head, 'content-length': 2 }).end('ok')
      return
    }
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    const first = Number(request.headers['last-event-id'] ?? 0) + 1
    for (let event = first; event <= this.events && run.isOpen; event++) {
      if (event === first) await this.prefill()
      else await sleep(this.eventMilliseconds)
      if (!run.isOpen) return
      response.write(`id: ${event}\ndata: token ${event}\n\n`)
    }
    response.end()
  }
}

async function sleep (milliseconds) { await new Promise(resolve => setTimeout(resolve, milliseconds)) }
