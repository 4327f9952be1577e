/**
 * One client estimates the length of an answer far too high. Other clients send short requests on kept connections through
 * the same gateways.
 *
 * @module
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createAgent, createAttemptId, send } from '../support/caller.mjs'
import { Gateways, sleep } from '../support/gateways.mjs'
import { createRecord, runCase } from '../support/record.mjs'
import { AUTHORIZATION, configuration, route } from '../support/site.mjs'
import { Store } from '../support/store.mjs'
import { Worker } from '../support/worker.mjs'

const GATEWAYS = 3
const PAGE_CLIENTS_PER_GATEWAY = 12
const PAGE_WORK_MILLISECONDS = 60
/** More requests than this break the rule. */
const TOLERATED_LOSSES = 3
const DEADLINE_MILLISECONDS = 4000
const CALM_MILLISECONDS = 3000
/** Time between two requests of the client that estimates; each goes to the next gateway. */
const ESTIMATE_INTERVAL_MILLISECONDS = 4000
const EVENTS = 8
const EVENT_MILLISECONDS = 30
/** The client's estimate of the number of output tokens. */
const SOUND_ESTIMATE = 25
const FAR_OFF_ESTIMATE = 20_000_000_000

/** Whether the case runs with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const record = createRecord(dirname(fileURLToPath(import.meta.url)), hasTrouble)
const store = new Store()
const gateways = new Gateways({ count: GATEWAYS, store, record })
const workers = []
const runs = new Set()
const page = Buffer.alloc(800, 'p')
const state = { isOver: false, ends: 0, answered: 0 }

function servePage (request, worker) {
  runs.add(request.attempt)
  setTimeout(() => {
    request.write(`${worker.headOf(request)}Content-Length: ${page.length}\r\n\r\n${page}`)
    request.finish()
  }, PAGE_WORK_MILLISECONDS)
}

function serveStream (request, worker) {
  request.write(`${worker.headOf(request)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
  let id = 0
  const timer = setInterval(() => {
    if (id === EVENTS) {
      clearInterval(timer)
      request.write('0\r\n\r\n')
      return request.finish()
    }
    const text = `id: ${++id}\ndata: text ${id}\n\n`
    request.write(`${text.length.toString(16)}\r\n${text}\r\n`)
  }, EVENT_MILLISECONDS)
}

async function startWorker (service, serve) {
  const worker = new Worker({ service, slots: 64, store, serve, record: () => {} })
  workers.push(worker)
  await worker.start('127.0.0.1')
}

/** Notes the processes that end by themselves. */
async function watchProcess (number) {
  await gateways.waitForEnd(number)
  if (state.isOver) return
  state.ends++
  for (const line of gateways.linesOf(number).filter(text => /Error/.test(text) && text.length < 200).slice(0, 2)) record('log', { gateway: number, line })
}

/** Sends short requests on a kept connection until one stays without an answer; returns it if a worker has run it. */
async function loadPages (number) {
  const agent = createAgent(1)
  const lost = []
  while (!state.isOver) {
    const attempt = createAttemptId()
    const { status, outcome } = await send({ host: gateways.hostOf(number), port: gateways.ports.front, path: '/page/home', headers: AUTHORIZATION, body: 'x', attempt, deadline: DEADLINE_MILLISECONDS, agent })
    if (status === 200) state.answered++
    else record('unanswered', { gateway: number, attempt, status, outcome, hasRun: runs.has(attempt) })
    if (status === 0 && outcome === 'closed' && runs.has(attempt)) lost.push(attempt)
    if (status === 0) break
  }
  agent.destroy()
  return lost
}

/** Asks for a summary; the request is small and proper but for the estimate. */
async function askForSummary (number, estimate) {
  const { status, body, isComplete } = await send({
    host: gateways.hostOf(number),
    port: gateways.ports.front,
    path: '/summary/page',
    headers: { ...AUTHORIZATION, 'plumstage-model': 'm', 'plumstage-token-count': '200,24', 'plumstage-prompt-prefix': '5c1e07a2:100,e4402b7d:100', 'plumstage-length-hint': String(estimate) },
    body: 'page',
    deadline: DEADLINE_MILLISECONDS
  })
  record('summary-asked', { gateway: number, estimate, status, events: body.toString().split('\n\n').length - 1, complete: isComplete })
}

await runCase(record, async () => {
  await store.start('127.0.0.1', 0)
  store.write('op/config', configuration({
    routes: [
      route({ name: 'page-summary', prefix: '/summary/', type: 'streaming', service: 'model-pool', timeout: DEADLINE_MILLISECONDS, gap_objective_ms: 300, resumable: false }),
      route({ name: 'page-load', prefix: '/page/', type: 'non_idempotent', service: 'wiki-front', timeout: DEADLINE_MILLISECONDS })
    ],
    services: [{ name: 'model-pool', engine: { capacity: 64, kv_capacity: 344095, models: [{ name: 'm' }] } }, { name: 'wiki-front' }]
  }))
  for (let count = 0; count < 3; count++) {
    await startWorker('model-pool', serveStream)
    await startWorker('wiki-front', servePage)
  }
  await gateways.start()
  await sleep(1500)
  for (const number of gateways.numbers) watchProcess(number)
  const pages = gateways.numbers.flatMap(number => Array.from({ length: PAGE_CLIENTS_PER_GATEWAY }, async () => await loadPages(number)))
  await sleep(CALM_MILLISECONDS)
  for (const number of gateways.numbers) {
    await askForSummary(number, hasTrouble ? FAR_OFF_ESTIMATE : SOUND_ESTIMATE)
    await sleep(ESTIMATE_INTERVAL_MILLISECONDS)
  }
  state.isOver = true
  const lost = (await Promise.all(pages)).flat()
  record('summary', { answered: state.answered, ends: state.ends, lost: lost.length })
  if (lost.length <= TOLERATED_LOSSES) return []
  return [`LOST: ${lost.length} requests from kept connections were passed on to sound workers, and their connections were closed without an answer; ${state.ends} processes ended by themselves`]
}, async () => {
  await gateways.stop()
  for (const worker of workers) worker.stop()
  store.stop()
})
