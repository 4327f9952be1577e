/**
 * A deployment of real processes on loopback, which the chaos run kills, pauses and replaces.
 *
 * @module
 */
import { mkdtempSync, readFileSync, existsSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { MeasuredProcess } from '@plumstage/load'
import type { MeasuredProgram } from '@plumstage/load'
import { GatewayClient, RecordStore } from '@plumstage/operator'
import { EtcdKeyValueService } from '@plumstage/coordination'
import { digestToken, parseRecordFile } from '@plumstage/records'
import type { UpstreamExecution } from '@plumstage/standins'
import { parseEvents } from '@plumstage/timeline'
import type { FinalGatewayState } from '../checker/invariantChecker.js'

export const CHAOS_TOKEN = 'token-of-the-chaos-run'

const PORTS = { keyValue: 24001, keyValueControl: 24002, instanceList: 24003, engines: 24100, plainServices: 24200, gateways: 24300 }
const PORTS_PER_GATEWAY = 3
const DEPLOYMENT = 'chaos'

/** Kinds of processes that the chaos run kills, pauses and replaces. */
export type ChaosProcessKind = 'gateway' | 'engine' | 'plain'

/** A fixed address of the deployment. When its process has ended, a new process is started at the same address. */
export interface ChaosSlot {
  kind: ChaosProcessKind
  number: number
  address: string
  process: MeasuredProcess | undefined
  incarnation: number
  /** Set while a fault is in progress, so that no second one is injected. */
  hasOngoingFault: boolean
}

/** Number of processes of each kind. */
export interface ChaosSize {
  gateways: number
  engines: number
  plainServices: number
}

/** Starts and stops the processes, and reads their logs and final states. */
export class ChaosDeployment {
  readonly slots: ChaosSlot[] = []
  readonly store: RecordStore
  keyValue!: MeasuredProcess
  private readonly _size: ChaosSize
  private readonly _folder = mkdtempSync(join(tmpdir(), 'plumstage-chaos-'))
  private _instanceList!: MeasuredProcess

  private constructor (size: ChaosSize) {
    const clock = SystemClock.create()
    this._size = size
    this.store = RecordStore.create(EtcdKeyValueService.create([`http://127.0.0.1:${PORTS.keyValue}`], clock), DEPLOYMENT, clock)
  }

  static async create (size: ChaosSize): Promise<ChaosDeployment> {
    const deployment = new ChaosDeployment(size)
    await deployment._start()
    return deployment
  }

  listSlots (kind: ChaosProcessKind): ChaosSlot[] {
    return this.slots.filter(slot => slot.kind === kind)
  }

  /** Starts a process in an empty slot; an upstream is added to the instance list. */
  async startSlot (slot: ChaosSlot): Promise<void> {
    slot.incarnation++
    slot.process = await this._startProcess(slot)
    if (slot.kind !== 'gateway') await this._requestInstanceList('PUT', '/standin/instances', { pool: slot.kind, address: slot.address, failureDomain: `domain-${slot.number % 3 + 1}`, incarnation: `${slot.address}-${slot.incarnation}` })
  }

  /** Kills the process of a slot; an upstream is removed from the instance list. */
  async killSlot (slot: ChaosSlot): Promise<void> {
    await slot.process?.stop('SIGKILL')
    slot.process = undefined
    if (slot.kind !== 'gateway') await this._requestInstanceList('DELETE', `/standin/instances/${slot.address}`)
  }

  async announceReclaim (slot: ChaosSlot, deadline: number): Promise<void> {
    await this._requestInstanceList('POST', '/standin/reclaims', { address: slot.address, deadline })
  }

  async setKeyValueDown (down: boolean): Promise<void> {
    await fetch(`http://127.0.0.1:${PORTS.keyValueControl}/standin/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ down }) })
  }

  /** Applies a Priority record as an operator would. Returns the revision, or undefined if it was not accepted. */
  async applyPriority (rank: number): Promise<number | undefined> {
    const snapshot = await this.store.read()
    if (snapshot.isErr()) return undefined
    const key = this.store.keyOf('Priority', 'changing')
    const entry = snapshot.value.entries.find(candidate => candidate.key === key)
    const value = JSON.stringify({ apiVersion: 'plumstage/v1', kind: 'Priority', metadata: { name: 'changing' }, spec: { rank, startWithinMilliseconds: 1000 } })
    const written = await this.store.write([{ kind: 'update', key, value, previous: entry?.value ?? '', revision: entry?.modRevision ?? 0 }])
    return written.isOk() ? written.value : undefined
  }

  async readFinalStates (): Promise<FinalGatewayState[]> {
    return await Promise.all(this.listSlots('gateway').map(async slot => {
      const status = await GatewayClient.create(`http://127.0.0.1:${portOf(slot, 1)}`, CHAOS_TOKEN).readStatus()
      return { name: slotNameOf(slot), serving: status.isOk(), configurationRevision: status.isOk() ? status.value.self.configurationRevision : 0 }
    }))
  }

  readExecutions (): UpstreamExecution[] {
    const file = this._fileOf('runs.jsonl')
    if (!existsSync(file)) return []
    return readFileSync(file, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as UpstreamExecution)
  }

  readEvents (): ActionEvent[] {
    return this.listSlots('gateway').flatMap(slot => parseEvents('events', readFileSync(this._fileOf(`${slotNameOf(slot)}.jsonl`), 'utf8')).events)
  }

  async stop (): Promise<void> {
    await Promise.all([...this.slots.map(async slot => await slot.process?.stop()), this.keyValue.stop(), this._instanceList.stop()])
    rmSync(this._folder, { recursive: true })
  }

  private async _start (): Promise<void> {
    this.keyValue = await MeasuredProcess.create('key-value', 'standins', ['key-value', '--listen', `127.0.0.1:${PORTS.keyValue}`, '--control-listen', `127.0.0.1:${PORTS.keyValueControl}`])
    this._instanceList = await MeasuredProcess.create('instance-list', 'standins', ['instance-list', '--listen', `127.0.0.1:${PORTS.instanceList}`])
    await this._storeRecords()
    for (const [kind, count] of [['engine', this._size.engines], ['plain', this._size.plainServices], ['gateway', this._size.gateways]] as const) {
      for (let number = 0; number < count; number++) this.slots.push({ kind, number, address: `127.0.0.1:${portOfNumber(kind, number)}`, process: undefined, incarnation: 0, hasOngoingFault: false })
    }
    await Promise.all(this.slots.map(async slot => await this.startSlot(slot)))
  }

  private async _startProcess (slot: ChaosSlot): Promise<MeasuredProcess> {
    const [program, parameters] = this._commandOf(slot)
    return await MeasuredProcess.create(slotNameOf(slot), program, parameters)
  }

  private _commandOf (slot: ChaosSlot): [MeasuredProgram, string[]] {
    const runLog = ['--run-log', this._fileOf('runs.jsonl')]
    if (slot.kind === 'engine') return ['standins', ['engine', '--listen', slot.address, '--model', 'model-a', '--step-milliseconds', '10', ...runLog]]
    if (slot.kind === 'plain') return ['standins', ['plain', '--listen', slot.address, ...runLog]]
    const seeds = this.listSlots('gateway').flatMap(other => ['--peer-seed', `127.0.0.1:${portOf(other, 2)}`])
    return ['gateway', [
      '--name', slotNameOf(slot), '--deployment', DEPLOYMENT, '--failure-domain', `domain-${slot.number % 3 + 1}`, '--listen', slot.address, '--operator-listen', `127.0.0.1:${portOf(slot, 1)}`, '--peer-listen', `127.0.0.1:${portOf(slot, 2)}`,
      '--operator-token', CHAOS_TOKEN, '--peer-token', CHAOS_TOKEN, ...seeds, '--key-value-service', `http://127.0.0.1:${PORTS.keyValue}`, '--instance-list', `http://127.0.0.1:${PORTS.instanceList}`,
      '--drain-delay-milliseconds', '500', '--events', this._fileOf(`${slotNameOf(slot)}.jsonl`)
    ]]
  }

  private _fileOf (name: string): string {
    return join(this._folder, name)
  }

  private async _requestInstanceList (method: string, path: string, body?: object): Promise<void> {
    await fetch(`http://127.0.0.1:${PORTS.instanceList}${path}`, { method, headers: { 'content-type': 'application/json' }, body: body && JSON.stringify(body) })
  }

  private async _storeRecords (): Promise<void> {
    const { declarations } = parseRecordFile('chaos.yaml', `
{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: standard }, spec: { rank: 1, startWithinMilliseconds: 5000, answerWithinMilliseconds: 20000 } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: model }, spec: { type: model-engine, models: [model-a], pool: engine, abilities: { echoesRequestId: true, resume: true, notRunStatuses: [503] } } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: plain }, spec: { type: plain, pool: plain, abilities: { notRunStatuses: [503] } } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: model }, spec: { model: model-a, service: model, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: reads }, spec: { pathPrefix: /plain/, methods: [GET], service: plain, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: writes }, spec: { pathPrefix: /plain/, methods: [POST], service: plain, priority: standard, idempotency: non-idempotent } }
---
{ apiVersion: plumstage/v1, kind: Workspace, metadata: { name: test }, spec: { tokenDigests: [${digestToken(CHAOS_TOKEN)}] } }
`)
    const written = await this.store.write(declarations.map(({ record, storedText }) => ({ kind: 'create', key: this.store.keyOf(record.kind, record.name), value: storedText, revision: 0 })))
    if (written.isErr()) throw written.error
  }
}

export function slotNameOf (slot: ChaosSlot): string {
  return `${slot.kind}-${slot.number + 1}`
}

function portOfNumber (kind: ChaosProcessKind, number: number): number {
  if (kind === 'gateway') return PORTS.gateways + number * PORTS_PER_GATEWAY
  return (kind === 'engine' ? PORTS.engines : PORTS.plainServices) + number
}

function portOf (slot: ChaosSlot, offset: number): number {
  return portOfNumber(slot.kind, slot.number) + offset
}
