import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { RouteOperator } from './support/routeOperator.js'

const GATEWAYS = 4
const COPY_AGE_MILLISECONDS = 5000
/** Until the operator and the upstreams write again what was lost. */
const WRITTEN_AGAIN_MILLISECONDS = 1000
/** Other changes that are lost with the configuration, so that the store's revision stays below the lost one for long. */
const LOST_CHANGES = 40
const CUTS = 12
const CUT_INTERVAL_MILLISECONDS = 600

describe('configurations while a store that states no era comes back from a copy', () => {
  let deployment: ProcessDeployment
  let operator: RouteOperator
  beforeEach(async () => {
    deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}], { storeStatesEra: false })
    operator = RouteOperator.create(deployment)
  })
  afterEach(async () => await deployment.stop())

  /** The store comes back as it was `COPY_AGE_MILLISECONDS` ago; what was lost is written again after a while. */
  async function returnFromCopy (meanwhile: () => Promise<void> = async () => {}): Promise<void> {
    const { store } = deployment
    const copy = store.copy()
    putOthers(LOST_CHANGES)
    await wait(COPY_AGE_MILLISECONDS)
    store.restore(copy)
    await meanwhile()
    await wait(WRITTEN_AGAIN_MILLISECONDS)
    operator.writeAgain()
    deployment.putAllEntries()
    operator.recordFault()
  }

  function putOthers (count: number): void {
    for (let change = 0; change < count; change++) deployment.store.put('other/key', String(change))
  }

  function assertInForce (): void {
    const { probes, late, reverted, details } = operator.report
    assert.ok(probes > 300, `only ${probes} requests`)
    assert.deepEqual({ late, reverted }, { late: 0, reverted: 0 }, details.join('\n'))
  }

  // Guards against: versions written after the return are ignored because the store's revisions have gone back.
  it('CONFIG: confirmed versions are in force in time after a store without an era comes back from a copy', async () => {
    const run = operator.run(16_000)
    await wait(1500)
    await returnFromCopy()
    await run
    assertInForce()
  })

  // Guards against: a second return, to revisions that were given out twice already.
  it('CONFIG: confirmed versions are in force in time after a store without an era comes back from a copy twice', async () => {
    const run = operator.run(20_000)
    await wait(500)
    await returnFromCopy()
    await returnFromCopy()
    await run
    assertInForce()
  })

  // Guards against: gateways that follow the store's new history are taken back by those that remember higher revisions.
  it('CONFIG: confirmed versions are in force in time after a store without an era comes back while gateways are killed', async () => {
    const run = operator.run(18_000)
    await wait(1500)
    await returnFromCopy(async () => {
      operator.kill([2, 3])
      await operator.restart([2, 3])
    })
    await run
    assertInForce()
  })

  // Guards against: a gateway watches on from a revision that the store has passed again, and never reads what it gave out again.
  it('CONFIG: a version is in force in time although a store without an era gave out its revision before', async () => {
    const run = operator.run(14_000)
    await wait(1500)
    operator.pauseWriting()
    const copy = deployment.store.copy()
    putOthers(LOST_CHANGES)
    await wait(COPY_AGE_MILLISECONDS)
    deployment.store.restore(copy)
    operator.writeNext()
    putOthers(2 * LOST_CHANGES)
    deployment.putAllEntries()
    operator.recordFault()
    await run
    assertInForce()
  })

  // Guards against: a gateway that follows the store's new history takes the list of a peer that remembers the lost one.
  it('DRAIN: leaving upstreams are known although a peer that is cut off remembers higher revisions of a store without an era', async () => {
    const { store, gateways, upstreams } = deployment
    const copy = store.copy()
    putOthers(LOST_CHANGES)
    await deployment.addUpstream({})
    await wait(2000)
    store.cutSecondAddresses(true)
    store.restore(copy)
    await wait(3000)
    deployment.putEntry(upstreams[0], { state: 'draining' })
    await wait(3000)
    const leaving = gateways.numbers.slice(1).map(number => gateways.listEvents(number, 'upstreams-applied').at(-1)?.attributes?.leaving)
    assert.deepEqual(leaving, [1, 1, 1])
  })

  // Guards against: a harmless interruption is taken for a return, and all gateways read all entries over and over.
  it('CONFIG: cut connections to a store without an era cause neither snapshots nor reverts', async () => {
    const run = operator.run(CUTS * CUT_INTERVAL_MILLISECONDS + 3000)
    for (let count = 0; count < CUTS; count++) {
      await wait(CUT_INTERVAL_MILLISECONDS)
      deployment.store.cutConnections()
    }
    await run
    const snapshots = deployment.gateways.numbers.flatMap(number => deployment.gateways.listEvents(number, 'store-snapshot-read'))
    assert.deepEqual(snapshots.map(({ attributes }) => attributes?.reason), Array(GATEWAYS).fill('start'))
    assert.equal(operator.report.reverted, 0, operator.report.details.join('\n'))
  })
})
