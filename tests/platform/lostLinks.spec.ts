import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import type { LinkMode } from './support/linkProxy.js'
import { CALLER_TIMEOUT_MILLISECONDS, MixedCallers } from './support/mixedCallers.js'
import type { ServedCount } from './support/mixedCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { RunRecorder } from './support/runRecorder.js'

const GATEWAYS = 6
const UPSTREAMS = 8
const REQUESTS_PER_SECOND_AND_GATEWAY = 8
const CALM_MILLISECONDS = 2000
/** Without faults, requests have been answered after this time. */
const ANSWER_MILLISECONDS = 500
const CUT_MILLISECONDS = 8000
/** What is sent within this time after a cut began isn't judged. */
const CONTACT_MILLISECONDS = 3000
/** All gateways have to serve again this long after a cut ended. */
const RECOVERY_MILLISECONDS = 2000
/** Requests sent in this time after the recovery are judged. */
const RECOVERED_MILLISECONDS = 1500
/** The operators' rule is broken if requests at the cut gateways are served more rarely than this, beside those at the others ... */
const RULE_RATIO = 2 / 3
/** ... and more of them fail than this number and this share of all requests. */
const RULE_FAILED = 10
const RULE_FAILED_SHARE = 1 / 50
/** Requests at the cut gateways are to be served nearly as often as those at the others. */
const AIM_RATIO = 0.9
/** Share of the requests that gateways serve whose links are sound. */
const SOUND_SHARE = 0.95
/** Upstreams to which the routes allow one request to be sent. */
const ROUTE_ATTEMPTS = 2

describe('gateways that lose their links to all upstreams', () => {
  let deployment: ProcessDeployment
  let recorder: RunRecorder
  let callers: MixedCallers
  let load: Promise<void>
  /** What was found wrong. */
  let faults: string[]

  beforeEach(async () => {
    deployment = await ProcessDeployment.create(GATEWAYS, Array.from({ length: UPSTREAMS }, () => ({ capacity: 32 })), { hasLinkProxies: true })
    recorder = RunRecorder.create()
    for (const upstream of deployment.upstreams) upstream.script = recorder.script
    const { gateways } = deployment
    callers = MixedCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), gateways: gateways.numbers, requestsPerSecondAndGateway: REQUESTS_PER_SECOND_AND_GATEWAY })
    faults = []
    const startedAt = Date.now()
    load = callers.run()
    await wait(CALM_MILLISECONDS)
    expectShare('all gateways before the cut', count(gateways.numbers, startedAt, Date.now() - ANSWER_MILLISECONDS), SOUND_SHARE)
  })
  afterEach(async () => {
    callers.stop()
    await load
    await deployment.stop()
  })

  function count (gateways: readonly number[], from: number, to: number): ServedCount {
    return callers.count(gateways, from, to)
  }

  function expectShare (which: string, counted: ServedCount, least: number): void {
    if (counted.sent > 0 && shareOf(counted) >= least) return
    faults.push(`${which}: ${counted.served} of ${counted.sent} requests were served, at least ${least} expected`)
  }

  /** Cuts the links of some gateways for some time, and judges the requests once they have ended. */
  async function cut (context: TestContext, gateways: readonly number[], mode: LinkMode, meanwhile: () => Promise<readonly number[]> = async () => []): Promise<void> {
    const beganAt = Date.now()
    await deployment.links.setMode(gateways, mode)
    const [excluded] = await Promise.all([meanwhile(), wait(CUT_MILLISECONDS)])
    const endedAt = Date.now()
    await deployment.links.setMode(gateways, 'open')
    const recoveredAt = endedAt + RECOVERY_MILLISECONDS
    const judgedUntil = recoveredAt + RECOVERED_MILLISECONDS
    await wait(judgedUntil + CALLER_TIMEOUT_MILLISECONDS - Date.now())
    const others = deployment.gateways.numbers.filter(number => !gateways.includes(number) && !excluded.includes(number))
    judgeCut(context, gateways, others, beganAt, endedAt)
    expectShare('cut gateways after the end', count(gateways, recoveredAt, judgedUntil), SOUND_SHARE)
    expectShare('others after the end', count(others, recoveredAt, judgedUntil), SOUND_SHARE)
  }

  function judgeCut (context: TestContext, gateways: readonly number[], others: readonly number[], beganAt: number, endedAt: number): void {
    const judgedFrom = beganAt + CONTACT_MILLISECONDS
    const there = count(gateways, judgedFrom, endedAt)
    const elsewhere = count(others, judgedFrom, endedAt)
    const failed = there.sent - there.served
    const allowed = RULE_FAILED + (there.sent + elsewhere.sent) * RULE_FAILED_SHARE
    const first = count(gateways, beganAt, judgedFrom)
    context.diagnostic(`cut gateways: ${there.served} of ${there.sent} served (${there.slow} took over 1 s), ${failed} failed, ${allowed.toFixed(1)} allowed; others: ${elsewhere.served} of ${elsewhere.sent}; first ${CONTACT_MILLISECONDS} ms at the cut gateways: ${first.served} of ${first.sent}`)
    if (shareOf(there) < shareOf(elsewhere) * RULE_RATIO && failed > allowed) faults.push(`rule: cut gateways served ${there.served} of ${there.sent} requests, the others ${elsewhere.served} of ${elsewhere.sent}, ${allowed.toFixed(1)} may fail`)
    expectShare('cut gateways', there, shareOf(elsewhere) * AIM_RATIO)
    expectShare('others', elsewhere, SOUND_SHARE)
  }

  /** Ends the load, and checks how often requests ran and all that was found wrong before. */
  async function assertSound (context: TestContext): Promise<void> {
    callers.stop()
    await load
    const onceOnly = callers.outcomes.filter(({ kind }) => kind === 'non-idempotent').map(({ id }) => id)
    const repeatable = callers.outcomes.filter(({ kind }) => kind !== 'non-idempotent').map(({ id }) => id)
    const twice = recorder.listRunMoreOften(onceOnly, 1)
    const often = recorder.listRunMoreOften(repeatable, ROUTE_ATTEMPTS)
    context.diagnostic(`${twice.length} of ${onceOnly.length} requests that may run once ran twice, ${often.length} of ${repeatable.length} others more than ${ROUTE_ATTEMPTS} times`)
    for (const id of twice) faults.push(`ran twice: ${recorder.describe(id)}`)
    for (const id of often) faults.push(`ran more than ${ROUTE_ATTEMPTS} times: ${recorder.describe(id)}`)
    assert.deepEqual(faults, [])
  }

  const silent = 'RECOVER: two gateways serve on while their links to all upstreams are silent'
  // Guards against: requests at a gateway out of reach of all upstreams wait for answers until their callers give up.
  it(silent, knownRed(silent), async context => {
    await cut(context, [1, 2], 'silent')
    await assertSound(context)
  })

  const reset = 'RECOVER: two gateways serve on while their links to all upstreams are reset and refused'
  // Guards against: requests at a gateway whose connections are refused fail although other gateways reach the upstreams.
  it(reset, knownRed(reset), async context => {
    await cut(context, [1, 2], 'reset')
    await assertSound(context)
  })

  const established = 'RECOVER: two gateways serve on while their open links to all upstreams live on and new ones are refused'
  // Guards against: requests beyond those that the open connections carry fail, or the open connections are given up.
  it(established, knownRed(established), async context => {
    await cut(context, [1, 2], 'established-only')
    await assertSound(context)
  })

  const most = 'RECOVER: five of six gateways serve on while their links to all upstreams are silent'
  // Guards against: gateways that believe most of the others, which reach no upstream either, or ask them for help.
  it(most, knownRed(most), async context => {
    await cut(context, [1, 2, 3, 4, 5], 'silent')
    await assertSound(context)
  })

  const killed = 'RECOVER: two gateways serve on while their links to all upstreams are reset and another gateway is killed'
  // Guards against: requests are lost with the gateway that helped, and none of the others takes its place.
  it(killed, knownRed(killed), async context => {
    await cut(context, [1, 2], 'reset', async () => await killAndRestart(GATEWAYS))
    await assertSound(context)
  })

  const store = 'RECOVER: two gateways serve on while their links to all upstreams and the store are silent'
  // Guards against: gateways that need the store to learn that they, or others, have lost their links.
  it(store, knownRed(store), async context => {
    await cut(context, [1, 2], 'silent', async () => {
      deployment.store.fault = 'silent'
      await wait(CUT_MILLISECONDS)
      deployment.store.fault = 'none'
      return []
    })
    await assertSound(context)
  })

  const again = 'RECOVER: two gateways serve on while their links to all upstreams are silent, then one of them with another'
  // Guards against: what a first cut left behind, at the cut gateways or at those that helped, misleads them at the next.
  it(again, knownRed(again), async context => {
    await cut(context, [1, 2], 'silent')
    await cut(context, [2, 3], 'silent')
    await assertSound(context)
  })

  /** Kills a gateway in the time that is judged, and starts it again; its requests aren't judged. */
  async function killAndRestart (gateway: number): Promise<readonly number[]> {
    await wait(CONTACT_MILLISECONDS)
    callers.pause(gateway)
    deployment.gateways.signal(gateway, 'SIGKILL')
    await wait(500)
    await deployment.gateways.start(gateway)
    callers.resume(gateway)
    return [gateway]
  }
})

function shareOf ({ sent, served }: ServedCount): number {
  return sent === 0 ? 0 : served / sent
}
