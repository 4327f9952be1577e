import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond } from './support/upstreamStandin.js'

const GATEWAYS = 6
const UPSTREAMS = 10
const LEAVING = 3
const REQUESTS_PER_SECOND = 60
const SEED = 31
const BEFORE_MILLISECONDS = 2000
/** A request that was sent later than this after a gateway has passed on the statement may not reach the upstream. */
const DRAIN_MILLISECONDS = 2000
const LOAD_MILLISECONDS = 8000
const OK = 200

/** An upstream that leaves says so in its responses. */
describe('upstreams that state in their responses that they are leaving', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(GATEWAYS, Array.from({ length: UPSTREAMS }, () => ({}))) })
  after(async () => { await deployment.stop() })

  const whileStoreIsDown = 'DRAIN: get no new requests from a gateway that has passed this on, while the store is down'
  // Guards against: leaving upstreams get new work while the store, which would say so too, is down.
  it(whileStoreIsDown, knownRed(whileStoreIsDown), async () => {
    const { gateways, store, upstreams } = deployment
    const statedAt = new Map<string, number>()
    const late: string[] = []
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
    const load = callers.run(LOAD_MILLISECONDS)
    await wait(BEFORE_MILLISECONDS)
    store.fault = 'busy'
    for (const upstream of upstreams.slice(0, LEAVING)) {
      upstream.script = (request, standin) => {
        const key = `${upstream.id} ${request.headers.get('x-gateway')}`
        const first = statedAt.get(key) ?? Date.now()
        statedAt.set(key, first)
        if (Date.now() > first + DRAIN_MILLISECONDS) late.push(key)
        respond('ok', '200 OK', 'Server-Leaving: 1\r\n')(request, standin)
      }
    }
    await load
    store.fault = 'none'
    assert.equal(statedAt.size, GATEWAYS * LEAVING, 'all gateways have heard it of each of them')
    assert.deepEqual(late, [])
    assert.ok(callers.outcomes.filter(({ status }) => status === OK).length >= 0.98 * callers.outcomes.length)
  })
})
