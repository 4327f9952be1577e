import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { ArrivalLog } from '../support/arrivalLog.js'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond, streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

const UPSTREAMS = 4
const REQUESTS_PER_SECOND = 60
const LOAD_MILLISECONDS = 10_000
const SEED = 22
/** A rejection has to be sent at once. */
const REJECTION_MILLISECONDS = 250
const SERVICE_UNAVAILABLE = 503

/** Records each request; states a limit in the response if there is one. */
function recordAndRespond (log: ArrivalLog, limit: string | undefined, isStream: boolean): ResponseScript {
  const extra = limit === undefined ? '' : `Server-Limit: ${limit}\r\n`
  return (request, upstream) => {
    const gateway = request.headers.get('x-gateway') ?? ''
    log.record(gateway, Date.now())
    if (limit !== undefined) log.recordStatement(gateway, Date.now())
    const script = isStream ? streamEvents(1, 3, 'end', extra) : respond('ok', '200 OK', extra)
    script(request, upstream)
  }
}

describe('request limits of upstreams while gateways fail', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(5, Array.from({ length: UPSTREAMS }, () => ({}))) })
  after(async () => await deployment.stop())

  // Guards against: shares of killed, frozen, restarted and cut-off gateways are used by others and by themselves.
  it('LIMIT: gateways keep the limit while some are killed, frozen, restarted and cut off from the store', async () => {
    const { gateways, store } = deployment
    const logs = deployment.upstreams.map(() => ArrivalLog.create())
    for (const [index, upstream] of deployment.upstreams.entries()) upstream.script = recordAndRespond(logs[index], index === 0 ? '1' : undefined, false)
    const serving = new Set(gateways.numbers)
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => [...serving], target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
    const load = callers.run(14_000)
    await wait(5000)
    for (const [killed, frozen] of [[1, 2], [3, 4]]) {
      serving.delete(killed)
      serving.delete(frozen)
      gateways.signal(killed, 'SIGKILL')
      gateways.signal(frozen, 'SIGSTOP')
      await wait(800)
      gateways.signal(frozen, 'SIGCONT')
      logs[0].forget(String(killed))
      await gateways.start(killed)
      serving.add(killed).add(frozen)
      await wait(800)
    }
    store.fault = 'busy'
    await load
    store.fault = 'none'
    const { most, allowed } = logs[0].checkLimit(1)
    assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`)
    assert.ok(logs[0].count >= 5, `only ${logs[0].count} requests reached the limited upstream`)
  })
})

for (const { kind, target, method, gatewayCount } of [
  { kind: 'streams', target: '/manual/x', method: 'POST', gatewayCount: 3 },
  { kind: 'plain requests', target: '/open/x', method: 'GET', gatewayCount: 6 }
] as const) {
  describe(`request limits of upstreams, ${kind} through ${gatewayCount} gateways`, () => {
    let deployment: ProcessDeployment
    before(async () => { deployment = await ProcessDeployment.create(gatewayCount, Array.from({ length: UPSTREAMS }, () => ({}))) })
    after(async () => await deployment.stop())

    function createCallers (): OpenLoopCallers {
      const { gateways } = deployment
      return OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target, method, requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
    }

    const oneLimited = `LIMIT: all gateways together keep the limit that one of four upstreams states, ${kind}`
    // Guards against: an upstream in need gets the same load from every gateway as before it stated its limit.
    it(oneLimited, knownRed(oneLimited), async () => {
      const logs = deployment.upstreams.map(() => ArrivalLog.create())
      for (const [index, upstream] of deployment.upstreams.entries()) upstream.script = recordAndRespond(logs[index], index === 0 ? '1' : undefined, method === 'POST')
      const callers = createCallers()
      await callers.run(LOAD_MILLISECONDS)
      const { most, allowed } = logs[0].checkLimit(1)
      assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`)
      assert.ok(logs[0].count >= LOAD_MILLISECONDS / 1000 / 2, `only ${logs[0].count} requests reached the limited upstream`)
      assert.equal(callers.outcomes.filter(outcome => outcome.status !== 200).length, 0, 'requests were refused while other upstreams had room')
    })

    const allLimited = `LIMIT: all gateways together keep the limits that all upstreams state and reject the rest at once, ${kind}`
    // Guards against: upstreams get more than all of them have stated, because no request is ever refused.
    it(allLimited, knownRed(allLimited), async () => {
      const logs = deployment.upstreams.map(() => ArrivalLog.create())
      for (const [index, upstream] of deployment.upstreams.entries()) upstream.script = recordAndRespond(logs[index], '3', method === 'POST')
      const callers = createCallers()
      await callers.run(LOAD_MILLISECONDS)
      for (const log of logs) {
        const { most, allowed } = log.checkLimit(3)
        assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`)
      }
      const rejected = callers.outcomes.filter(outcome => outcome.status === SERVICE_UNAVAILABLE)
      assert.ok(rejected.length > 0)
      assert.ok(rejected.every(outcome => outcome.milliseconds < REJECTION_MILLISECONDS && outcome.retryAfterSeconds > 0))
      const served = callers.outcomes.filter(outcome => outcome.status === 200).length
      assert.ok(served >= UPSTREAMS * 3 * LOAD_MILLISECONDS / 1000 / 2, `only ${served} requests were served`)
    })
  })
}
