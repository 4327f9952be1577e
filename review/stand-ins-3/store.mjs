/** Stand-in for the platform's store: keys with revisions, long polls, transactions, and leases that expire. */
import { createServer } from 'node:http'

const ERA = '1'
const PAGE_ITEMS = 500

export class Store {
  revision = 10
  era = ERA
  items = new Map()
  history = []
  leases = new Map()
  nextLease = 1
  waiting = new Set()
  /** Called with each call that writes: (name of the call, document, status). */
  onWrite = () => {}

  static async create () {
    const store = new Store()
    store.server = createServer((request, response) => store.serve(request, response))
    await new Promise(resolve => store.server.listen(0, '127.0.0.1', resolve))
    store.timer = setInterval(() => store.expire(), 20)
    return store
  }

  get address () { return `127.0.0.1:${this.server.address().port}` }

  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  put (key, value, lease = 0) {
    const revision = ++this.revision
    const known = this.items.get(key)
    const item = { key, value: Buffer.from(value).toString('base64'), revision, created: known?.created ?? revision, lease }
    this.items.set(key, item)
    this.history.push(item)
    this.wake()
    return revision
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.history.push({ key, revision: ++this.revision, deleted: true })
    this.wake()
  }

  expire () {
    const now = performance.now()
    for (const [id, lease] of this.leases) if (lease.endsAt <= now) this.endLease(id)
  }

  endLease (id) {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }

  wake () { for (const wake of [...this.waiting]) wake() }

  async serve (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch { return }
    const url = new URL(request.url, 'http://store')
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
    const answer = (status, document) => {
      if (response.writableEnded || response.destroyed) return
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': this.era })
      response.end(JSON.stringify(document))
    }
    this.expire()
    const { pathname: path } = url
    if (path === '/v1/kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item ? answer(200, item) : answer(404, {})
    }
    if (path === '/v1/kv-range') return this.range(url, answer)
    if (path === '/v1/kv-watch') return this.watch(url, response, answer)
    if (path === '/v1/kv-txn') return this.transact(body, answer)
    if (path === '/v1/kv-lease') {
      const lease = this.nextLease++
      this.leases.set(lease, { ttl: body.ttl_ms, endsAt: performance.now() + body.ttl_ms })
      return answer(200, { lease, ttl_ms: body.ttl_ms })
    }
    if (path.startsWith('/v1/kv-keep/')) {
      const lease = this.leases.get(Number(path.split('/').at(-1)))
      if (!lease) return answer(404, {})
      lease.endsAt = performance.now() + lease.ttl
      return answer(200, { ttl_ms: lease.ttl })
    }
    if (path.startsWith('/v1/kv-lease-end/')) {
      this.endLease(Number(path.split('/').at(-1)))
      return answer(200, {})
    }
    answer(404, {})
  }

  range (url, answer) {
    const prefix = url.searchParams.get('prefix') ?? ''
    const after = url.searchParams.get('after') ?? ''
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    answer(200, { items: found.slice(0, PAGE_ITEMS), more_pages: found.length > PAGE_ITEMS, current_rev: this.revision })
  }

  watch (url, response, answer) {
    const prefix = url.searchParams.get('prefix') ?? ''
    const after = Number(url.searchParams.get('after'))
    if (after > this.revision) return answer(410, {})
    const tell = () => {
      const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      if (events.length === 0) return false
      end()
      answer(200, { events, current_rev: this.revision })
      return true
    }
    const end = () => {
      clearTimeout(timer)
      this.waiting.delete(tell)
    }
    const timer = setTimeout(() => {
      end()
      answer(200, { events: [], current_rev: this.revision })
    }, Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0)))
    response.once('close', end)
    if (!tell()) this.waiting.add(tell)
  }

  transact ({ expected_rev: expected = [], puts = [], remove = [] }, answer) {
    if (!expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)) {
      return answer(412, { items: expected.map(({ key }) => this.items.get(key)).filter(Boolean) })
    }
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) return answer(404, {})
    for (const { key, value, lease } of puts) this.put(key, Buffer.from(value, 'base64'), lease ?? 0)
    for (const key of remove) this.remove(key)
    answer(200, { revision: this.revision })
  }
}
