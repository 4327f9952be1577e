/**
 * Stand-in for the users' store: keys with revisions, watches, transactions and leases over HTTP.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { SilentConnections } from './silentConnections.js'

interface Item {
  key: string
  value: string
  revision: number
  created: number
  lease: number
}

interface Deletion {
  key: string
  revision: number
  deleted: true
}

type Fault = 'none' | 'busy' | 'silent' | 'lose-response'

interface TransactionDocument {
  expected_rev: Array<{ key: string, revision: number }>
  puts: Array<{ key: string, value: string, lease: number }>
  remove: string[]
}

/** Response to one request; undefined if it is sent later. */
type Reply = { status: number, document: unknown } | undefined

/** A copy of the store, from which it can come back. */
export interface StoreCopy {
  items: ReadonlyMap<string, Item>
  leases: ReadonlySet<number>
  nextLease: number
  revision: number
}

const PAGE_SIZE = 3

/** A running store. */
export class StoreStandin {
  /** Fault to inject, and the prefix of the paths that it applies to. */
  fault: Fault = 'none'
  faultPath = ''
  /** Text of the era header; undefined when responses have none. */
  era: string | undefined = '1'
  /** How late each answer is sent. */
  delayMilliseconds = 0
  readonly requests: string[] = []
  private readonly _server: Server
  /** Further addresses, each of which can be cut off. */
  private readonly _secondServers: Server[] = []
  private readonly _cutServers = new Set<Server>()
  private readonly _connections = SilentConnections.create()
  /** Whether second addresses accept calls and never answer them, also not those that wait already. */
  areSecondAddressesSilent = false
  private _items = new Map<string, Item>()
  private _history: Array<Item | Deletion> = []
  private readonly _pendingWatches = new Set<() => void>()
  private _revision = 7
  private _compactedBefore = 0
  private _nextLease = 100
  private _leases = new Set<number>()

  private constructor () {
    this._server = this._createServer()
  }

  static async create (): Promise<StoreStandin> {
    const standin = new StoreStandin()
    await new Promise<void>(resolve => standin._server.listen(0, '127.0.0.1', resolve))
    return standin
  }

  get address (): string {
    return addressOf(this._server)
  }

  get revision (): number {
    return this._revision
  }

  /** Number of the lease that was granted last. */
  get newestLease (): number {
    return this._nextLease - 1
  }

  read (key: string): string | undefined {
    const item = this._items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  /** Returns the value of a key; undefined if there is none. */
  valueOf (key: string): string | undefined {
    const item = this._items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  listKeys (prefix: string): string[] {
    return [...this._items.keys()].filter(key => key.startsWith(prefix))
  }

  put (key: string, value: string | Buffer, lease = 0): number {
    const revision = ++this._revision
    const item = { key, value: Buffer.from(value).toString('base64'), revision, created: this._items.get(key)?.created ?? revision, lease }
    this._items.set(key, item)
    this._record(item)
    return revision
  }

  /** Stores an item with fields that can't be read. */
  putDocument (key: string, fields: Record<string, unknown>): void {
    const revision = ++this._revision
    const item = { key, value: '', revision, created: revision, lease: 0, ...fields }
    this._items.set(key, item)
    this._record(item)
  }

  remove (key: string): void {
    if (this._items.delete(key)) this._record({ key, revision: ++this._revision, deleted: true })
  }

  /** Discards the history, so that watches from earlier revisions get status 410. */
  compact (): void {
    this._compactedBefore = this._revision
    this._wake()
  }

  endLease (lease: number): void {
    this._leases.delete(lease)
    for (const item of [...this._items.values()]) if (item.lease === lease) this.remove(item.key)
  }

  /** Ends all leases, as when they run out while the store is down. */
  endAllLeases (): void {
    for (const lease of [...this._leases]) this.endLease(lease)
  }

  copy (): StoreCopy {
    return { items: new Map(this._items), leases: new Set(this._leases), nextLease: this._nextLease, revision: this._revision }
  }

  /**
   * Comes back from a copy in a new era: everything written since is gone, and its revisions and leases are given out
   * again. Connections are lost.
   */
  restore (copy: StoreCopy): void {
    this._items = new Map(copy.items)
    this._leases = new Set(copy.leases)
    this._nextLease = copy.nextLease
    this._revision = copy.revision
    this._history = this._history.filter(change => change.revision <= copy.revision)
    if (this.era !== undefined) this.era = String(Number(this.era) + 1)
    this._closeAllConnections()
  }

  /** Cuts all connections, and loses nothing. */
  cutConnections (): void {
    this._closeAllConnections()
  }

  /**
   * Makes all open connections silent for good, without an end or a reset: what arrives on them is neither carried out nor
   * answered, also not what waits already. New connections work.
   */
  silenceConnections (): void {
    this._connections.silence()
  }

  /** Opens another address of the same store, for one gateway. */
  async openSecondAddress (): Promise<string> {
    const server = this._createServer()
    this._secondServers.push(server)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return addressOf(server)
  }

  /** Cuts second addresses off, all of them unless some are named; `isCut` false makes them reachable again. */
  cutSecondAddresses (isCut: boolean, addresses?: readonly string[]): void {
    for (const server of this._secondServers) {
      if (addresses !== undefined && !addresses.includes(addressOf(server))) continue
      this._cut(server, isCut)
    }
  }

  async stop (): Promise<void> {
    this._closeAllConnections()
    await Promise.all([this._server, ...this._secondServers].map(async server => await new Promise<void>(resolve => server.close(() => resolve()))))
  }

  private _createServer (): Server {
    const server = createServer((request, response) => {
      if (this._cutServers.has(server)) return void request.socket.destroy()
      void this._serve(request, response, () => this._isSilent(server, request.socket))
    })
    this._connections.observe(server)
    return server
  }

  private _isSilent (server: Server, connection: Socket): boolean {
    return this._connections.isSilent(connection) || (this.areSecondAddressesSilent && server !== this._server)
  }

  private _cut (server: Server, isCut: boolean): void {
    if (!isCut) return void this._cutServers.delete(server)
    this._cutServers.add(server)
    server.closeAllConnections()
  }

  private _closeAllConnections (): void {
    for (const server of [this._server, ...this._secondServers]) server.closeAllConnections()
  }

  private _record (change: Item | Deletion): void {
    this._history.push(change)
    this._wake()
  }

  private _wake (): void {
    for (const wake of [...this._pendingWatches]) wake()
  }

  private async _serve (request: IncomingMessage, response: ServerResponse, isSilent: () => boolean): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    this.requests.push(`${request.method} ${url.pathname}`)
    const fault = url.pathname.startsWith(this.faultPath) ? this.fault : 'none'
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (fault === 'silent' || isSilent()) return
    if (this.era !== undefined) response.setHeader('store-era', this.era)
    if (fault === 'busy') return send(response, { status: 503, document: {} })
    const reply = this._route(request.method ?? 'GET', url, Buffer.concat(chunks).toString(), response, isSilent)
    if (fault === 'lose-response') return void request.socket.destroy()
    if (!reply) return
    if (this.delayMilliseconds > 0) setTimeout(() => send(response, reply), this.delayMilliseconds)
    else send(response, reply)
  }

  private _route (method: string, url: URL, body: string, response: ServerResponse, isSilent: () => boolean): Reply {
    const path = url.pathname
    if (path === '/v1/kv-key') return this._get(url.searchParams.get('key') ?? '')
    if (path === '/v1/kv-range') return this._range(url)
    if (path === '/v1/kv-watch') return this._watch(url, response, isSilent)
    if (path === '/v1/kv-txn') return this._transact(JSON.parse(body) as TransactionDocument)
    if (path === '/v1/kv-lease') return this._grant(JSON.parse(body) as { ttl_ms: number })
    if (path.startsWith('/v1/kv-keep/')) return this._leases.has(Number(path.split('/').at(-1))) ? { status: 200, document: { ttl_ms: 3000 } } : { status: 404, document: {} }
    if (method === 'DELETE') this.endLease(Number(path.split('/').at(-1)))
    return { status: 200, document: {} }
  }

  private _get (key: string): Reply {
    const item = this._items.get(key)
    return item ? { status: 200, document: { ...item, current_rev: this._revision } } : { status: 404, document: {} }
  }

  private _range (url: URL): Reply {
    const after = url.searchParams.get('after') ?? ''
    const prefix = url.searchParams.get('prefix') ?? ''
    const items = [...this._items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    return { status: 200, document: { items: items.slice(0, PAGE_SIZE), more_pages: items.length > PAGE_SIZE, current_rev: this._revision } }
  }

  private _watch (url: URL, response: ServerResponse, isSilent: () => boolean): Reply {
    const after = Number(url.searchParams.get('after'))
    const prefix = url.searchParams.get('prefix') ?? ''
    if (after < this._compactedBefore || after > this._revision) return { status: 410, document: {} }
    const findEvents = (): Reply => {
      const events = this._history.filter(change => !(change.revision <= after) && change.key.startsWith(prefix))
      return events.length > 0 ? { status: 200, document: { events, current_rev: this._revision } } : undefined
    }
    const known = findEvents()
    if (known) return known
    const timer = setTimeout(() => finish({ status: 200, document: { events: [], current_rev: this._revision } }), Number(url.searchParams.get('wait_ms')))
    /** Answers if there is a change below the prefix now, or if the history is gone. */
    const wake = (): void => {
      const reply = after < this._compactedBefore ? { status: 410, document: {} } : findEvents()
      if (reply) finish(reply)
    }
    const finish = (reply: Reply): void => {
      clearTimeout(timer)
      this._pendingWatches.delete(wake)
      if (reply && !isSilent()) send(response, reply)
    }
    this._pendingWatches.add(wake)
    response.once('close', () => finish(undefined))
    return undefined
  }

  private _transact (document: TransactionDocument): Reply {
    const holds = document.expected_rev.every(({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision)
    if (!holds) return { status: 412, document: { items: document.expected_rev.map(({ key }) => this._items.get(key)).filter(item => item !== undefined) } }
    if (document.puts.some(put => put.lease !== 0 && !this._leases.has(put.lease))) return { status: 404, document: {} }
    for (const { key, value, lease } of document.puts) this.put(key, Buffer.from(value, 'base64'), lease)
    for (const key of document.remove) this.remove(key)
    return { status: 200, document: { revision: this._revision } }
  }

  private _grant ({ ttl_ms: milliseconds }: { ttl_ms: number }): Reply {
    const lease = this._nextLease++
    this._leases.add(lease)
    return { status: 200, document: { lease, ttl_ms: milliseconds } }
  }
}

function addressOf (server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function send (response: ServerResponse, { status, document }: { status: number, document: unknown }): void {
  if (response.writableEnded || response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(document))
}
