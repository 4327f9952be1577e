import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond, streamEvents } from './support/upstreamStandin.js'

const GATEWAYS = 3
const REQUESTS_PER_SECOND = 60
const SEED = 50
const LOAD_MILLISECONDS = 6000
const INTERVAL_MILLISECONDS = 250
const OK = 200
const EVENTS = 4

/** Sizes that callers state, far off or impossible. */
const STATEMENTS: ReadonlyArray<Record<string, string>> = [
  { 'plumstage-token-count': '200,24', 'plumstage-length-hint': '20000000000' },
  { 'plumstage-token-count': '200,24', 'plumstage-length-hint': '1e300' },
  { 'plumstage-token-count': '200,24', 'plumstage-length-hint': '-7' },
  { 'plumstage-token-count': '5000000000,20000000000' },
  { 'plumstage-token-count': '200,4294967296', 'plumstage-length-hint': '4294967296' },
  { 'plumstage-token-count': '200.5,24.25', 'plumstage-prompt-prefix': 'a:1e300,b:99999999999999,c:-4' },
  { 'plumstage-token-count': '-200,24', 'last-event-id': '1e300' }
]
const FAR_OFF = 'LOST: are served, and end no gateway and no request of others'

describe('callers that state sizes far off', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}, {}]) })
  after(async () => { await deployment.stop() })

  async function askForStream (gateway: number, statement: Record<string, string>): Promise<number> {
    const headers = { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': `odd-${Math.random()}`, 'plumstage-model': 'm', ...statement }
    const response = await request(`${deployment.gateways.callerUrlOf(gateway)}/summary/x`, { method: 'POST', headers })
    await response.body.text()
    return response.statusCode
  }

  // Guards against: the estimate of one caller ends each gateway that takes it, with the requests of all others.
  it(FAR_OFF, knownRed(FAR_OFF), async () => {
    const { gateways, upstreams } = deployment
    for (const upstream of upstreams) upstream.script = (received, standin) => (received.target.startsWith('/summary/') ? streamEvents(1, EVENTS, 'end') : respond('ok'))(received, standin)
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: SEED })
    const load = callers.run(LOAD_MILLISECONDS)
    for (const statement of STATEMENTS) {
      const statuses = await Promise.all(gateways.numbers.map(async gateway => await askForStream(gateway, statement)))
      // A stream that is taken up from an unknown event is refused; all others are served.
      if (statement['last-event-id'] === undefined) assert.deepEqual(statuses, gateways.numbers.map(() => OK), JSON.stringify(statement))
      await wait(INTERVAL_MILLISECONDS)
    }
    await load
    assert.deepEqual(gateways.numbers.filter(number => gateways.hasEnded(number)), [])
    assert.deepEqual(gateways.numbers.flatMap(number => gateways.listEvents(number, 'task-failed')), [])
    assert.deepEqual(callers.outcomes.filter(({ status }) => status !== OK), [])
    assert.ok(callers.outcomes.length >= 0.9 * REQUESTS_PER_SECOND * LOAD_MILLISECONDS / 1000, `${callers.outcomes.length} answers`)
  })
})
