import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { CloudStandin } from './support/cloudStandin.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'

const WINDOW_MILLISECONDS = 3000
const GATEWAYS = [1, 2, 3]
const NEWCOMER = 1
/** A gateway is frozen this long before the end of a window, just after a burst of requests that it has not reported yet. */
const FREEZE_MILLISECONDS = 250
const BURST_REQUESTS = 20
/** Until a gateway that goes on has sent its counts. */
const CATCH_UP_MILLISECONDS = 900
const REQUESTS_PER_SECOND = 40
/** Until a gateway that takes over has reported a window that begins after it, which may be three windows later. */
const TAKEOVER_MILLISECONDS = 13_000

describe('usage reports of gateways that take over the duty', () => {
  let deployment: ProcessDeployment
  let cloud: CloudStandin
  let present: number[]
  beforeEach(async () => {
    cloud = await CloudStandin.create()
    deployment = await ProcessDeployment.create(GATEWAYS.length, [{}, {}], { settings: { cloud: { address: cloud.address, duties: ['usage'] }, bounds: { report_window_s: WINDOW_MILLISECONDS / 1000, lease_ms: 3000 } } })
    present = GATEWAYS
  })
  afterEach(async () => {
    await deployment.stop()
    await cloud.stop()
  })

  function currentWindow (): number {
    return Math.floor(Date.now() / WINDOW_MILLISECONDS)
  }

  function endOf (window: number): number {
    return (window + 1) * WINDOW_MILLISECONDS
  }

  function startCallers (): Promise<void> {
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => deployment.gateways.callerUrlOf(gateway), listGateways: () => present, target: '/search/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: 30 })
    return callers.run(WINDOW_MILLISECONDS * 3 + TAKEOVER_MILLISECONDS)
  }

  function kill (gateways: readonly number[]): void {
    present = present.filter(gateway => !gateways.includes(gateway))
    for (const gateway of gateways) deployment.gateways.signal(gateway, 'SIGKILL')
  }

  async function sendBurst (gateway: number): Promise<void> {
    const send = async (number: number): Promise<void> => {
      const response = await request(`${deployment.gateways.callerUrlOf(gateway)}/search/x`, { headers: { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': `burst-${number}` } })
      await response.body.text()
    }
    await Promise.all(Array.from({ length: BURST_REQUESTS }, async (_, number) => await send(number)))
  }

  function holderOf (): number {
    return Number(cloud.reports.at(-1)!.holder.split('-')[1])
  }

  /**
   * Starts the newcomer in the middle of a window, out of reach of the store until the window has been reported. The counts
   * of another gateway arrive after the report. Then the store loses what was written, and both others are killed.
   */
  async function loseOthersAfterReport (lose: () => void): Promise<number> {
    kill([NEWCOMER])
    deployment.store.endAllLeases()
    await cloud.waitForReport(currentWindow())
    deployment.store.cutSecondAddresses(true)
    const window = currentWindow() + 1
    await wait(endOf(window - 1) + WINDOW_MILLISECONDS / 4 - Date.now())
    await deployment.gateways.start(NEWCOMER)
    present = GATEWAYS
    const late = GATEWAYS.find(gateway => gateway !== NEWCOMER && gateway !== holderOf())!
    await wait(endOf(window) - FREEZE_MILLISECONDS - Date.now())
    await sendBurst(late)
    deployment.gateways.signal(late, 'SIGSTOP')
    await cloud.waitForReport(window)
    deployment.gateways.signal(late, 'SIGCONT')
    await wait(CATCH_UP_MILLISECONDS)
    kill(GATEWAYS.filter(gateway => gateway !== NEWCOMER))
    lose()
    deployment.store.cutSecondAddresses(false)
    await wait(TAKEOVER_MILLISECONDS)
    return window
  }

  function assertReportedOnce (window: number): void {
    const reports = cloud.reports.filter(report => report.window >= window - 1).map(report => `${report.window} ${JSON.stringify(report.counts)} by ${report.holder}`)
    assert.deepEqual(cloud.contradictoryWindows, [], reports.join('\n'))
    assert.ok(cloud.reports.some(report => report.window > window && report.holder === `edge-${NEWCOMER}`), `no later report of the newcomer\n${reports.join('\n')}`)
  }

  const returned = 'ONE: a gateway that first reads the store after its return reports no window again with other counts'
  // Guards against: a gateway that knows of no report takes the window for unreported, and reports its own sums.
  it(returned, knownRed(returned), async () => {
    const { store } = deployment
    const callers = startCallers()
    const copy = store.copy()
    const window = await loseOthersAfterReport(() => {
      store.restore(copy)
      deployment.putAllEntries()
      store.endAllLeases()
    })
    assertReportedOnce(window)
    await callers
  })

  const expired = 'ONE: a gateway that first reads the store after leases ran out reports no window again with other counts'
  // Guards against: counts that are gone with their lease count as never written.
  it(expired, knownRed(expired), async () => {
    const callers = startCallers()
    const window = await loseOthersAfterReport(() => deployment.store.endAllLeases())
    assertReportedOnce(window)
    await callers
  })

  // Guards against: a takeover without any loss in the store leaves out windows.
  it('ONE: after the holder is killed, its successor reports every window', async () => {
    const callers = startCallers()
    await cloud.waitForReport(currentWindow())
    const killedAt = currentWindow()
    kill([holderOf()])
    deployment.store.endAllLeases()
    await wait(TAKEOVER_MILLISECONDS)
    const { windows } = cloud
    const expected = Array.from({ length: windows.at(-1)! - windows[0] + 1 }, (_, index) => windows[0] + index)
    assert.deepEqual(windows, expected)
    assert.ok(windows.at(-1)! >= killedAt, `last report ${windows.at(-1)}, killed in ${killedAt}`)
    assert.deepEqual(cloud.contradictoryWindows, [])
    await callers
  })
})
