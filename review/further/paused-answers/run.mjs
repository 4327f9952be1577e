/**
 * Clients read large exports slowly while the workers that send them are replaced one after the other. Other clients send
 * short requests on kept connections through the same gateways.
 *
 * @module
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createAgent, send } from '../../support/caller.mjs'
import { BOUNDS, Gateways, sleep } from '../../support/gateways.mjs'
import { createRecord, runCase } from '../../support/record.mjs'
import { AUTHORIZATION, configuration, route } from '../../support/site.mjs'
import { Store } from '../../support/store.mjs'
import { Worker } from '../../support/worker.mjs'

const GATEWAYS = 2
const DURATION_MILLISECONDS = 70_000
/** Each client reads this fast. */
const BYTES_PER_SECOND = 1.5 * 1024 * 1024
const EXPORT_CLIENTS_PER_GATEWAY = 45
const SMALLEST_EXPORT_BYTES = 6 * 1024 * 1024
const EXPORT_RANGE_BYTES = 2 * 1024 * 1024
const EXPORT_WORKERS = 3
const SLOTS = 6
const EXPORT_WORK_MILLISECONDS = 2000
const RELEASE_INTERVAL_MILLISECONDS = 8000
const PAGE_CLIENTS_PER_GATEWAY = 12
const PAGE_WORK_MILLISECONDS = 60
/** More requests than this break the rule. */
const TOLERATED_LOSSES = 3
const EXPORT_DEADLINE_MILLISECONDS = 30_000
const PAGE_DEADLINE_MILLISECONDS = 3000

/** Whether the case runs with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const record = createRecord(dirname(fileURLToPath(import.meta.url)), hasTrouble)
const store = new Store()
const gateways = new Gateways({ count: GATEWAYS, store, record })
const workers = []
const runs = new Map()
const page = Buffer.alloc(800, 'p')
const largest = Buffer.alloc(SMALLEST_EXPORT_BYTES + EXPORT_RANGE_BYTES, 'x')
let exports = 0
let closingAnswers = 0
const state = { isOver: false }

/** Answers an export with a length; a worker that is leaving closes the connection after the answer. */
async function serveExport (request, worker) {
  await sleep(EXPORT_WORK_MILLISECONDS)
  exports++
  const closes = worker.state === 'draining'
  const body = largest.subarray(0, SMALLEST_EXPORT_BYTES + Math.floor(Math.random() * EXPORT_RANGE_BYTES))
  request.write(`${worker.headOf(request)}Content-Length: ${body.length}\r\n\r\n`)
  if (closes) closingAnswers++
  if (closes) return request.socket.end(body, () => request.finish())
  request.socket.write(body, () => request.finish())
}

/** Replaces the workers of the exports one after the other: the new one starts first, then the old one leaves. */
async function release () {
  const old = workers.filter(worker => worker.service === 'exports' && worker.state === 'ready')
  for (const worker of old) {
    await sleep(RELEASE_INTERVAL_MILLISECONDS)
    if (state.isOver) return
    await startWorker('exports', SLOTS, serveExport)
    worker.leave()
    record('leaving', { worker: worker.id })
    removeWhenIdle(worker)
  }
  if (!state.isOver) await release()
}

async function removeWhenIdle (worker) {
  await sleep(BOUNDS.drain_ms)
  while (!worker.isIdle && !state.isOver) await sleep(100)
  worker.stop()
  store.remove(`servers/${worker.id}`)
  workers.splice(workers.indexOf(worker), 1)
}

function servePage (request, worker) {
  runs.set(request.attempt, (runs.get(request.attempt) ?? 0) + 1)
  setTimeout(() => {
    request.write(`${worker.headOf(request)}Content-Length: ${page.length}\r\n\r\n${page}`)
    request.finish()
  }, PAGE_WORK_MILLISECONDS)
}

async function startWorker (service, slots, serve) {
  const worker = new Worker({ service, store, slots, serve, record: () => {} })
  workers.push(worker)
  await worker.start('127.0.0.1')
}

async function readExports (number) {
  while (!state.isOver) {
    const { attempt, status, body, isComplete, outcome } = await send({
      host: gateways.hostOf(number),
      port: gateways.ports.front,
      method: 'GET',
      path: '/export/all',
      headers: AUTHORIZATION,
      deadline: EXPORT_DEADLINE_MILLISECONDS,
      onChunk: (chunk, response) => {
        response.pause()
        setTimeout(() => response.resume(), chunk.length / BYTES_PER_SECOND * 1000)
      }
    })
    record('export', { gateway: number, attempt, status, bytes: body.length, complete: isComplete, outcome })
    if (status === 0) return
  }
}

/** Sends short requests on kept connections; returns those that a worker ran and whose connection ended without an answer. */
async function loadPages (number) {
  const agent = createAgent(1)
  const lost = []
  while (!state.isOver) {
    const { attempt, status, outcome } = await send({ host: gateways.hostOf(number), port: gateways.ports.front, path: '/page/home', headers: AUTHORIZATION, body: 'x', deadline: PAGE_DEADLINE_MILLISECONDS, agent })
    if (status !== 200) record('page', { gateway: number, attempt, status, outcome, runs: runs.get(attempt) ?? 0 })
    if (status === 0 && outcome === 'closed' && runs.has(attempt)) lost.push(attempt)
    if (status === 0) break
  }
  agent.destroy()
  return lost
}

await runCase(record, async () => {
  await store.start('127.0.0.1', 0)
  store.write('op/config', configuration({
    routes: [
      route({ name: 'export', prefix: '/export/', type: 'idempotent', service: 'exports', timeout: EXPORT_DEADLINE_MILLISECONDS }),
      route({ name: 'page-load', prefix: '/page/', type: 'non_idempotent', service: 'wiki-front', timeout: PAGE_DEADLINE_MILLISECONDS })
    ],
    services: [{ name: 'exports' }, { name: 'wiki-front' }]
  }))
  for (let count = 0; count < EXPORT_WORKERS; count++) await startWorker('exports', SLOTS, serveExport)
  for (let count = 0; count < 3; count++) await startWorker('wiki-front', 20, servePage)
  await gateways.start()
  await sleep(1500)
  for (const number of gateways.numbers) for (let client = 0; client < EXPORT_CLIENTS_PER_GATEWAY; client++) readExports(number)
  const pages = gateways.numbers.flatMap(number => Array.from({ length: PAGE_CLIENTS_PER_GATEWAY }, async () => await loadPages(number)))
  if (hasTrouble) release()
  const end = setTimeout(() => { state.isOver = true }, DURATION_MILLISECONDS)
  await Promise.race([sleep(DURATION_MILLISECONDS), ...gateways.numbers.map(async number => await gateways.waitForEnd(number))])
  await sleep(500)
  state.isOver = true
  clearTimeout(end)
  const lost = (await Promise.all(pages)).flat()
  for (const number of gateways.numbers) for (const line of gateways.linesOf(number).filter(text => !text.startsWith('{')).slice(0, 4)) record('log', { gateway: number, line })
  record('summary', { exports, closingAnswers, pages: runs.size, lost: lost.length })
  if (lost.length <= TOLERATED_LOSSES) return []
  return [`LOST: ${lost.length} requests from kept connections were passed on to sound workers, and their connections were closed without an answer`]
}, async () => {
  await gateways.stop()
  for (const worker of workers) worker.stop()
  store.stop()
})
