/**
 * TROUBLE=1: another writer puts entries beside those of the workers. The platform starts a process again a second after its end.
 */
import { randomBytes } from 'node:crypto'
import { writeFileSync } from 'node:fs'
import { Caller } from '../stand-ins-2/caller.mjs'
import { configuration } from '../stand-ins-2/configuration.mjs'
import { FRONT_PORT, Gateways } from '../stand-ins-2/gateways.mjs'
import { Store } from '../stand-ins-2/store.mjs'
import { Worker } from '../stand-ins-2/worker.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const GATEWAYS = 3
const FOREIGN_ENTRIES = 120
/** Below value_bytes, 1,048,576. */
const FOREIGN_BYTES = 1_000_000
const WRITE_INTERVAL_MILLISECONDS = 80
const RESTART_MILLISECONDS = 1000
const CALM_MILLISECONDS = 4000
const CALLING_MILLISECONDS = 26_000
const CALLERS = 8
const RUN_MILLISECONDS = 400
/** The rule allows so many. */
const ALLOWED = 3

const record = []
const started = performance.now()
const note = line => record.push(`${((performance.now() - started) / 1000).toFixed(3)} s  ${line}`)
const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

const store = new Store()
const passedOn = new Set()
const workers = []
let gateways
let ends = 0
let isOver = false

async function main () {
  const storeAddress = await store.listen()
  store.put('op/config', configuration())
  for (let number = 1; number <= 2; number++) {
    const worker = await new Worker(`i-${number}`, request => {
      passedOn.add(request.id)
      setTimeout(() => request.answer('done'), RUN_MILLISECONDS)
    }).listen()
    workers.push(worker)
    store.put(`servers/${worker.id}`, worker.entry('front'))
  }
  gateways = new Gateways({ storeAddress })
  await gateways.start(GATEWAYS)
  for (const [number, child] of gateways.children) supervise(number, child)
  const outcomes = []
  const calling = callAll(outcomes, performance.now() + CALLING_MILLISECONDS)
  await sleep(CALM_MILLISECONDS)
  if (TROUBLE) await writeForeignEntries()
  await calling
  const ready = await Promise.all([1, 2, 3].map(async number => await gateways.isReady(number)))
  isOver = true
  return judge(outcomes, ready.filter(Boolean).length)
}

async function writeForeignEntries () {
  note('another writer begins')
  for (let number = 1; number <= FOREIGN_ENTRIES; number++) {
    store.put(`servers/other-${number}`, randomBytes(FOREIGN_BYTES))
    await sleep(WRITE_INTERVAL_MILLISECONDS)
  }
  note(`another writer has written ${FOREIGN_ENTRIES} entries`)
}

/** As the platform does: a process that has ended is started again after a short delay. */
function supervise (number, child) {
  child.once('exit', (code, signal) => {
    if (isOver) return
    ends++
    note(`gateway ${number} has ended by itself: status ${code}, signal ${signal}; ${gateways.output.get(number).split('\n').filter(line => line.includes('FATAL')).at(-1) ?? ''}`)
    setTimeout(() => { if (!isOver) supervise(number, gateways.launch(number)) }, RESTART_MILLISECONDS)
  })
}

async function callAll (outcomes, endsAt) {
  const numbers = Array.from({ length: GATEWAYS * CALLERS }, (_, index) => index)
  await Promise.all(numbers.map(async index => {
    let sequence = 0
    while (performance.now() < endsAt) sequence = await callOnConnection(1 + index % GATEWAYS, index, sequence, outcomes, endsAt)
  }))
}

/** Sends requests on one kept connection until it closes. */
async function callOnConnection (gateway, index, sequence, outcomes, endsAt) {
  const caller = new Caller(gateways.ipOf(gateway), FRONT_PORT)
  await caller.open()
  for (let position = 0; performance.now() < endsAt && caller.isOpen; position++) {
    const id = `g${gateway}-c${index}-${++sequence}`
    const { status, end } = await caller.send({ id, method: 'POST', path: '/page/x', body: Buffer.from('booking') })
    outcomes.push({ id, status, end, isKept: position > 0 })
    if (end !== 'answered' || status !== 200) note(`client of ${id}: ${end}, status ${status}`)
    await sleep(50)
  }
  caller.close()
  await sleep(200)
  return sequence
}

function judge (outcomes, ready) {
  const lost = outcomes.filter(({ id, end, isKept }) => end === 'closed' && isKept && passedOn.has(id))
  note(`${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} answered 200`)
  note(`processes have ended by themselves ${ends} times; ${ready} of ${GATEWAYS} gateways are ready at the end`)
  note(`passed on to a worker from a kept connection and closed without an answer: ${lost.length}, allowed ${ALLOWED}`)
  if (!TROUBLE && outcomes.some(({ status }) => status !== 200)) throw new Error('The calm run was not calm.')
  return lost.length > ALLOWED ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  note(`could not run: ${error.stack}`)
} finally {
  isOver = true
  await gateways?.stop()
  for (const worker of workers) worker.close()
  store.close()
  note(code === 1 ? 'LOST is broken' : code === 0 ? 'LOST holds' : 'not run')
  writeFileSync(new URL('record.txt', import.meta.url), record.join('\n') + '\n')
  process.exit(code)
}
