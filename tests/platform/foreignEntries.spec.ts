import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'

const GATEWAYS = 3
const REQUESTS_PER_SECOND = 60
const SEED = 49
const LOAD_MILLISECONDS = 9000
const ENTRY_INTERVAL_MILLISECONDS = 500
const OK = 200
const ENTRY = { service: 'front', address: '127.0.0.1:9', zone: 'east', version: 'v1', capacity: 6, state: 'ready', warmup_left_ms: 0, seq: 1 }
const NESTED = `${'['.repeat(100_000)}${']'.repeat(100_000)}`

/** What another writer leaves among the entries of the upstreams. */
const FOREIGN_ENTRIES = {
  'a service that is not configured': JSON.stringify({ ...ENTRY, service: 'billing' }),
  'the same, with a port out of range': JSON.stringify({ ...ENTRY, service: 'billing', address: '127.0.0.1:80800' }),
  'a port out of range': JSON.stringify({ ...ENTRY, address: '127.0.0.1:70000' }),
  'an address out of range': JSON.stringify({ ...ENTRY, address: '127.0.0.300:8080' }),
  'very deep nesting': NESTED,
  'very deep nesting in a field': JSON.stringify(ENTRY).replace('"east"', NESTED),
  'a number that is too large': JSON.stringify(ENTRY).replace('"capacity":6', '"capacity":1e400'),
  'a capacity out of all proportion': JSON.stringify({ ...ENTRY, capacity: 1e300 }),
  'a reclaim in the far future': JSON.stringify({ ...ENTRY, state: 'draining', leaves_ms: 1e300 }),
  'a version that is the name of a property of every object': JSON.stringify({ ...ENTRY, service: 'billing', version: '__proto__' }),
  'no text at all': '\u0000\ufffd'
}

describe('entries of another writer among those of the upstreams', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}, {}]) })
  after(async () => { await deployment.stop() })

  // Guards against: one odd entry ends all gateways, or keeps them from following the list.
  it('LOST: end no gateway, take no requests from the other upstreams, and hide none of them', async () => {
    const { gateways, store } = deployment
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
    const load = callers.run(LOAD_MILLISECONDS)
    for (const [index, [description, text]] of Object.entries(FOREIGN_ENTRIES).entries()) {
      store.put(`servers/foreign-${index}`, text)
      await wait(ENTRY_INTERVAL_MILLISECONDS)
      assert.deepEqual(gateways.numbers.filter(number => gateways.hasEnded(number)), [], description)
    }
    const added = await deployment.addUpstream({})
    await load
    assert.deepEqual(gateways.numbers.filter(number => gateways.hasEnded(number)), [])
    assert.ok(added.requests.length > 0, 'an upstream that comes later gets requests')
    assert.deepEqual(callers.outcomes.filter(({ status }) => status !== OK), [])
  })
})
