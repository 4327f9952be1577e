import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { RouteOperator } from './support/routeOperator.js'

const GATEWAYS = 4
const COPY_AGE_MILLISECONDS = 6000
/** Until the operator and the upstreams write again what was lost. */
const WRITTEN_AGAIN_MILLISECONDS = 1000
/** Other changes that are lost with the configuration, so that the store's revision stays below the lost one for long. */
const LOST_CHANGES = 40

describe('configurations while the store comes back from a copy', () => {
  let deployment: ProcessDeployment
  let operator: RouteOperator
  beforeEach(async () => {
    deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}])
    operator = RouteOperator.create(deployment)
  })
  afterEach(async () => await deployment.stop())

  /** The store comes back as it was `COPY_AGE_MILLISECONDS` ago; what was lost is written again after a while. */
  async function returnFromCopy (meanwhile: () => Promise<void> = async () => {}): Promise<void> {
    const { store } = deployment
    const copy = store.copy()
    for (let change = 0; change < LOST_CHANGES; change++) store.put('other/key', String(change))
    await wait(COPY_AGE_MILLISECONDS)
    store.restore(copy)
    await meanwhile()
    await wait(WRITTEN_AGAIN_MILLISECONDS)
    operator.writeAgain()
    deployment.putAllEntries()
    operator.recordFault()
  }

  function assertInForce (): void {
    const { probes, late, reverted, details } = operator.report
    assert.ok(probes > 300, `only ${probes} requests`)
    assert.deepEqual({ late, reverted }, { late: 0, reverted: 0 }, details.join('\n'))
  }

  const once = 'CONFIG: confirmed versions are in force in time after the store comes back from a copy'
  // Guards against: versions written after the return are ignored because the store's revisions have gone back.
  it(once, knownRed(once), async () => {
    const run = operator.run(17_000)
    await wait(1500)
    await returnFromCopy()
    await run
    assertInForce()
  })

  const twice = 'CONFIG: confirmed versions are in force in time after the store comes back from a copy twice'
  // Guards against: a second return, to revisions that were given out twice already.
  it(twice, knownRed(twice), async () => {
    const run = operator.run(22_000)
    await wait(500)
    await returnFromCopy()
    await returnFromCopy()
    await run
    assertInForce()
  })

  const killed = 'CONFIG: gateways that are killed while the store holds the copy keep the versions that it lost'
  // Guards against: a gateway that starts meanwhile serves the configuration of the copy, although its peers know the lost one.
  it(killed, knownRed(killed), async () => {
    const run = operator.run(20_000)
    await wait(1500)
    await returnFromCopy(async () => {
      operator.pauseWriting()
      operator.kill([2, 3])
      await operator.restart([2, 3])
      await wait(5000)
    })
    await run
    assertInForce()
  })

  const cutOff = 'CONFIG: a gateway that is cut off from the store during its return follows its peers'
  // Guards against: a gateway out of reach of the store takes its peers, whose revisions have gone back, for outdated.
  it(cutOff, knownRed(cutOff), async () => {
    const run = operator.run(20_000)
    await wait(1500)
    await returnFromCopy(async () => deployment.store.cutSecondAddresses(true))
    await wait(7000)
    deployment.store.cutSecondAddresses(false)
    await run
    assertInForce()
  })
})
