/**
 * The embedded default: stand-ins for the platform and the upstreams in the gateway's own process, with a small
 * configuration, for a first look.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'
import { CallContext } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { EtcdKeyValueService, KeySpace } from '@plumstage/coordination'
import type { KeyValueOperation, KeyValueService } from '@plumstage/coordination'
import { digestToken, parseRecordFile } from '@plumstage/records'
import { EngineStandin, KeyValueStandin, PlainServiceStandin } from '@plumstage/standins'

const ANY_LOOPBACK_PORT = '127.0.0.1:0'
const ENGINE_COUNT = 2
const ENGINE_STEP_MILLISECONDS = 40
const TOKEN_BYTES = 12

/** Stand-ins that run inside the gateway's process. */
export class EmbeddedPlatform {
  readonly keyValueService: KeyValueService
  /** Bearer token of the workspace that the configuration declares. */
  readonly workspaceToken: string
  private readonly _keyValueStandin: KeyValueStandin
  private readonly _engineStandins: readonly EngineStandin[]
  private readonly _plainServiceStandin: PlainServiceStandin

  private constructor (keyValueService: KeyValueService, keyValue: KeyValueStandin, engines: readonly EngineStandin[], plain: PlainServiceStandin) {
    this.keyValueService = keyValueService
    this.workspaceToken = randomBytes(TOKEN_BYTES).toString('hex')
    this._keyValueStandin = keyValue
    this._engineStandins = engines
    this._plainServiceStandin = plain
  }

  /** Starts the stand-ins on free ports of the loopback address and stores the configuration. */
  static async create (clock: Clock, deployment: string): Promise<EmbeddedPlatform> {
    const keyValue = await KeyValueStandin.create(clock, ANY_LOOPBACK_PORT)
    const engines = await Promise.all(Array.from({ length: ENGINE_COUNT }, async () => await EngineStandin.create(clock, ANY_LOOPBACK_PORT, { stepMilliseconds: ENGINE_STEP_MILLISECONDS })))
    const plain = await PlainServiceStandin.create(clock, ANY_LOOPBACK_PORT)
    const platform = new EmbeddedPlatform(EtcdKeyValueService.create([keyValue.url], clock), keyValue, engines, plain)
    await platform._storeRecords(clock, KeySpace.create(deployment))
    return platform
  }

  async stop (): Promise<void> {
    await Promise.all([this._keyValueStandin.stop(), this._plainServiceStandin.stop(), ...this._engineStandins.map(async engine => await engine.stop())])
  }

  private async _storeRecords (clock: Clock, keySpace: KeySpace): Promise<void> {
    const { declarations, problems } = parseRecordFile('embedded.yaml', this._renderRecords())
    if (problems.length > 0) throw new Error(problems.map(problem => problem.message).join('; '))
    const operations: KeyValueOperation[] = declarations.map(({ record, storedText }) => ({ kind: 'put', key: keySpace.recordKey(record.kind, record.name), value: storedText }))
    const result = await this.keyValueService.transact(CallContext.create(clock), { conditions: [], onSuccess: operations, onFailure: [] })
    if (result.isErr()) throw result.error
  }

  private _renderRecords (): string {
    const engines = this._engineStandins.map(engine => `{ address: "${engine.address}", failureDomain: local }`).join(', ')
    return `
apiVersion: plumstage/v1
kind: Priority
metadata: { name: interactive }
spec: { rank: 0, startWithinMilliseconds: 5000, answerWithinMilliseconds: 120000 }
---
apiVersion: plumstage/v1
kind: Service
metadata: { name: model }
spec:
  type: model-engine
  models: [quetzal-8b]
  upstreams: [${engines}]
  abilities: { echoesRequestId: true, resume: true, notRunStatuses: [503] }
---
apiVersion: plumstage/v1
kind: Service
metadata: { name: wiki }
spec: { type: plain, upstreams: [{ address: "${this._plainServiceStandin.address}", failureDomain: local }] }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: model }
spec: { model: quetzal-8b, service: model, priority: interactive, idempotency: idempotent }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: wiki-reads }
spec: { pathPrefix: /wiki/, methods: [GET, HEAD], service: wiki, priority: interactive, idempotency: idempotent }
---
apiVersion: plumstage/v1
kind: Route
metadata: { name: wiki-edits }
spec: { pathPrefix: /wiki/, methods: [POST, PUT, DELETE], service: wiki, priority: interactive, idempotency: non-idempotent }
---
apiVersion: plumstage/v1
kind: Workspace
metadata: { name: demo }
spec: { tokenDigests: [${digestToken(this.workspaceToken)}] }
`
  }
}
