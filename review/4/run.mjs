/**
 * A worker fails part of its requests after it has run them, and answers them with 503 without saying that they have not
 * run. Clients repeat requests that were answered 503, as that status promises that they have not run.
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

const GATEWAYS = 2
const WORKERS = 3
const CLIENTS = 12
const WORK_MILLISECONDS = 20
const DEADLINE_MILLISECONDS = 600
const FAILING_SHARE = 0.45
const CALM_MILLISECONDS = 3000
const FAILING_MILLISECONDS = 4000
const SERVICE_UNAVAILABLE = 503
const REFUSALS = [408, 421, 429, SERVICE_UNAVAILABLE]

/** Whether the case runs with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const record = createRecord(dirname(fileURLToPath(import.meta.url)), hasTrouble)
const store = new Store()
const gateways = new Gateways({ count: GATEWAYS, store, record })
const workers = []
/** Workers that have run an attempt. */
const runs = new Map()
/** How often the work that a client wants done once was done. */
const done = new Map()
const refused = []
const state = { isOver: false, isFailing: false }
const page = Buffer.alloc(800, 'p')

function serve (request, worker, isFaulty) {
  const { attempt } = request
  runs.set(attempt, [...runs.get(attempt) ?? [], worker.id])
  setTimeout(() => {
    const note = request.body.toString()
    done.set(note, (done.get(note) ?? 0) + 1)
    if (isFaulty && state.isFailing && Math.random() < FAILING_SHARE) {
      record('worker-fails', { attempt, worker: worker.id, note })
      request.write(`${worker.headOf(request, '503 Service Unavailable')}Content-Length: 0\r\n\r\n`)
    } else {
      request.write(`${worker.headOf(request)}Content-Length: ${page.length}\r\n\r\n${page}`)
    }
    request.finish()
  }, WORK_MILLISECONDS)
}

/** Sends a request, and once more after a status that promises that it has not run. */
async function saveNote (number, note, agent) {
  for (let tries = 0; tries < 2; tries++) {
    const attempt = createAttemptId()
    const { status } = await send({ host: gateways.hostOf(number), port: gateways.ports.front, path: '/page/save', headers: AUTHORIZATION, body: note, attempt, deadline: DEADLINE_MILLISECONDS, agent })
    if (!REFUSALS.includes(status)) return
    refused.push({ attempt, status })
    record('refused', { attempt, status, note, runs: (runs.get(attempt) ?? []).join(',') })
  }
}

async function saveNotes (number, client) {
  const agent = createAgent(1)
  for (let count = 0; !state.isOver; count++) {
    await saveNote(number, `note ${client}-${count}`, agent)
    await sleep(40 * Math.random())
  }
  agent.destroy()
}

await runCase(record, async () => {
  await store.start('127.0.0.1', 0)
  store.write('op/config', configuration({
    routes: [route({ name: 'page-load', prefix: '/page/', type: 'non_idempotent', service: 'wiki-front', timeout: DEADLINE_MILLISECONDS })],
    services: [{ name: 'wiki-front' }]
  }))
  for (let number = 0; number < WORKERS; number++) {
    const worker = new Worker({ service: 'wiki-front', store, serve: (request, self) => serve(request, self, hasTrouble && number === 0), record: () => {} })
    workers.push(worker)
    await worker.start('127.0.0.1')
  }
  await gateways.start()
  await sleep(1500)
  const clients = Array.from({ length: CLIENTS }, async (_, client) => await saveNotes(1 + client % GATEWAYS, client))
  await sleep(CALM_MILLISECONDS)
  state.isFailing = true
  await sleep(FAILING_MILLISECONDS)
  state.isFailing = false
  await sleep(CALM_MILLISECONDS)
  state.isOver = true
  await Promise.all(clients)
  const broken = refused.filter(({ attempt }) => runs.has(attempt))
  const doubled = [...done.values()].filter(times => times > 1).length
  record('summary', { attempts: runs.size, refused: refused.length, refusedAndRun: broken.length, doneTwice: doubled })
  return broken.map(({ attempt, status }) => `REFUSED: attempt ${attempt} was answered ${status} and has run at ${runs.get(attempt).join(',')}`)
}, async () => {
  await gateways.stop()
  for (const worker of workers) worker.stop()
  store.stop()
})
