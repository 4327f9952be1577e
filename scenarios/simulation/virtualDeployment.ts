/**
 * A deployment on the virtual clock: real gateway cores, and simulated upstreams, key-value service, instance list
 * and callers.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { VirtualClock, setLogLevel } from '@plumstage/common'
import type { ActionEvent, Timestamp } from '@plumstage/common'
import type { EngineOrders, UpstreamClients } from '@plumstage/gateway'
import { KeySpace } from '@plumstage/coordination'
import { parseRecordFile } from '@plumstage/records'
import { InstanceListState } from '@plumstage/standins'
import type { UpstreamExecution } from '@plumstage/standins'
import type { RequestKind, RequestRecord } from './requestRecord.js'
import type { ProcessClock } from './processClock.js'
import { VirtualGateway } from './virtualGateway.js'
import { VirtualKeyValueServer } from './virtualKeyValueService.js'
import { VirtualUpstream } from './virtualUpstream.js'
import type { UpstreamKind } from './virtualUpstream.js'

const START_TIME: Timestamp = 1_700_000_000_000
const WORKSPACE_TOKEN = 'token-of-the-scenario'
const WARM_UP_MILLISECONDS = 1500
const ORDER_LATENCY_MILLISECONDS = 5
const DRAIN_DELAY_MILLISECONDS = 2000
const POSITION_LINE = /^id: (\d+)$/gm
const DOMAIN_COUNT = 3

/** Size of the simulated deployment. */
export interface DeploymentSize {
  gateways: number
  engines: number
  plainServices: number
  concurrencyPerUpstream: number
}

/** A group of similar requests. */
export interface RequestGroup {
  label: string
  kind: RequestKind
  count: number
  /** Name of the gateway; if undefined, the requests are distributed over all gateways in turn. */
  gateway?: string
  tokens: number
  /** Content of the requests; a number is appended unless `same` is set. */
  content: string
  /** Whether all requests have the same content and idempotency key. */
  same: boolean
  keyed: boolean
}

/** A change of the configuration that was acknowledged to the operator. */
export interface AcceptedChange {
  revision: number
  acceptedAt: Timestamp
}

/** A planned stop of a gateway. */
export interface PlannedStop {
  gateway: string
  startedAt: Timestamp
}

/** An announced reclaim of an upstream. */
export interface AnnouncedReclaim {
  address: string
  incarnation: string
  announcedAt: Timestamp
  deadline: Timestamp
  /** When the upstream was killed and its address became free for another; undefined if the address is not reused. */
  endedAt?: Timestamp
}

/** Everything that happened in a run; the input of the checks. */
export interface RunHistory {
  requests: RequestRecord[]
  executions: UpstreamExecution[]
  events: ActionEvent[]
  reclaims: AnnouncedReclaim[]
  stops: PlannedStop[]
  changes: AcceptedChange[]
  /** Whether a failure occurred that may lose a response. Announced reclaims and planned stops must not lose any. */
  unannouncedFailure: boolean
}

setLogLevel('silent')

/** A simulated deployment. It runs on one virtual clock, which only `runFor` advances. */
export class VirtualDeployment {
  readonly clock = VirtualClock.create(START_TIME)
  readonly keyValue = VirtualKeyValueServer.create(this.clock)
  readonly instanceList = InstanceListState.create(this.clock)
  readonly gateways: VirtualGateway[] = []
  readonly upstreams: VirtualUpstream[] = []
  readonly history: RunHistory = { requests: [], executions: [], events: [], reclaims: [], stops: [], changes: [], unannouncedFailure: false }
  private readonly _keySpace = KeySpace.create('scenario')
  private readonly _size: DeploymentSize
  private readonly _seed: number
  private readonly _blockedLinks = new Set<string>()
  private _nextUpstreamNumber = 1
  private _nextRequestNumber = 1

  private constructor (size: DeploymentSize, seed: number) {
    this._size = size
    this._seed = seed
  }

  /** Creates the deployment and advances the clock past the warm-up. */
  static async create (size: DeploymentSize, seed: number): Promise<VirtualDeployment> {
    const deployment = new VirtualDeployment(size, seed)
    for (let index = 0; index < size.engines; index++) deployment.addUpstream('engine')
    for (let index = 0; index < size.plainServices; index++) deployment.addUpstream('plain')
    deployment.storeRecords(deployment._describeRecords())
    for (let index = 0; index < size.gateways; index++) deployment.addGateway()
    await deployment.runFor(WARM_UP_MILLISECONDS)
    return deployment
  }

  /** Milliseconds since the start of the scenario, which follows the warm-up. */
  get elapsedMilliseconds (): number {
    return this.clock.now() - START_TIME - WARM_UP_MILLISECONDS
  }

  /** Advances the clock timer by timer; pending callbacks run before the next timer fires. */
  async runFor (milliseconds: number): Promise<void> {
    const target = this.clock.now() + milliseconds
    await runPendingCallbacks()
    for (;;) {
      const next = this.clock.nextDeadline
      if (next === undefined || next > target) break
      this.clock.advanceTo(next)
      await runPendingCallbacks()
    }
    this.clock.advanceTo(target)
  }

  addGateway (): VirtualGateway {
    const number = this.gateways.length + 1
    const gateway = VirtualGateway.create(`gateway-${number}`, number, this.gateways.map(other => other.peerAddress), {
      clock: this.clock,
      seed: this._seed,
      keyValue: this.keyValue,
      instanceList: process => ({ list: async () => await process.receiveResult(Promise.resolve(ok([...this.instanceList.visibleInstances]))) }),
      clients: process => this._createClients(process),
      engineOrders: process => this._createEngineOrders(process),
      findGateway: address => this.gateways.find(candidate => candidate.peerAddress === address),
      isLinkBlocked: (from, to) => this._blockedLinks.has(`${from} ${to}`),
      recordEvent: event => this.history.events.push(event)
    })
    this.gateways.push(gateway)
    return gateway
  }

  addUpstream (kind: UpstreamKind, failureDomain = `domain-${(this._nextUpstreamNumber - 1) % DOMAIN_COUNT + 1}`): VirtualUpstream {
    const number = this._nextUpstreamNumber++
    const upstream = VirtualUpstream.create(this.clock, kind, `10.2.0.${number}:9000`, failureDomain, `instance-${number}`, this.history.executions, () => { this.history.unannouncedFailure = true })
    this.upstreams.push(upstream)
    this.instanceList.put({ pool: kind, address: upstream.address, failureDomain, instanceClass: 'standard', incarnation: upstream.incarnation, state: 'live' })
    return upstream
  }

  /** Announces the reclaim of an upstream and kills it at the deadline. */
  reclaimUpstream (upstream: VirtualUpstream, noticeMilliseconds: number): void {
    const deadline = this.clock.now() + noticeMilliseconds
    this.history.reclaims.push({ address: upstream.address, incarnation: upstream.incarnation, announcedAt: this.clock.now(), deadline })
    this.instanceList.announceReclaim(upstream.address, deadline)
    this.clock.schedule(deadline, () => {
      upstream.kill()
      this.instanceList.remove(upstream.address)
    })
  }

  /** Blocks or unblocks the messages between two gateways in one direction. */
  setLinkBlocked (from: string, to: string, blocked: boolean): void {
    if (blocked) this._blockedLinks.add(`${from} ${to}`)
    else this._blockedLinks.delete(`${from} ${to}`)
  }

  /** Starts a planned stop, like SIGTERM does. */
  stopGateway (gateway: VirtualGateway): void {
    this.history.stops.push({ gateway: gateway.name, startedAt: this.clock.now() })
    gateway.process.deliver(() => void this._stopGracefully(gateway))
  }

  /**
   * Announces the reclaim of a gateway's instance and kills the gateway at the deadline. Callers that
   * lose their connection reconnect through another gateway.
   */
  reclaimGateway (gateway: VirtualGateway, noticeMilliseconds: number): void {
    const deadline = this.clock.now() + noticeMilliseconds
    this.instanceList.put({ pool: 'gateways', address: gateway.peerAddress, failureDomain: 'domain-1', instanceClass: 'standard', incarnation: gateway.name, state: 'leaving', deadline })
    this.clock.schedule(deadline, () => {
      gateway.process.kill()
      for (const request of this.history.requests) if (request.gateway === gateway.name && request.endedAt === undefined) this._reconnectCaller(request)
    })
  }

  /** Requests the rest of a response through another gateway after the caller's connection was lost. */
  private _reconnectCaller (request: RequestRecord): void {
    const running = this.gateways.filter(gateway => gateway.process.state === 'running' && !gateway.core.stopping)
    const gateway = running[this._nextRequestNumber++ % running.length]
    if (!gateway || request.requestId === '') {
      request.endedAt = this.clock.now()
      return
    }
    request.gateway = gateway.name
    const positions = [...request.text.matchAll(POSITION_LINE)].map(match => Number(match[1]))
    gateway.process.deliver(() => void gateway.resumeResponse(request, positions.at(-1) ?? 0))
  }

  killGateway (gateway: VirtualGateway): void {
    this.history.unannouncedFailure = true
    gateway.process.kill()
    for (const request of this.history.requests) if (request.gateway === gateway.name && request.endedAt === undefined) request.endedAt = this.clock.now()
  }

  /** Stores records and records the change as accepted. Returns the revision. */
  storeRecords (yaml: string): number {
    const { declarations, problems } = parseRecordFile('scenario.yaml', yaml)
    if (problems.length > 0) throw new Error(problems.map(problem => `${problem.line} ${problem.field} ${problem.message}`).join('; '))
    const outcome = this.keyValue.transact({
      conditions: [],
      onSuccess: declarations.map(({ record, storedText }) => ({ kind: 'put', key: this._keySpace.recordKey(record.kind, record.name), value: storedText })),
      onFailure: []
    })
    this.history.changes.push({ revision: outcome.revision, acceptedAt: this.clock.now() })
    return outcome.revision
  }

  /** Sends a group of requests. */
  send (group: RequestGroup): void {
    for (let index = 0; index < group.count; index++) this._sendRequest(group, index)
  }

  private async _stopGracefully (gateway: VirtualGateway): Promise<void> {
    await gateway.core.announceStop()
    await gateway.core.context.sleepUntil(this.clock.now() + DRAIN_DELAY_MILLISECONDS)
    await gateway.core.finishRequests()
    gateway.process.kill()
  }

  private _sendRequest (group: RequestGroup, index: number): void {
    const running = this.gateways.filter(gateway => gateway.process.state !== 'dead' && !gateway.core.stopping)
    const gateway = group.gateway === undefined ? running[index % running.length] : this.gateways.find(candidate => candidate.name === group.gateway)
    if (!gateway || gateway.process.state === 'dead') return
    const content = group.same ? group.content : `${group.content} ${this._nextRequestNumber++}`
    const record: RequestRecord = { label: group.label, kind: group.kind, gateway: gateway.name, content, tokens: group.tokens, idempotencyKey: group.keyed ? content : undefined, requestId: '', sentAt: this.clock.now(), text: '', accepted: false }
    this.history.requests.push(record)
    const headers: Record<string, string> = { authorization: `Bearer ${WORKSPACE_TOKEN}` }
    if (record.idempotencyKey !== undefined) headers['idempotency-key'] = record.idempotencyKey
    gateway.process.deliver(() => void gateway.receive(record, headers, formatBody(record)))
  }

  /** Orders arrive after the latency, even if their sender is paused in the meantime. */
  private _createEngineOrders (process: ProcessClock): EngineOrders {
    const send = async <Value> (address: string, action: (upstream: VirtualUpstream) => Value): Promise<Value> => await process.receiveResult(new Promise<Value>((resolve, reject) => {
      this.clock.schedule(this.clock.now() + ORDER_LATENCY_MILLISECONDS, () => {
        const upstream = this.upstreams.find(candidate => candidate.address === address)
        if (upstream?.isAlive) resolve(action(upstream))
        else reject(new Error('the engine is not running'))
      })
    }))
    return {
      readState: async (_context, address) => await send(address, upstream => ok({ adapter: upstream.lastOrder.adapter })).catch(error => err(error)),
      sendOrder: async (_context, address, condition, fencingNumber) => await send(address, upstream => upstream.applyOrder(condition.adapter, fencingNumber) ? ok(undefined) : err(new Error('old fencing number'))).catch(error => err(error))
    }
  }

  private _createClients (process: ProcessClock): UpstreamClients {
    const dispatch = (address: string): UpstreamClients['clientOf'] extends (...parameters: never[]) => infer Client ? Client : never => ({
      dispatch: (options: never, handler: never) => {
        const upstream = this.upstreams.find(candidate => candidate.address === address)
        upstream?.dispatch(options, handler, callback => process.deliver(callback))
        return true
      }
    }) as never
    return { clientOf: upstream => dispatch(upstream.address), forget: () => {}, close: async () => {} }
  }

  private _describeRecords (): string {
    const digest = createHash('sha256').update(WORKSPACE_TOKEN).digest('hex')
    const concurrency = this._size.concurrencyPerUpstream
    return `
{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: standard }, spec: { rank: 1, startWithinMilliseconds: 5000, answerWithinMilliseconds: 30000 } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: model }, spec: { type: model-engine, models: [model-a], pool: engine, concurrencyPerUpstream: ${concurrency}, abilities: { echoesRequestId: true, resume: true, notRunStatuses: [503] } } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: plain }, spec: { type: plain, pool: plain, concurrencyPerUpstream: ${concurrency}, abilities: { notRunStatuses: [503] } } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: model }, spec: { model: model-a, service: model, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: reads }, spec: { pathPrefix: /plain/, methods: [GET], service: plain, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: writes }, spec: { pathPrefix: /plain/, methods: [POST], service: plain, priority: standard, idempotency: non-idempotent } }
---
{ apiVersion: plumstage/v1, kind: Workspace, metadata: { name: test }, spec: { tokenDigests: [${digest}] } }
`
  }
}

function formatBody (record: RequestRecord): string {
  if (record.kind === 'read') return ''
  if (record.kind === 'write') return record.content
  return JSON.stringify({ model: 'model-a', stream: record.kind === 'stream', max_tokens: record.tokens, messages: [{ role: 'user', content: record.content }] })
}

/** Runs all pending callbacks without advancing the clock. */
async function runPendingCallbacks (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
