/**
 * Test fixture: serving gateways and stand-ins for the users' platform in one process.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { ConnectionResets, Instrumentation, LeaseClock, MonotonicClock, SeededRandom, setLogLevel } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { CallerAdapter, CloudAdapter, DeploymentAdapter, StoreAdapter, UpstreamAdapter } from '@plumstage/platform'
import { NO_QUOTA_TOLERANCE, ServingGateway } from '@plumstage/serving'
import type { ServingSettings } from '@plumstage/serving'
import { StoreStandin } from './storeStandin.js'
import { UpstreamStandin } from './upstreamStandin.js'

setLogLevel(process.env.TEST_LOG_LEVEL === undefined ? 'silent' : 'debug')

export const HOST = 'wiki.example'
export const TOKEN = 'token-of-the-notaries'

/** A request that the cloud received. */
export interface CloudRequest {
  path: string
  fencingNumber: number
  document: Record<string, unknown>
}

/** A response as the caller received it. */
export interface CallerResponse {
  status: number
  headers: Map<string, string>
  body: string
  /** Whether the framing shows that the response is complete. */
  complete: boolean
}

/** Fields of a request. Headers with an empty value are omitted. */
export interface RequestFields {
  method?: string
  headers?: Record<string, string>
  body?: string
  id?: string
}

const CONFIGURATION = {
  version: 3,
  routes: [
    { name: 'page', host: HOST, prefix: '/page/', route_type: 'non_idempotent', timeout_ms: 1500, objective_ms: 100, priority: 2, service: 'front', max_attempts: 2 },
    { name: 'search', host: HOST, prefix: '/search/', route_type: 'idempotent', timeout_ms: 1500, objective_ms: 100, priority: 2, service: 'front', max_attempts: 2 },
    { name: 'search-deep', host: HOST, prefix: '/search/deep/', route_type: 'idempotent', timeout_ms: 1500, service: 'other', max_attempts: 1 },
    { name: 'open', host: HOST, prefix: '/open/', route_type: 'idempotent', service: 'front', anonymous: true },
    { name: 'brief', host: HOST, prefix: '/brief/', route_type: 'idempotent', timeout_ms: 120, service: 'front', max_attempts: 2 },
    { name: 'manual', host: HOST, prefix: '/manual/', route_type: 'streaming', timeout_ms: 5000, objective_ms: 800, service: 'front', max_attempts: 2, resumable: true, gap_objective_ms: 300 },
    { name: 'summary', host: HOST, prefix: '/summary/', route_type: 'streaming', timeout_ms: 5000, objective_ms: 800, service: 'front', max_attempts: 2, resumable: false, gap_objective_ms: 300 }
  ],
  services: [{ name: 'front', health_path: '/health', max_conns: 100 }, { name: 'other', health_path: '/health' }],
  limits: { max_header_bytes: 4096, max_body_bytes: 2000, header_timeout_ms: 3000, idle_timeout_ms: 5000 },
  tenants: [{ name: 'notaries', api_keys: [TOKEN], unit: 'tokens', uncached_tokens: 10, rate_per_s: 5, burst: 2000 }]
}

/** Returns the configuration as the operators write it, with some fields replaced. */
export function formatConfiguration (fields: { [Field in keyof typeof CONFIGURATION]?: unknown }): string {
  return JSON.stringify({ ...CONFIGURATION, ...fields })
}

/** Returns the entry that an upstream writes to the store, with some fields replaced. */
export function formatUpstreamEntry (upstream: UpstreamStandin, service: string, fields: Record<string, unknown>): string {
  return JSON.stringify({ service, address: upstream.address, zone: 'east', version: 'v1', capacity: 6, state: 'ready', warmup_left_ms: 0, seq: 1, ...fields })
}

/** A running deployment. */
export class PlatformDeployment {
  readonly clock = MonotonicClock.create()
  private readonly _connectionResets = ConnectionResets.create(this.clock)
  readonly events: ActionEvent[] = []
  readonly gateways: ServingGateway[] = []
  readonly upstreams: UpstreamStandin[] = []
  readonly cloudRequests: CloudRequest[] = []
  store!: StoreStandin
  private _cloud!: Server
  private readonly _waiters = new Set<() => void>()

  static async create (upstreamCount = 2): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment()
    deployment.store = await StoreStandin.create()
    await deployment._startCloud()
    deployment.configure({})
    for (let index = 1; index <= upstreamCount; index++) await deployment.addUpstream(`i-${index}`)
    await deployment.addGateway()
    await deployment.waitForEvent(event => event.kind === 'configuration-applied')
    return deployment
  }

  /** Writes the configuration with some fields replaced, and returns its revision. */
  configure (fields: Partial<typeof CONFIGURATION>): number {
    return this.store.put('op/config', formatConfiguration(fields))
  }

  get routes (): typeof CONFIGURATION.routes {
    return CONFIGURATION.routes
  }

  async addUpstream (id: string, service = 'front'): Promise<UpstreamStandin> {
    const upstream = await UpstreamStandin.create(id)
    this.upstreams.push(upstream)
    this.putUpstreamEntry(upstream, {}, service)
    return upstream
  }

  putUpstreamEntry (upstream: UpstreamStandin, fields: Record<string, unknown> = {}, service = 'front'): void {
    this.store.put(`servers/${upstream.id}`, formatUpstreamEntry(upstream, service, fields))
  }

  async addGateway (): Promise<ServingGateway> {
    const name = `edge-${this.gateways.length + 1}`
    const instrumentation = Instrumentation.create(name, `${name}-run`, this.clock)
    instrumentation.addListener(event => {
      this.events.push(event)
      for (const wake of this._waiters) wake()
      this._waiters.clear()
    })
    const gateway = await ServingGateway.create(this._settingsOf(name), {
      clock: this.clock,
      leaseClock: LeaseClock.create(this.clock),
      timeOfDay: () => Date.now(),
      random: SeededRandom.create(1),
      instrumentation,
      store: StoreAdapter.create(this.store.address, this.clock),
      decoder: DeploymentAdapter.create(),
      callerProtocol: CallerAdapter.create(),
      upstreamProtocol: UpstreamAdapter.create(),
      cloud: CloudAdapter.create(`127.0.0.1:${(this._cloud.address() as AddressInfo).port}`, this._connectionResets),
      connectionResets: this._connectionResets,
      droppedLogLines: () => 0
    })
    this.gateways.push(gateway)
    return gateway
  }

  async waitForEvent (accept: (event: ActionEvent) => boolean): Promise<ActionEvent> {
    for (;;) {
      const event = this.events.find(accept)
      if (event) return event
      await new Promise<void>(resolve => this._waiters.add(resolve))
    }
  }

  /** Waits until the gateway has applied the latest change to the list of upstreams. */
  async waitForUpstreamList (): Promise<void> {
    const revision = this.store.revision
    await this.waitForEvent(event => event.kind === 'upstreams-applied' && Number(event.attributes?.revision) >= revision)
  }

  /** Sends one request over a new connection and reads the complete response. */
  async sendRequest (target: string, fields: RequestFields = {}): Promise<CallerResponse> {
    return await this.sendRaw(formatRequest(target, fields))
  }

  /** Sends one request without reading the response. */
  openRequest (target: string, fields: RequestFields = {}): Socket {
    const [host, port] = this.gateways[0].callerAddress.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => socket.destroy())
    socket.write(formatRequest(target, fields))
    return socket
  }

  async sendRaw (text: string): Promise<CallerResponse> {
    return await sendOverNewConnection(this.gateways[0].callerAddress, text)
  }

  async stop (): Promise<void> {
    await Promise.all(this.gateways.map(async gateway => await gateway.destroy()))
    await Promise.all(this.upstreams.map(async upstream => await upstream.stop()))
    await this.store.stop()
    this._cloud.closeAllConnections()
    await new Promise<void>(resolve => this._cloud.close(() => resolve()))
  }

  private async _startCloud (): Promise<void> {
    this._cloud = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk: Buffer) => { text += chunk.toString() })
      request.on('end', () => {
        this.cloudRequests.push({ path: request.url ?? '', fencingNumber: Number(request.headers['plumstage-fencing-token']), document: JSON.parse(text) as Record<string, unknown> })
        response.end()
      })
    })
    await new Promise<void>(resolve => this._cloud.listen(0, '127.0.0.1', resolve))
  }

  private _settingsOf (name: string): ServingSettings {
    return {
      name,
      failureDomain: 'east',
      callerAddress: '127.0.0.1:0',
      readinessAddress: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      processorCores: 1,
      isFirstStart: true,
      peerSeeds: [],
      addresses: { store: this.store.address },
      contactMilliseconds: 3000,
      graceMilliseconds: 6000,
      dutyLeaseMilliseconds: 3000,
      usageWindowMilliseconds: 1000,
      usageDelayMilliseconds: 10_000,
      quotaTolerance: NO_QUOTA_TOLERANCE,
      retryBound: { ratio: 0.2, slack: 50, windowMilliseconds: 10_000 },
      prefixReuseMilliseconds: 9000,
      reportsUsage: true,
      ordersUpstreams: true
    }
  }
}

/** Sends the text of a request over a new connection to an address and reads until that is closed. */
export async function sendOverNewConnection (address: string, text: string): Promise<CallerResponse> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  const chunks: Buffer[] = []
  socket.on('data', chunk => chunks.push(chunk))
  socket.on('error', () => socket.destroy())
  socket.write(text)
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  return parseResponse(Buffer.concat(chunks).toString('latin1'))
}

/** Formats a request, after whose response the connection is closed. */
export function formatRequest (target: string, { method = 'GET', headers = {}, body = '', id = `request-${Math.random()}` }: RequestFields): string {
  const fields = { Host: HOST, 'Plumstage-Attempt-Id': id, Authorization: `Bearer ${TOKEN}`, Connection: 'close', 'Content-Length': String(body.length), ...headers }
  const lines = Object.entries(fields).filter(([, value]) => value !== '')
  return `${method} ${target} HTTP/1.1\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`
}

function parseResponse (text: string): CallerResponse {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, headers: new Map(), body: '', complete: false }
  const [first, ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = text.slice(headEnd + 4)
  const status = Number(first.split(' ')[1])
  if (headers.get('transfer-encoding') !== 'chunked') return { status, headers, body: rest, complete: rest.length === Number(headers.get('content-length')) }
  const { body, complete } = readChunks(rest)
  return { status, headers, body, complete }
}

function readChunks (text: string): { body: string, complete: boolean } {
  let body = ''
  for (let start = 0; ;) {
    const lineEnd = text.indexOf('\r\n', start)
    if (lineEnd < 0) return { body, complete: false }
    const length = Number.parseInt(text.slice(start, lineEnd), 16)
    if (length === 0) return { body, complete: true }
    body += text.slice(lineEnd + 2, lineEnd + 2 + length)
    start = lineEnd + 2 + length + 2
  }
}
