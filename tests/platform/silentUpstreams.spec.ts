import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { request } from 'undici'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond } from './support/upstreamStandin.js'

const GATEWAYS = 4
const UPSTREAMS = 4
const CONNECTIONS_PER_GATEWAY = 40
const REQUESTS_PER_GATEWAY = 10
/** Long enough for requests that are sent at once to need a connection each. */
const WORK_MILLISECONDS = 150
const ROUTE_MILLISECONDS = 2000
/** Gateways have to be in touch with everything 3 s after a silence has begun. */
const IN_TOUCH_MILLISECONDS = 3500
/** Within it no request has shown the silence. */
const SOON_MILLISECONDS = 300
const OK = 200
const ROUTES = [
  { name: 'page', host: HOST, prefix: '/page/', route_type: 'non_idempotent', timeout_ms: ROUTE_MILLISECONDS, service: 'front', max_attempts: 2 },
  { name: 'search', host: HOST, prefix: '/search/', route_type: 'idempotent', timeout_ms: ROUTE_MILLISECONDS, service: 'front', max_attempts: 2 }
]

describe('connections to upstreams that go silent while new ones work', () => {
  let deployment: ProcessDeployment
  let sent = 0
  beforeEach(async () => {
    deployment = await ProcessDeployment.create(GATEWAYS, Array.from({ length: UPSTREAMS }, () => ({ capacity: 64 })), { configuration: { routes: ROUTES as never, services: [{ name: 'front', health_path: '/health', max_conns: 400 }] as never } })
    for (const upstream of deployment.upstreams) upstream.script = (received, standin) => void setTimeout(() => respond('hello')(received, standin), WORK_MILLISECONDS)
    await sendEverywhere('/search/', CONNECTIONS_PER_GATEWAY)
  })
  afterEach(async () => await deployment.stop())

  /** Sends requests at all gateways at once; returns their statuses, 0 for one that failed. */
  async function sendEverywhere (prefix: string, countPerGateway: number): Promise<number[]> {
    return await Promise.all(deployment.gateways.numbers.flatMap(gateway => Array.from({ length: countPerGateway }, async () => await sendOne(gateway, prefix))))
  }

  async function sendOne (gateway: number, prefix: string): Promise<number> {
    const id = `request-${++sent}`
    try {
      const { statusCode, body } = await request(`${deployment.gateways.callerUrlOf(gateway)}${prefix}${id}`, { headers: { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': id } })
      await body.text()
      return statusCode
    } catch {
      return 0
    }
  }

  function silenceAll (context: TestContext): void {
    const open = deployment.upstreams.reduce((sum, { liveConnections }) => sum + liveConnections, 0)
    context.diagnostic(`${open} connections go silent`)
    assert.ok(open > GATEWAYS * CONNECTIONS_PER_GATEWAY / 2, `only ${open} connections are open`)
    for (const upstream of deployment.upstreams) upstream.silenceConnections()
  }

  function countOk (statuses: readonly number[]): string {
    return `${statuses.filter(status => status === OK).length} of ${statuses.length}`
  }

  /** Requests that more than one upstream, or one of them more than once, has received. */
  function listRepeated (prefix: string): string[] {
    const targets = deployment.upstreams.flatMap(({ requests }) => requests.map(({ target }) => target)).filter(target => target.startsWith(prefix))
    return targets.filter((target, index) => targets.indexOf(target) !== index)
  }

  const idle = 'RECOVER: requests are served on kept connections although those went silent while nothing was sent'
  // Guards against: an idle connection that has gone silent is kept for longer than a gateway has time to be in touch again.
  it(idle, knownRed(idle), async context => {
    silenceAll(context)
    await wait(IN_TOUCH_MILLISECONDS)
    const [idempotent, others] = await Promise.all([sendEverywhere('/search/', REQUESTS_PER_GATEWAY), sendEverywhere('/page/', REQUESTS_PER_GATEWAY)])
    assert.deepEqual([countOk(idempotent), countOk(others)], ['40 of 40', '40 of 40'])
  })

  const soon = 'RECOVER: requests that may be repeated are served soon after the kept connections went silent'
  // Guards against: requests wait for their deadlines on connections that a probe would have shown to be silent.
  it(soon, knownRed(soon), async context => {
    silenceAll(context)
    await wait(SOON_MILLISECONDS)
    const [idempotent, others] = await Promise.all([sendEverywhere('/search/', REQUESTS_PER_GATEWAY), sendEverywhere('/page/', REQUESTS_PER_GATEWAY)])
    context.diagnostic(`of the requests that may not be repeated ${countOk(others)} were served`)
    assert.equal(countOk(idempotent), '40 of 40')
    assert.deepEqual(listRepeated('/page/'), [])
    const next = await Promise.all([sendEverywhere('/search/', REQUESTS_PER_GATEWAY), sendEverywhere('/page/', REQUESTS_PER_GATEWAY)])
    assert.deepEqual(next.map(countOk), ['40 of 40', '40 of 40'])
  })
})
