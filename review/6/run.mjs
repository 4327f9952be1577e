/**
 * Clients book over three gateways. TROUBLE=1: some of them send heads with 1,100 fields, TROUBLE=0: with 900. All heads are
 * within the limit of the configuration.
 */
import { writeFileSync } from 'node:fs'
import { Caller } from '../stand-ins-2/caller.mjs'
import { configuration } from '../stand-ins-2/configuration.mjs'
import { FRONT_PORT, Gateways } from '../stand-ins-2/gateways.mjs'
import { Store } from '../stand-ins-2/store.mjs'
import { Worker } from '../stand-ins-2/worker.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const GATEWAYS = 3
const FIELDS = TROUBLE ? 1100 : 900
const CALLERS = 6
const BOOKINGS = 20
const MAXIMUM_HEADER_BYTES = 16_384

const record = []
const started = performance.now()
const note = line => record.push(`${((performance.now() - started) / 1000).toFixed(3)} s  ${line}`)

const store = new Store()
const workers = []
/** What clients have sent and what workers have run, by id. */
const sent = new Map()
const runs = []
const outcomes = []
let gateways

async function main () {
  const storeAddress = await store.listen()
  store.put('op/config', configuration())
  for (let number = 1; number <= 3; number++) {
    const worker = await new Worker(`i-${number}`, run).listen()
    workers.push(worker)
    store.put(`servers/${worker.id}`, worker.entry('front'))
  }
  gateways = new Gateways({ storeAddress })
  await gateways.start(GATEWAYS)
  await Promise.all(Array.from({ length: CALLERS }, async (_, index) => await book(index)))
  return judge()
}

function run (request, worker) {
  const body = request.body.toString()
  runs.push({ id: request.id, body, method: request.method, target: request.target })
  note(`worker ${worker.id} runs ${request.id}: ${request.method} ${request.target}, body ${JSON.stringify(body)}`)
  request.answer(`booked ${body}`)
}

/** Every other booking has many fields; the length of the body or its chunks is stated in the last field. */
async function book (index) {
  const caller = new Caller(gateways.ipOf(1 + index % GATEWAYS), FRONT_PORT)
  await caller.open()
  for (let number = 1; number <= BOOKINGS && caller.isOpen; number++) {
    const id = `c${index}-${number}`
    const body = `slot ${index}-${number}`
    const many = number % 2 === 0
    const fields = many ? Object.fromEntries(Array.from({ length: FIELDS }, (_, field) => [`X${field.toString(36)}`, '1'])) : {}
    const framing = number % 4 < 2 ? { 'Content-Length': String(body.length) } : { 'Transfer-Encoding': 'chunked' }
    const bytes = 'Content-Length' in framing ? body : `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    const headBytes = Object.entries(fields).reduce((sum, [name, value]) => sum + name.length + value.length + 4, 300)
    if (headBytes > MAXIMUM_HEADER_BYTES) throw new Error('The head is larger than the limit.')
    sent.set(id, { method: 'POST', target: '/page/x', body })
    const answer = await caller.send({ id, method: 'POST', path: '/page/x', headers: { ...fields, ...framing }, payload: bytes })
    note(`client of ${id}: ${many ? `${FIELDS} further fields, about ${headBytes} bytes of head` : 'few fields'}, sent ${JSON.stringify(body)}; ${answer.end}, status ${answer.status}, ${JSON.stringify(answer.body)}`)
    outcomes.push({ id, status: answer.status })
  }
  caller.close()
}

function judge () {
  const changed = runs.filter(({ id, body, method, target }) => sent.get(id)?.body !== body || sent.get(id).method !== method || sent.get(id).target !== target)
  const confirmed = changed.filter(({ id }) => outcomes.some(outcome => outcome.id === id && outcome.status === 200))
  note(`${sent.size} bookings sent, ${runs.length} run, ${outcomes.filter(({ status }) => status === 200).length} answered 200`)
  note(`run with another body than the client's: ${changed.length}, of which ${confirmed.length} were answered 200; allowed 0`)
  if (!TROUBLE && outcomes.length < CALLERS * BOOKINGS) throw new Error('The calm run was not calm.')
  return changed.length > 0 ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  note(`could not run: ${error.stack}`)
} finally {
  await gateways?.stop()
  for (const worker of workers) worker.close()
  store.close()
  note(code === 1 ? 'UNASKED is broken' : code === 0 ? 'UNASKED holds' : 'not run')
  writeFileSync(new URL('record.txt', import.meta.url), record.join('\n') + '\n')
  process.exit(code)
}
