/**
 * A deployment of real gateways over stand-ins on loopback, in one process, for tests.
 *
 * @module
 */
import { CallContext, Instrumentation, SystemClock, createProcessIncarnation, setLogLevel } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { Gateway, readGatewaySettings } from '@plumstage/gateway'
import { EtcdKeyValueService, HttpInstanceList, KeySpace } from '@plumstage/coordination'
import { digestToken, parseRecordFile } from '@plumstage/records'
import { EngineStandin, InstanceListStandin, KeyValueStandin, PlainServiceStandin } from '@plumstage/standins'
import type { EngineOptions } from '@plumstage/standins'

export const ANY_PORT = '127.0.0.1:0'
export const WORKSPACE_TOKEN = 'token-of-the-test-workspace'
export const OPERATOR_TOKEN = 'token-of-the-operators'
const PEER_TOKEN = 'token-of-the-gateways'

setLogLevel(process.env.TEST_LOG_LEVEL === undefined ? 'silent' : 'debug')

/** How large the deployment is and how its services behave. */
export interface DeploymentOptions {
  gateways?: number
  engines?: number
  plainServices?: number
  engineOptions?: Partial<EngineOptions>
  concurrencyPerUpstream?: number
  startWithinMilliseconds?: number
  answerWithinMilliseconds?: number
  abilities?: string
  /** Reads the upstreams from the instance list instead of the Service records. */
  usesInstanceList?: boolean
}

/** The address under which the instance list knows a gateway. */
export function instanceAddressOf (gatewayNumber: number): string {
  return `10.9.0.${gatewayNumber}:8080`
}

/** A running deployment. */
export class Deployment {
  readonly clock = SystemClock.create()
  readonly keySpace = KeySpace.create('test')
  readonly events: ActionEvent[] = []
  readonly gateways: Gateway[] = []
  readonly engines: EngineStandin[] = []
  readonly plainServices: PlainServiceStandin[] = []
  keyValue!: KeyValueStandin
  instanceList!: InstanceListStandin
  private readonly _options: DeploymentOptions
  private readonly _eventWaiters = new Set<() => void>()

  private constructor (options: DeploymentOptions) {
    this._options = options
  }

  static async create (options: DeploymentOptions = {}): Promise<Deployment> {
    const deployment = new Deployment(options)
    await deployment._start()
    return deployment
  }

  async stop (): Promise<void> {
    await Promise.all(this.gateways.map(async gateway => await gateway.destroy()))
    await Promise.all([...this.engines, ...this.plainServices, this.keyValue, this.instanceList].map(async part => await part.stop()))
  }

  /** Starts one more gateway and waits until it has a configuration. */
  async addGateway (): Promise<Gateway> {
    const number = this.gateways.length + 1
    const settings = readGatewaySettings({
      arguments: [
        '--name', `gateway-${number}`, '--deployment', 'test', '--failure-domain', 'domain-1', '--listen', '127.0.0.1:0', '--operator-listen', '127.0.0.1:0', '--peer-listen', '127.0.0.1:0',
        '--operator-token', OPERATOR_TOKEN, '--peer-token', PEER_TOKEN, '--key-value-service', this.keyValue.url, '--instance-list', this.instanceList.url, '--drain-delay-milliseconds', '100', '--instance-address', instanceAddressOf(number),
        ...this.gateways.flatMap(gateway => ['--peer-seed', gateway.peerAddress])
      ],
      environment: {}
    })._unsafeUnwrap()
    const instrumentation = Instrumentation.create(settings.name, createProcessIncarnation(), this.clock)
    instrumentation.addListener(event => this._record(event))
    const gateway = await Gateway.create(settings, {
      clock: this.clock,
      instrumentation,
      keyValueService: EtcdKeyValueService.create(settings.keyValueService, this.clock),
      instanceList: HttpInstanceList.create(settings.instanceList!)
    })
    this.gateways.push(gateway)
    await this.waitForEvent(event => event.process === settings.name && event.kind === 'configuration-adopted')
    return gateway
  }

  /** Applies records, as an operator does. Returns the revision. */
  async apply (yaml: string): Promise<number> {
    const { declarations, problems } = parseRecordFile('test.yaml', yaml)
    if (problems.length > 0) throw new Error(problems.map(problem => `${problem.line} ${problem.field} ${problem.message}`).join('; '))
    const service = EtcdKeyValueService.create([this.keyValue.url], this.clock)
    const outcome = await service.transact(CallContext.create(this.clock), {
      conditions: [],
      onSuccess: declarations.map(({ record, storedText }) => ({ kind: 'put' as const, key: this.keySpace.recordKey(record.kind, record.name), value: storedText })),
      onFailure: []
    })
    return outcome._unsafeUnwrap().revision
  }

  /** Waits for an event that has happened or will happen. */
  async waitForEvent (matches: (event: ActionEvent) => boolean): Promise<ActionEvent> {
    for (;;) {
      const found = this.events.find(matches)
      if (found) return found
      await new Promise<void>(resolve => this._eventWaiters.add(resolve))
    }
  }

  /** Sends a call to a gateway, with the workspace's token. */
  async sendRequest (path: string, init: RequestInit = {}, gateway: Gateway = this.gateways[0]): Promise<Response> {
    return await fetch(`http://${gateway.address}${path}`, { ...init, headers: { authorization: `Bearer ${WORKSPACE_TOKEN}`, ...init.headers } })
  }

  /** Sends a chat to a gateway. */
  async sendChat (body: { [field: string]: unknown }, init: RequestInit = {}, gateway: Gateway = this.gateways[0]): Promise<Response> {
    return await this.sendRequest('/v1/chat/completions', { method: 'POST', ...init, body: JSON.stringify({ model: 'model-a', messages: [{ role: 'user', content: 'hello' }], ...body }) }, gateway)
  }

  private async _start (): Promise<void> {
    this.keyValue = await KeyValueStandin.create(this.clock, ANY_PORT)
    this.instanceList = await InstanceListStandin.create(this.clock, ANY_PORT)
    for (let index = 0; index < (this._options.engines ?? 2); index++) await this.addEngine()
    for (let index = 0; index < (this._options.plainServices ?? 1); index++) this.plainServices.push(await PlainServiceStandin.create(this.clock, ANY_PORT))
    await this.apply(this.formatRecords())
    for (let index = 0; index < (this._options.gateways ?? 1); index++) await this.addGateway()
  }

  /** Starts one more engine; with discovery, the instance list names it. */
  async addEngine (): Promise<EngineStandin> {
    const engine = await EngineStandin.create(this.clock, ANY_PORT, { models: ['model-a'], stepMilliseconds: 2, ...this._options.engineOptions })
    this.engines.push(engine)
    this.instanceList.state.put({ pool: 'engines', address: engine.address, failureDomain: 'domain-1', instanceClass: 'standard', incarnation: `engine-${this.engines.length}`, state: 'live' })
    return engine
  }

  /** Returns the records of the deployment. */
  formatRecords (): string {
    const engines = this.engines.map(engine => `{ address: "${engine.address}", failureDomain: domain-1 }`).join(', ')
    const plainServices = this.plainServices.map(service => `{ address: "${service.address}", failureDomain: domain-1 }`).join(', ')
    const upstreams = this._options.usesInstanceList ? 'pool: engines' : `upstreams: [${engines}]`
    return `
apiVersion: plumstage/v1
kind: Priority
metadata: { name: standard }
spec: { rank: 1, startWithinMilliseconds: ${this._options.startWithinMilliseconds ?? 5000}, answerWithinMilliseconds: ${this._options.answerWithinMilliseconds ?? 20_000} }
---
apiVersion: plumstage/v1
kind: Service
metadata: { name: model }
spec: { type: model-engine, models: [model-a], ${upstreams}, concurrencyPerUpstream: ${this._options.concurrencyPerUpstream ?? 16}, abilities: { ${this._options.abilities ?? 'echoesRequestId: true, resume: true, notRunStatuses: [503]'} } }
---
apiVersion: plumstage/v1
kind: Service
metadata: { name: plain }
spec: { type: plain, upstreams: [${plainServices}], abilities: { notRunStatuses: [503] } }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: model }
spec: { model: model-a, service: model, priority: standard, idempotency: idempotent }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: reads }
spec: { pathPrefix: /plain/, methods: [GET], service: plain, priority: standard, idempotency: idempotent }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: writes }
spec: { pathPrefix: /plain/, methods: [POST], service: plain, priority: standard, idempotency: non-idempotent }
---
apiVersion: plumstage/v1
kind: Workspace
metadata: { name: test }
spec: { tokenDigests: [${digestToken(WORKSPACE_TOKEN)}] }
`
  }

  private _record (event: ActionEvent): void {
    this.events.push(event)
    const waiters = [...this._eventWaiters]
    this._eventWaiters.clear()
    for (const wake of waiters) wake()
  }
}
