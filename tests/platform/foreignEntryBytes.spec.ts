import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { DEPLOYED_MEGABYTES } from './support/gatewayProcesses.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { formatConfiguration } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'

const GATEWAYS = 3
const REQUESTS_PER_SECOND = 60
const SEED = 62
/** Below the longest value that the store accepts. */
const LONG_BYTES = 1_000_000
const MEDIUM_BYTES = 120_000
const WRITE_INTERVAL_MILLISECONDS = 20
/** Writes pause so often, so that the watches of the gateways bring them in many responses. */
const PAUSES = 120
const LOAD_MILLISECONDS = 5000
/** All entries are read again within this time, also by a gateway that comes back. */
const CATCH_UP_MILLISECONDS = 20_000
const STEP_MILLISECONDS = 1000
const TIMEOUT_MILLISECONDS = 60_000
const OK = 200
/** Cut off from the store in the first test, paused while the entries come, killed after they have come. */
const [CUT_OFF, PAUSED, KILLED] = [1, 2, 3]
const READABLE = { service: 'billing', address: '127.0.0.1:9', zone: 'east', version: 'v1', capacity: 6, state: 'ready', warmup_left_ms: 0, seq: 1 }

/** What another writer puts into the store: how many entries, below which keys, with which values. */
const FOREIGN_ENTRIES: Record<string, { count: number, keyOf: (index: number) => string, valueOf: (index: number) => string | Buffer }> = {
  'bytes that are no text, among the entries of the upstreams': { count: 120, keyOf: index => `servers/other-${index}`, valueOf: () => randomBytes(LONG_BYTES) },
  'readable entries of a service that does not exist, with a long field': { count: 900, keyOf: index => `servers/other-${index}`, valueOf: () => JSON.stringify({ ...READABLE, remark: 'x'.repeat(MEDIUM_BYTES) }) },
  'entries among those of the gateways': { count: 120, keyOf: index => `plumstage/usage/${index}`, valueOf: () => randomBytes(LONG_BYTES) },
  'many short entries': { count: 6000, keyOf: index => `servers/other-${index}`, valueOf: index => JSON.stringify({ ...READABLE, version: `v${index}` }) },
  'one entry that is written over and over': { count: 120, keyOf: () => 'servers/other', valueOf: () => randomBytes(LONG_BYTES) },
  'versions of a configuration as long as the store accepts': { count: 60, keyOf: () => 'op/config', valueOf: index => formatConfiguration({ version: 10 + index, remark: 'x'.repeat(LONG_BYTES), tenants: [{ name: 'notaries', api_keys: ['token-of-the-notaries'], rate_per_s: 0, burst: 0 }] } as Parameters<typeof formatConfiguration>[0]) }
}

describe('large entries of another writer, in gateways with the heap of the deploy file', () => {
  let deployment: ProcessDeployment
  beforeEach(async () => { deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}], { hasDeployedHeap: true }) })
  afterEach(async () => { await deployment.stop() })

  for (const [description, { count, keyOf, valueOf }] of Object.entries(FOREIGN_ENTRIES)) {
    const title = `LOST: end no gateway and hide no upstream: ${description}`
    // Guards against: what others put into the store fills the heap of all gateways, through the watch, after a pause, at a start and through peers.
    it(title, { ...knownRed(title), timeout: TIMEOUT_MILLISECONDS }, async () => {
      const { gateways, store } = deployment
      const served = new Set(gateways.numbers.filter(number => number !== PAUSED && number !== KILLED))
      const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => [...served], target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
      const load = callers.run(LOAD_MILLISECONDS)
      store.cutSecondAddresses(true)
      gateways.signal(PAUSED, 'SIGSTOP')
      for (let index = 0; index < count; index++) {
        store.put(keyOf(index), valueOf(index))
        if (index % Math.ceil(count / PAUSES) === 0) await wait(WRITE_INTERVAL_MILLISECONDS)
      }
      gateways.signal(PAUSED, 'SIGCONT')
      gateways.signal(KILLED, 'SIGKILL')
      await gateways.start(KILLED)
      await load
      for (const number of gateways.numbers) served.add(number)
      const added = await deployment.addUpstream({})
      store.cutSecondAddresses(false)
      const listReached = (): number[] => [...new Set(added.requests.map(({ headers }) => Number(headers.get('x-gateway'))))].sort()
      for (let waited = 0; waited < CATCH_UP_MILLISECONDS && listReached().length < GATEWAYS; waited += STEP_MILLISECONDS) await callers.run(STEP_MILLISECONDS)
      assert.deepEqual(gateways.numbers.filter(number => gateways.hasEnded(number)), [], 'gateways that have ended')
      const peaks = gateways.numbers.map(number => Math.round(gateways.peakMegabytes(number)))
      assert.ok(peaks.every(megabytes => megabytes < DEPLOYED_MEGABYTES), `${peaks.join(', ')} MB`)
      assert.deepEqual(callers.outcomes.filter(({ status }) => status !== OK), [])
      assert.deepEqual(listReached(), [CUT_OFF, PAUSED, KILLED], 'gateways that use the upstream that came later')
    })
  }
})
