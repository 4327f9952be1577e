/**
 * Stand-in for the platform's metadata store: items with revisions, watches, transactions and leases that expire.
 *
 * @module
 */
import { createServer } from 'node:http'

const LEASE_CHECK_MILLISECONDS = 20

/** A running store. */
export class Store {
  constructor () {
    /** Value of the header `Store-Era`. */
    this.era = 1
    /** Called with each request before it is carried out; returns true when the request gets no answer and has no effect. */
    this.isSilent = () => false
    this._items = new Map()
    this._history = []
    this._leases = new Map()
    this._revision = 10
    this._nextLease = 1000
    this._watches = new Set()
    this._server = createServer((request, response) => this._receive(request, response))
    this._timer = setInterval(() => this._expireLeases(), LEASE_CHECK_MILLISECONDS)
  }

  async start (host, port) {
    await new Promise(resolve => this._server.listen(port, host, resolve))
    this.address = `${host}:${this._server.address().port}`
  }

  stop () {
    clearInterval(this._timer)
    this._server.closeAllConnections()
    this._server.close()
  }

  get revision () {
    return this._revision
  }

  keys (prefix) {
    return [...this._items.keys()].filter(key => key.startsWith(prefix))
  }

  valueOf (key) {
    const item = this._items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  /** Writes an item as the operator or a worker does; `value` is encoded as JSON. */
  write (key, value) {
    this._put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
    this._wake()
  }

  remove (key) {
    this._delete(key)
    this._wake()
  }

  closeConnections () {
    this._server.closeAllConnections()
  }

  _put (key, value, lease) {
    const revision = ++this._revision
    const item = { key, value, revision, created: this._items.get(key)?.created ?? revision, lease }
    this._items.set(key, item)
    this._history.push(item)
  }

  _delete (key) {
    if (this._items.delete(key)) this._history.push({ key, revision: ++this._revision, deleted: true })
  }

  _wake () {
    for (const check of [...this._watches]) check()
  }

  _expireLeases () {
    const now = performance.now()
    for (const [lease, endsAt] of [...this._leases]) if (endsAt <= now) this._endLease(lease)
  }

  _endLease (lease) {
    this._leases.delete(lease)
    for (const item of [...this._items.values()]) if (item.lease === lease) this._delete(item.key)
    this._wake()
  }

  _receive (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      if (this.isSilent(request, url)) return
      const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
      this._answer(request.method, url, body, response)
    })
  }

  _answer (method, url, body, response) {
    const { pathname, searchParams } = url
    if (pathname === '/v1/kv-key') return this._sendItem(searchParams.get('key'), response)
    if (pathname === '/v1/kv-range') return this._sendRange(searchParams, response)
    if (pathname === '/v1/kv-watch') return this._watch(searchParams, response)
    if (pathname === '/v1/kv-txn') return this._transact(body, response)
    if (pathname === '/v1/kv-lease') return this._grantLease(body, response)
    const id = Number(pathname.split('/').at(-1))
    if (pathname.startsWith('/v1/kv-keep/')) return this._renewLease(id, response)
    if (pathname.startsWith('/v1/kv-lease-end/') && method === 'DELETE') this._endLease(id)
    this._send(response, 200, {})
  }

  _sendItem (key, response) {
    const item = this._items.get(key)
    if (!item) return this._send(response, 404, { current_rev: this._revision })
    this._send(response, 200, { ...item, current_rev: this._revision })
  }

  _sendRange (parameters, response) {
    const prefix = parameters.get('prefix') ?? ''
    const after = parameters.get('after') ?? ''
    const items = [...this._items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    this._send(response, 200, { items, more_pages: false, current_rev: this._revision })
  }

  _watch (parameters, response) {
    const prefix = parameters.get('prefix') ?? ''
    const after = Number(parameters.get('after'))
    if (after > this._revision) return this._send(response, 410, {})
    const finish = events => {
      clearTimeout(timer)
      this._watches.delete(check)
      this._send(response, 200, { events, current_rev: this._revision })
    }
    const check = () => {
      const events = this._history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      if (events.length > 0) finish(events)
    }
    const timer = setTimeout(() => finish([]), Number(parameters.get('wait_ms')))
    this._watches.add(check)
    response.once('close', () => {
      clearTimeout(timer)
      this._watches.delete(check)
    })
    check()
  }

  _transact ({ expected_rev: expected = [], puts = [], remove = [] }, response) {
    const isMet = expected.every(({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return this._send(response, 412, { items: expected.map(({ key }) => this._items.get(key)).filter(item => item !== undefined), current_rev: this._revision })
    if (puts.some(({ lease }) => lease && !this._leases.has(lease))) return this._send(response, 404, {})
    for (const { key, value, lease } of puts) this._put(key, value, lease ?? 0)
    for (const key of remove) this._delete(key)
    this._send(response, 200, { revision: this._revision })
    this._wake()
  }

  _grantLease ({ ttl_ms: milliseconds }, response) {
    const lease = this._nextLease++
    this._leases.set(lease, performance.now() + milliseconds)
    this._milliseconds ??= new Map()
    this._milliseconds.set(lease, milliseconds)
    this._send(response, 200, { lease, ttl_ms: milliseconds })
  }

  _renewLease (lease, response) {
    if (!this._leases.has(lease)) return this._send(response, 404, {})
    const milliseconds = this._milliseconds.get(lease)
    this._leases.set(lease, performance.now() + milliseconds)
    this._send(response, 200, { ttl_ms: milliseconds })
  }

  _send (response, status, document) {
    if (response.destroyed || response.writableEnded) return
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) })
    response.end(JSON.stringify(document))
  }
}
