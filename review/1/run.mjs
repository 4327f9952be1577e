/**
 * Another writer puts one entry among those of the workers: of a service that the configuration doesn't name, with an
 * address that can't be read as one.
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
const WORKERS = 3
/** Clients of each gateway; they send a request at the same time, and pause when all are answered. */
const CLIENTS_PER_GATEWAY = 8
const WORK_MILLISECONDS = 600
const DEADLINE_MILLISECONDS = 3000
const CALM_MILLISECONDS = 5000
const DURATION_MILLISECONDS = 20_000
/** Time after which the platform starts a process again that has ended. */
const RESTART_MILLISECONDS = 1000
/** Longest pause between two rounds. */
const PAUSE_MILLISECONDS = 1000
/** More requests than this break the rule. */
const TOLERATED_LOSSES = 3
const FOREIGN_KEY = 'servers/billing-4711'
const FOREIGN_ENTRY = { service: 'billing', address: '127.0.0.1:80800', zone: 'zona-4', version: 'v1', capacity: 6, state: 'ready', warmup_left_ms: 0, seq: 1 }

/** Whether the case runs with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const record = createRecord(dirname(fileURLToPath(import.meta.url)), hasTrouble)
const store = new Store()
const gateways = new Gateways({ count: GATEWAYS, store, record })
const workers = []
const runs = new Set()
const page = Buffer.alloc(800, 'p')
const state = { isOver: false, ends: 0, answered: 0, unanswered: 0 }

function serve (request, worker) {
  runs.add(request.attempt)
  setTimeout(() => {
    request.write(`${worker.headOf(request)}Content-Length: ${page.length}\r\n\r\n${page}`)
    request.finish()
  }, WORK_MILLISECONDS)
}

/** Starts a process again whenever it has ended by itself. */
async function keepRunning (number) {
  while (!state.isOver) {
    await gateways.waitForEnd(number)
    if (state.isOver) return
    state.ends++
    for (const line of gateways.linesOf(number).filter(text => /Error/.test(text)).slice(0, 2)) record('log', { gateway: number, line })
    await sleep(RESTART_MILLISECONDS)
    if (!state.isOver) await gateways.startOne(number)
  }
}

/** Sends one request of each client at the same time, round after round; returns those that ran and whose connection ended without an answer. */
async function sendRounds (number) {
  const agents = Array.from({ length: CLIENTS_PER_GATEWAY }, () => createAgent(1))
  const lost = []
  while (!state.isOver) {
    const answers = await Promise.all(agents.map(async agent => await sendOne(number, agent)))
    lost.push(...answers.filter(({ attempt, status, outcome }) => status === 0 && outcome === 'closed' && runs.has(attempt)))
    await sleep(PAUSE_MILLISECONDS * Math.random())
  }
  for (const agent of agents) agent.destroy()
  return lost
}

async function sendOne (number, agent) {
  const answer = await send({ host: gateways.hostOf(number), port: gateways.ports.front, path: '/page/home', headers: AUTHORIZATION, body: 'note', attempt: createAttemptId(), deadline: DEADLINE_MILLISECONDS, agent })
  if (answer.status === 200) state.answered++
  else state.unanswered++
  if (answer.status !== 200) record('unanswered', { gateway: number, attempt: answer.attempt, status: answer.status, outcome: answer.outcome, hasRun: runs.has(answer.attempt) })
  return answer
}

await runCase(record, async () => {
  await store.start('127.0.0.1', 0)
  store.write('op/config', configuration({
    routes: [route({ name: 'page-load', prefix: '/page/', type: 'non_idempotent', service: 'wiki-front', timeout: DEADLINE_MILLISECONDS })],
    services: [{ name: 'wiki-front' }]
  }))
  for (let number = 0; number < WORKERS; number++) {
    const worker = new Worker({ service: 'wiki-front', store, slots: 24, serve, record: () => {} })
    workers.push(worker)
    await worker.start('127.0.0.1')
  }
  await gateways.start()
  await sleep(1500)
  for (const number of gateways.numbers) keepRunning(number)
  const rounds = gateways.numbers.map(async number => await sendRounds(number))
  await sleep(CALM_MILLISECONDS)
  record('calm', { answered: state.answered, unanswered: state.unanswered, ends: state.ends })
  if (hasTrouble) {
    store.write(FOREIGN_KEY, FOREIGN_ENTRY)
    record('foreign-entry', { key: FOREIGN_KEY, service: FOREIGN_ENTRY.service, address: FOREIGN_ENTRY.address })
  }
  await sleep(DURATION_MILLISECONDS)
  state.isOver = true
  const lost = (await Promise.all(rounds)).flat()
  record('summary', { answered: state.answered, unanswered: state.unanswered, ends: state.ends, lost: lost.length })
  if (lost.length <= TOLERATED_LOSSES) return []
  return [`LOST: ${lost.length} requests from kept connections were passed on to sound workers, and their connections were closed without an answer; ${state.ends} processes ended by themselves`]
}, async () => {
  await gateways.stop()
  for (const worker of workers) worker.stop()
  store.stop()
})
