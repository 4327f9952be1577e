import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { PlatformDeployment } from './support/platformDeployment.js'
import type { CloudRequest } from './support/platformDeployment.js'

const POLL_MILLISECONDS = 50
/** After a return, the duty has a holder that the cloud accepts again within this time. */
const RESUMED_MILLISECONDS = 9000
/** Other changes that are lost, so that the store's revision stays below the lost ones. */
const LOST_CHANGES = 30

describe('the cloud duty while the store comes back from a copy', () => {
  let deployment: PlatformDeployment
  beforeEach(async () => { deployment = await PlatformDeployment.create() })
  afterEach(async () => await deployment.stop())

  async function waitForReports (count: number): Promise<CloudRequest[]> {
    const usageReports = (): CloudRequest[] => deployment.cloudRequests.filter(({ path }) => path === '/usage')
    const until = Date.now() + RESUMED_MILLISECONDS
    while (usageReports().length < count && Date.now() < until) await wait(POLL_MILLISECONDS)
    return usageReports()
  }

  const fencing = 'CONFIG: fencing numbers of a new era are above all earlier ones'
  // Guards against: the cloud refuses every call of the holder because its fencing number is below one of before the return.
  it(fencing, knownRed(fencing), async () => {
    const { store } = deployment
    const copy = store.copy()
    for (let change = 0; change < LOST_CHANGES; change++) store.put('other/key', String(change))
    const before = await waitForReports(1)
    const highest = Math.max(...before.map(({ fencingNumber }) => fencingNumber))
    store.restore(copy)
    await wait(1000)
    const known = deployment.cloudRequests.length
    await waitForReports(before.length + 3)
    const later = deployment.cloudRequests.slice(known)
    assert.ok(later.length > 0, 'no call to the cloud after the return')
    assert.ok(later.every(({ fencingNumber }) => fencingNumber > highest), `fencing numbers ${later.map(({ fencingNumber }) => fencingNumber).join(', ')} after ${highest}`)
  })
})
