/**
 * Overhead of the gateway, compared in the same run with direct requests, a raw relay and a minimal pass-through proxy.
 *
 * @module
 */
import { writeFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CallContext, SystemClock } from '@plumstage/common'
import { EtcdKeyValueService, KeySpace } from '@plumstage/coordination'
import { digestToken, parseRecordFile } from '@plumstage/records'
import { runClosedLoop } from './closedLoop.js'
import type { ClosedLoopResult, RepeatedRequest } from './closedLoop.js'
import { ProcessGroup } from './processGroup.js'
import type { MeasuredProcess } from './processGroup.js'

const TOKEN = 'token-of-the-measurement'
const PORTS = { keyValue: 21001, engine: 21002, plain: 21003, gateway: 21010, operators: 21011, peers: 21012, passThrough: 21020, rawRelay: 21030 }
const CONFIGURATION_WAIT_MILLISECONDS = 1000
const CONCURRENT_CALLERS = 32
const CONCURRENT_STREAMS = 175
const TOKENS_PER_STREAM = 300
const TOKEN_INTERVAL_MILLISECONDS = 35

/** Results of one target in one round. */
export interface OverheadRow {
  target: string
  load: string
  requestsPerSecond: number
  medianMilliseconds: number
  p99Milliseconds: number
  failures: number
  /** Processor time of the target per request, in microseconds. */
  processorMicrosecondsPerRequest: number
  /** Processor time of the target per streamed event, in microseconds; 0 if nothing was streamed. */
  processorMicrosecondsPerEvent: number
  memoryMegabytes: number
}

/** Duration of one round, and rounds per load and target. */
export interface OverheadOptions {
  seconds: number
  rounds: number
}

type LoadKind = 'plain' | 'whole' | 'stream'

/** An address that accepts requests for an upstream, with the process whose processor time and memory are measured. */
interface MeasuredEndpoint {
  address: string
  process: MeasuredProcess
}

interface Target {
  name: string
  plain: MeasuredEndpoint
  engine: MeasuredEndpoint
}

/** For each load, measures all targets in turn, once per round. */
export async function measureOverhead (options: OverheadOptions): Promise<OverheadRow[]> {
  const group = ProcessGroup.create()
  const folder = await mkdtemp(join(tmpdir(), 'plumstage-overhead-'))
  try {
    const targets = await startTargets(group, join(folder, 'events.jsonl'))
    const rows: OverheadRow[] = []
    for (const load of ['plain', 'whole', 'stream'] as const) {
      // Warm-up; the results are discarded.
      for (const target of targets) await runLoad(target, load, 1)
      for (let round = 0; round < options.rounds; round++) {
        for (const target of targets) rows.push(await runLoad(target, load, options.seconds))
      }
    }
    return rows
  } finally {
    await group.stop()
    await rm(folder, { recursive: true })
  }
}

async function startTargets (group: ProcessGroup, events: string): Promise<Target[]> {
  const engineAddress = `127.0.0.1:${PORTS.engine}`
  const plainAddress = `127.0.0.1:${PORTS.plain}`
  await group.start('key-value', 'standins', ['key-value', '--listen', `127.0.0.1:${PORTS.keyValue}`])
  const engine = await group.start('engine', 'standins', ['engine', '--listen', engineAddress, '--model', 'model-a', '--maximum-running', '400', '--step-milliseconds', String(TOKEN_INTERVAL_MILLISECONDS), '--prefill-tokens-per-second', '1000000'])
  const plain = await group.start('plain', 'standins', ['plain', '--listen', plainAddress])
  await storeRecords(engineAddress, plainAddress)
  const gateway = await group.start('gateway', 'gateway', [
    '--listen', `127.0.0.1:${PORTS.gateway}`, '--operator-listen', `127.0.0.1:${PORTS.operators}`, '--peer-listen', `127.0.0.1:${PORTS.peers}`,
    '--operator-token', TOKEN, '--peer-token', TOKEN, '--key-value-service', `http://127.0.0.1:${PORTS.keyValue}`, '--events', events
  ])
  await new Promise(resolve => setTimeout(resolve, CONFIGURATION_WAIT_MILLISECONDS))
  const gatewayEndpoint = { address: `127.0.0.1:${PORTS.gateway}`, process: gateway }
  return [
    { name: 'direct', plain: { address: plainAddress, process: plain }, engine: { address: engineAddress, process: engine } },
    { name: 'raw relay', plain: await startProxy(group, 'raw-relay', PORTS.rawRelay, plainAddress), engine: await startProxy(group, 'raw-relay', PORTS.rawRelay + 1, engineAddress) },
    { name: 'pass-through', plain: await startProxy(group, 'pass-through', PORTS.passThrough, plainAddress), engine: await startProxy(group, 'pass-through', PORTS.passThrough + 1, engineAddress) },
    { name: 'gateway', plain: gatewayEndpoint, engine: gatewayEndpoint }
  ]
}

async function startProxy (group: ProcessGroup, program: 'raw-relay' | 'pass-through', port: number, upstream: string): Promise<MeasuredEndpoint> {
  return { address: `127.0.0.1:${port}`, process: await group.start(program, program, [String(port), upstream]) }
}

async function runLoad (target: Target, load: LoadKind, seconds: number): Promise<OverheadRow> {
  const { address, process } = load === 'plain' ? target.plain : target.engine
  const processorBefore = process.readProcessorTime()
  const result = await runClosedLoop(address, createRequest(load), load === 'stream' ? CONCURRENT_STREAMS : CONCURRENT_CALLERS, seconds)
  return createRow(target.name, load, result, process.readProcessorTime() - processorBefore, process.readMemory())
}

function createRequest (load: LoadKind): RepeatedRequest {
  const headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' }
  if (load === 'plain') return { method: 'GET', path: '/wiki/page', headers }
  const tokens = load === 'stream' ? TOKENS_PER_STREAM : 1
  return { method: 'POST', path: '/v1/chat/completions', headers, body: JSON.stringify({ model: 'model-a', stream: load === 'stream', max_tokens: tokens, messages: [{ role: 'user', content: 'Where is my order?' }] }) }
}

function createRow (target: string, load: string, result: ClosedLoopResult, processorTime: number, memory: number): OverheadRow {
  return {
    target,
    load,
    requestsPerSecond: result.requests / result.seconds,
    medianMilliseconds: result.median,
    p99Milliseconds: result.p99,
    failures: result.failures,
    processorMicrosecondsPerRequest: processorTime / result.requests,
    processorMicrosecondsPerEvent: result.events > 0 ? processorTime / result.events : 0,
    memoryMegabytes: memory / 1024 / 1024
  }
}

async function storeRecords (engineAddress: string, plainAddress: string): Promise<void> {
  const { declarations } = parseRecordFile('overhead.yaml', `
{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: standard }, spec: { rank: 0, startWithinMilliseconds: 30000 } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: model }, spec: { type: model-engine, models: [model-a], concurrencyPerUpstream: 400, upstreams: [{ address: "${engineAddress}", failureDomain: local }], abilities: { echoesRequestId: true, resume: true } } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: wiki }, spec: { type: plain, concurrencyPerUpstream: 400, upstreams: [{ address: "${plainAddress}", failureDomain: local }] } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: model }, spec: { model: model-a, service: model, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: wiki }, spec: { pathPrefix: /wiki/, service: wiki, priority: standard, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Workspace, metadata: { name: measurement }, spec: { tokenDigests: [${digestToken(TOKEN)}] } }
`)
  const clock = SystemClock.create()
  const keySpace = KeySpace.create('default')
  const service = EtcdKeyValueService.create([`http://127.0.0.1:${PORTS.keyValue}`], clock)
  const context = CallContext.create(clock)
  const result = await service.transact(context, {
    conditions: [],
    onSuccess: declarations.map(({ record, storedText }) => ({ kind: 'put' as const, key: keySpace.recordKey(record.kind, record.name), value: storedText })),
    onFailure: []
  })
  if (result.isErr()) throw result.error
}

/** Writes the rows as JSON, so that a later run can be compared with them. */
export async function writeOverheadReport (file: string, rows: readonly OverheadRow[]): Promise<void> {
  await writeFile(file, JSON.stringify(rows, undefined, 2) + '\n')
}
