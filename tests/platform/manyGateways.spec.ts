import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { ProcessDeployment } from './support/processDeployment.js'

/** More than report to each other without aggregation rounds. */
const GATEWAYS = 20
const KILLED = [3, 9, 17]
const UPSTREAM_ENTRIES = Array.from({ length: 4 }, () => ({}))
const BOUND_MILLISECONDS = 6000
const POLL_MILLISECONDS = 100

/** Gateways as processes that sum their state in aggregation rounds. */
describe('a deployment with more gateways than report to each other directly', () => {
  let deployment: ProcessDeployment

  before(async () => { deployment = await ProcessDeployment.create(GATEWAYS, UPSTREAM_ENTRIES) })
  after(async () => { await deployment.stop() })

  async function waitForPresent (count: number, numbers: readonly number[]): Promise<void> {
    const deadline = Date.now() + BOUND_MILLISECONDS
    for (const number of numbers) {
      for (;;) {
        const present = await deployment.gateways.countPresent(number)
        if (present === count) break
        assert.ok(Date.now() < deadline, `gateway ${number} counts ${present} gateways, not ${count}`)
        await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
      }
    }
  }

  it('knows on each gateway how many are present, also after kills and restarts', async () => {
    const others = deployment.gateways.numbers.filter(number => !KILLED.includes(number))
    for (const number of KILLED) deployment.gateways.signal(number, 'SIGKILL')
    await waitForPresent(GATEWAYS - KILLED.length, others)
    for (const number of KILLED) await deployment.gateways.start(number)
    await waitForPresent(GATEWAYS, deployment.gateways.numbers)
  })
})
