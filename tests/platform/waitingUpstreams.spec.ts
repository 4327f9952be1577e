import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

const GATEWAYS = 6
const UPSTREAMS = 8
const REQUESTS_PER_SECOND = 80
const WAIT_SECONDS = 3
/** From this long after the refusal on, at most so many requests of one gateway may reach the upstream until the wait ends. */
const GRACE_MILLISECONDS = 500
const ALLOWED_REQUESTS = 2
const BEFORE_MILLISECONDS = 1500
const LOAD_MILLISECONDS = 7000
const OK = 200
const SERVICE_UNAVAILABLE = 503
const REJECTION_MILLISECONDS = 250

/** Refuses the first request of each gateway with a time to wait, and counts those that come too early. */
class WaitingUpstream {
  private readonly _waitsUntil = new Map<string, number>()
  private readonly _early = new Map<string, number>()

  get refusals (): number {
    return this._waitsUntil.size
  }

  get mostEarly (): number {
    return Math.max(0, ...this._early.values())
  }

  respond: ResponseScript = (request, upstream) => {
    const gateway = request.headers.get('x-gateway') ?? ''
    const now = Date.now()
    const waitsUntil = this._waitsUntil.get(gateway)
    if (waitsUntil !== undefined && now > waitsUntil) return respond('ok')(request, upstream)
    if (waitsUntil !== undefined && now > waitsUntil - WAIT_SECONDS * 1000 + GRACE_MILLISECONDS) this._early.set(gateway, (this._early.get(gateway) ?? 0) + 1)
    if (waitsUntil === undefined) this._waitsUntil.set(gateway, now + WAIT_SECONDS * 1000)
    respond('busy', '503 Service Unavailable', `Plumstage-Not-Executed: 1\r\nRetry-After: ${WAIT_SECONDS}\r\n`)(request, upstream)
  }
}

describe('upstreams that ask a gateway to wait', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(GATEWAYS, Array.from({ length: UPSTREAMS }, () => ({}))) })
  after(async () => { await deployment.stop() })

  async function run (waitingCount: number, seed: number): Promise<{ waiting: WaitingUpstream[], callers: OpenLoopCallers }> {
    const { gateways, upstreams } = deployment
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target: '/search/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed })
    const load = callers.run(LOAD_MILLISECONDS)
    await wait(BEFORE_MILLISECONDS)
    const waiting = upstreams.slice(0, waitingCount).map(() => new WaitingUpstream())
    waiting.forEach((upstream, index) => { upstreams[index].script = upstream.respond })
    await load
    for (const upstream of upstreams) upstream.script = respond('ok')
    return { waiting, callers }
  }

  // Guards against: a gateway sends requests to an upstream that has asked it to wait.
  it('BUDGET: get at most two requests of it while it waits, and the callers are served by others', async () => {
    const { waiting, callers } = await run(3, 31)
    for (const upstream of waiting) {
      assert.ok(upstream.refusals >= GATEWAYS / 2, `${upstream.refusals} gateways were asked to wait`)
      assert.ok(upstream.mostEarly <= ALLOWED_REQUESTS, `${upstream.mostEarly} requests of one gateway`)
    }
    assert.ok(callers.outcomes.filter(({ status }) => status === OK).length >= 0.98 * callers.outcomes.length)
  })

  it('BUDGET: get at most two requests of it when all ask at once, and callers are rejected at once with the remaining wait', async () => {
    const { waiting, callers } = await run(UPSTREAMS, 32)
    for (const upstream of waiting) assert.ok(upstream.mostEarly <= ALLOWED_REQUESTS, `${upstream.mostEarly} requests of one gateway`)
    const rejected = callers.outcomes.filter(({ status }) => status === SERVICE_UNAVAILABLE)
    assert.ok(rejected.length > 0)
    const [median] = rejected.map(({ milliseconds }) => milliseconds).sort((left, right) => left - right).slice(Math.floor(rejected.length / 2))
    assert.ok(median <= REJECTION_MILLISECONDS, `${median} ms`)
    assert.ok(rejected.some(({ retryAfterSeconds }) => retryAfterSeconds > 1), 'the delay is that of the upstreams')
    assert.ok(rejected.every(({ retryAfterSeconds }) => retryAfterSeconds <= WAIT_SECONDS), 'no delay is longer')
  })
})
