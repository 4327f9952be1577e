/**
 * Cost of control traffic for a gateway that serves no requests, as a function of the number of peers, of upstreams and
 * of configuration changes per second.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { CallContext, SystemClock } from '@plumstage/common'
import { EtcdKeyValueService, KeySpace } from '@plumstage/coordination'
import type { KeyValueService } from '@plumstage/coordination'
import { fitLine } from './linearFit.js'
import type { LinearFit } from './linearFit.js'
import { ProcessGroup } from './processGroup.js'
import type { MeasuredProcess } from './processGroup.js'

const TOKEN = 'token-of-the-measurement'
const KEY_VALUE_PORT = 22001
const CONTROL_PORT = 22002
const FIRST_GATEWAY_PORT = 22100
const PORTS_PER_GATEWAY = 3
const SETTLE_MILLISECONDS = 4000
const MEBIBYTE = 1024 * 1024
const MILLISECONDS_PER_SECOND = 1000

/** The independent variable of a series of points. */
export type SlopeVariable = 'peers' | 'upstreams' | 'changes/s'

/** Measurement at one value of the variable: the mean over all gateways, unless a field says otherwise. */
export interface SlopePoint {
  variable: SlopeVariable
  value: number
  /** Processor time in microseconds per second. */
  processorMicrosecondsPerSecond: number
  /** Bytes read and written on all sockets per second. */
  bytesPerSecond: number
  memoryMegabytes: number
  /** Requests of all gateways to the key-value service per second. */
  keyValueRequestsPerSecond: number
  /** Watches of all gateways that are open at the key-value service. */
  watches: number
}

/** A configuration record in its stored form. */
interface StoredDocument {
  apiVersion: string
  kind: 'Service' | 'Priority'
  metadata: { name: string }
  spec: object
}

interface SlopeParameters {
  gateways: number
  upstreams: number
  changesPerSecond: number
}

const DEFAULT_PARAMETERS: SlopeParameters = { gateways: 3, upstreams: 8, changesPerSecond: 0 }
const GATEWAY_COUNTS = [3, 6, 12, 24, 48]
const UPSTREAM_COUNTS = [8, 80, 400, 800]
const CHANGE_RATES = [0, 2, 5, 10]

/** Measures all points one after another, each for `seconds` and with newly started processes. */
export async function measureControlSlopes (seconds: number, log: (line: string) => void): Promise<SlopePoint[]> {
  const points: SlopePoint[] = []
  const add = async (variable: SlopeVariable, value: number, parameters: Partial<SlopeParameters>): Promise<void> => {
    const point = await measurePoint(variable, value, { ...DEFAULT_PARAMETERS, ...parameters }, seconds)
    log(formatPoint(point))
    points.push(point)
  }
  for (const gateways of GATEWAY_COUNTS) await add('peers', gateways - 1, { gateways })
  for (const upstreams of UPSTREAM_COUNTS) await add('upstreams', upstreams, { upstreams })
  for (const changesPerSecond of CHANGE_RATES) await add('changes/s', changesPerSecond, { changesPerSecond })
  return points
}

/** Returns two Markdown tables: the measured points and the lines fitted through them. */
export function summarizeSlopes (points: readonly SlopePoint[]): string {
  const lines = ['| variable | value | µs CPU/s | bytes/s | MB | key-value requests/s (all gateways) | watches |', '|---|---|---|---|---|---|---|', ...points.map(formatPoint), '', '| variable | µs CPU/s per unit | bytes/s per unit | MB per unit | base µs CPU/s | base bytes/s | base MB | largest residuals |', '|---|---|---|---|---|---|---|---|']
  for (const variable of ['peers', 'upstreams', 'changes/s'] as const) lines.push(formatFits(variable, points.filter(point => point.variable === variable)))
  return lines.join('\n')
}

async function measurePoint (variable: SlopeVariable, value: number, parameters: SlopeParameters, seconds: number): Promise<SlopePoint> {
  const group = ProcessGroup.create()
  try {
    await group.start('key-value', 'standins', ['key-value', '--listen', `127.0.0.1:${KEY_VALUE_PORT}`, '--control-listen', `127.0.0.1:${CONTROL_PORT}`])
    const clock = SystemClock.create()
    const service = EtcdKeyValueService.create([`http://127.0.0.1:${KEY_VALUE_PORT}`], clock)
    const context = CallContext.create(clock)
    await storeService(service, context, parameters.upstreams)
    const gateways = await startGateways(group, parameters.gateways)
    await sleep(SETTLE_MILLISECONDS)
    const changeTimer = parameters.changesPerSecond > 0 ? setInterval(() => void storeChangedPriority(service, context), MILLISECONDS_PER_SECOND / parameters.changesPerSecond) : undefined
    const point = await measureGateways(variable, value, gateways, seconds)
    clearInterval(changeTimer)
    context.cancel('shutdown')
    return point
  } finally {
    await group.stop()
  }
}

async function startGateways (group: ProcessGroup, count: number): Promise<MeasuredProcess[]> {
  const portOf = (index: number, offset: number): number => FIRST_GATEWAY_PORT + index * PORTS_PER_GATEWAY + offset
  const gateways: MeasuredProcess[] = []
  for (let index = 0; index < count; index++) {
    const seeds = index === 0 ? [] : ['--peer-seed', `127.0.0.1:${portOf(0, 2)}`]
    gateways.push(await group.start(`gateway-${index}`, 'gateway', [
      '--name', `gateway-${index}`, '--listen', `127.0.0.1:${portOf(index, 0)}`, '--operator-listen', `127.0.0.1:${portOf(index, 1)}`, '--peer-listen', `127.0.0.1:${portOf(index, 2)}`,
      '--operator-token', TOKEN, '--peer-token', TOKEN, '--key-value-service', `http://127.0.0.1:${KEY_VALUE_PORT}`, ...seeds
    ]))
  }
  return gateways
}

async function measureGateways (variable: SlopeVariable, value: number, gateways: readonly MeasuredProcess[], seconds: number): Promise<SlopePoint> {
  const processorBefore = sum(gateways, gateway => gateway.readProcessorTime())
  const bytesBefore = sum(gateways, readTransferredBytes)
  const countsBefore = await readKeyValueCounts()
  await sleep(seconds * MILLISECONDS_PER_SECOND)
  const countsAfter = await readKeyValueCounts()
  const perGatewaySecond = gateways.length * seconds
  return {
    variable,
    value,
    processorMicrosecondsPerSecond: (sum(gateways, gateway => gateway.readProcessorTime()) - processorBefore) / perGatewaySecond,
    bytesPerSecond: (sum(gateways, readTransferredBytes) - bytesBefore) / perGatewaySecond,
    memoryMegabytes: sum(gateways, gateway => gateway.readMemory()) / gateways.length / MEBIBYTE,
    keyValueRequestsPerSecond: (countsAfter.reads + countsAfter.writes - countsBefore.reads - countsBefore.writes) / seconds,
    watches: countsAfter.watches
  }
}

/** Bytes that a process has read and written. A gateway without an events file writes only to sockets. */
function readTransferredBytes (process: MeasuredProcess): number {
  const text = readFileSync(`/proc/${process.pid}/io`, 'utf8')
  return Number(/rchar: (\d+)/.exec(text)?.[1]) + Number(/wchar: (\d+)/.exec(text)?.[1])
}

async function readKeyValueCounts (): Promise<{ reads: number, writes: number, watches: number }> {
  const response = await request(`http://127.0.0.1:${CONTROL_PORT}/standin/counts`)
  return await response.body.json() as { reads: number, writes: number, watches: number }
}

async function storeService (service: KeyValueService, context: CallContext, upstreams: number): Promise<void> {
  const addresses = Array.from({ length: upstreams }, (_, index) => ({ address: `10.${index >> 8}.${index & 255}.1:9000`, failureDomain: `domain-${index % 3}`, instanceClass: 'standard' }))
  await storeRecord(service, context, { apiVersion: 'plumstage/v1', kind: 'Service', metadata: { name: 'model' }, spec: { type: 'model-engine', models: ['model-a'], upstreams: addresses } })
}

async function storeChangedPriority (service: KeyValueService, context: CallContext): Promise<void> {
  await storeRecord(service, context, { apiVersion: 'plumstage/v1', kind: 'Priority', metadata: { name: 'changing' }, spec: { rank: 1, startWithinMilliseconds: 1 + Math.floor(performance.now()) } })
}

async function storeRecord (service: KeyValueService, context: CallContext, record: StoredDocument): Promise<void> {
  const key = KeySpace.create('default').recordKey(record.kind, record.metadata.name)
  await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key, value: JSON.stringify(record) }], onFailure: [] })
}

function formatPoint (point: SlopePoint): string {
  return `| ${point.variable} | ${point.value} | ${point.processorMicrosecondsPerSecond.toFixed(0)} | ${point.bytesPerSecond.toFixed(0)} | ${point.memoryMegabytes.toFixed(1)} | ${point.keyValueRequestsPerSecond.toFixed(1)} | ${point.watches} |`
}

function formatFits (variable: SlopeVariable, points: readonly SlopePoint[]): string {
  const fits: LinearFit[] = (['processorMicrosecondsPerSecond', 'bytesPerSecond', 'memoryMegabytes'] as const).map(metric => fitLine(points.map(point => ({ x: point.value, y: point[metric] }))))
  const cells = [...fits.map(fit => fit.slope.toFixed(3)), ...fits.map(fit => fit.intercept.toFixed(1)), fits.map(fit => fit.largestResidual.toFixed(2)).join(', ')]
  return `| ${variable} | ${cells.join(' | ')} |`
}

function sum (processes: readonly MeasuredProcess[], read: (process: MeasuredProcess) => number): number {
  return processes.reduce((total, process) => total + read(process), 0)
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}
