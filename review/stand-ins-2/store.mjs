/**
 * Stand-in for the platform's metadata store, after PROTOCOL.md: items with revisions, pages, watches, transactions, and
 * leases that run out. It answers soundly; faults are the business of the case that uses it.
 */
import { createServer } from 'node:http'

const PAGE_SIZE = 500
const PAGE_BYTES = 1024 * 1024
const HISTORY_MILLISECONDS = 20_000

export class Store {
  constructor () {
    this.items = new Map()
    this.history = []
    this.recordedAt = []
    this.revision = 100
    this.leases = new Map()
    this.nextLease = 1
    this.watches = new Set()
    this.servers = []
    /** Called with method and path of each call; returns 'serve', 'busy' (503), 'silent' or 'reset'. */
    this.admit = () => 'serve'
    /** Value of the header Store-Era; undefined: the header is not sent. */
    this.era = undefined
    this.expiry = setInterval(() => this.expireLeases(), 20)
  }

  /** Opens an address of the store; returns it as IP:PORT. `name` is passed to `admit`. */
  async listen (name = 'store') {
    const server = createServer((request, response) => { this.serve(request, response, name).catch(() => response.destroy()) })
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    this.servers.push(server)
    return `127.0.0.1:${server.address().port}`
  }

  close () {
    clearInterval(this.expiry)
    for (const server of this.servers) { server.closeAllConnections(); server.close() }
  }

  valueOf (key) {
    const item = this.items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  put (key, value, lease = 0) {
    const revision = ++this.revision
    const item = { key, value: Buffer.from(value).toString('base64'), revision, created: this.items.get(key)?.created ?? revision, lease }
    this.items.set(key, item)
    this.record(item)
    return revision
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.record({ key, revision: ++this.revision, deleted: true })
  }

  record (change) {
    this.history.push(change)
    this.recordedAt.push(performance.now())
    while (this.recordedAt[0] < performance.now() - HISTORY_MILLISECONDS && this.history.length > 1) {
      this.history.shift()
      this.recordedAt.shift()
    }
    for (const wake of [...this.watches]) wake()
  }

  expireLeases () {
    const now = performance.now()
    for (const [lease, { endsAt }] of this.leases) if (endsAt <= now) this.endLease(lease)
  }

  endLease (lease) {
    this.leases.delete(lease)
    for (const item of [...this.items.values()]) if (item.lease === lease) this.remove(item.key)
  }

  async serve (request, response, name) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const admission = this.admit(name, request.method, url.pathname)
    if (admission === 'silent') return
    if (admission === 'reset') return request.socket.resetAndDestroy()
    if (this.era !== undefined) response.setHeader('store-era', String(this.era))
    if (admission === 'busy') return this.answer(response, 503, {})
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
    this.route(request.method, url, body, response)
  }

  route (method, url, body, response) {
    const path = url.pathname
    const query = url.searchParams
    if (path === '/v1/kv-key') return this.answerKey(query.get('key'), response)
    if (path === '/v1/kv-range') return this.answerRange(query.get('prefix') ?? '', query.get('after') ?? '', response)
    if (path === '/v1/kv-watch') return this.answerWatch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')), response)
    if (path === '/v1/kv-txn') return this.answerTransaction(body, response)
    if (path === '/v1/kv-lease') return this.grant(body.ttl_ms, response)
    const lease = Number(path.split('/').at(-1))
    if (path.startsWith('/v1/kv-keep/')) return this.renew(lease, response)
    if (path.startsWith('/v1/kv-lease-end/')) {
      this.endLease(lease)
      return this.answer(response, 200, {})
    }
    this.answer(response, 404, {})
  }

  answer (response, status, document) {
    if (response.destroyed || response.writableEnded) return
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(document))
  }

  answerKey (key, response) {
    const item = this.items.get(key)
    this.answer(response, item ? 200 : 404, { ...item, current_rev: this.revision })
  }

  answerRange (prefix, after, response) {
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    let bytes = 0
    const page = items.slice(0, PAGE_SIZE).filter((item, index) => (bytes += item.value.length) <= PAGE_BYTES || index === 0)
    this.answer(response, 200, { items: page, more_pages: items.length > page.length, current_rev: this.revision })
  }

  answerWatch (prefix, after, waitMilliseconds, response) {
    if (after > this.revision || (this.history.length > 0 && after < this.history[0].revision - 1)) return this.answer(response, 410, {})
    const finish = () => {
      const events = this.history.filter(change => change.revision > after && change.key.startsWith(prefix))
      if (events.length === 0 && performance.now() < endsAt) return
      clearTimeout(timer)
      this.watches.delete(finish)
      this.answer(response, 200, { events, current_rev: this.revision })
    }
    const endsAt = performance.now() + waitMilliseconds
    const timer = setTimeout(finish, waitMilliseconds + 5)
    this.watches.add(finish)
    response.once('close', () => { clearTimeout(timer); this.watches.delete(finish) })
    finish()
  }

  answerTransaction ({ expected_rev: expected = [], puts = [], remove = [] }, response) {
    const holds = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!holds) return this.answer(response, 412, { items: expected.map(({ key }) => this.items.get(key)).filter(Boolean), current_rev: this.revision })
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) return this.answer(response, 404, {})
    for (const { key, value, lease } of puts) this.put(key, Buffer.from(value, 'base64'), lease)
    for (const key of remove) this.remove(key)
    this.answer(response, 200, { revision: this.revision })
  }

  grant (ttl, response) {
    const lease = this.nextLease++
    this.leases.set(lease, { ttl, endsAt: performance.now() + ttl })
    this.answer(response, 200, { lease, ttl_ms: ttl })
  }

  renew (lease, response) {
    const known = this.leases.get(lease)
    if (!known) return this.answer(response, 404, {})
    known.endsAt = performance.now() + known.ttl
    this.answer(response, 200, { ttl_ms: known.ttl })
  }
}
