import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { RouteOperator } from './support/routeOperator.js'

const GATEWAYS = 6
/** Between a version and the silence: long enough for all gateways to watch again. */
const WATCHED_AGAIN_MILLISECONDS = 60
/** Between a version and the silence: the watches wait, and would be answered without a change soon. */
const WAITED_MILLISECONDS = 1900
/** Between the silence and the next version. */
const NEXT_VERSION_MILLISECONDS = 150
/** A gateway that was not in touch has to follow the store again after 3 s, and has 2 s for a version. */
const JUDGED_MILLISECONDS = 5500
const SILENT_STORE_MILLISECONDS = 3700
const CALM_MILLISECONDS = 1000
/** Within it each gateway renews its registration, so that a connection beside that of the watch is open. */
const RENEWAL_MILLISECONDS = 4200

describe('configurations while open connections to the store go silent and new ones work', () => {
  let deployment: ProcessDeployment
  let operator: RouteOperator
  let run: Promise<void>

  /** Begins to ask the gateways, for some time after a calm. */
  async function start (milliseconds: number, { storeStatesEra = true, calmMilliseconds = CALM_MILLISECONDS } = {}): Promise<void> {
    deployment = await ProcessDeployment.create(GATEWAYS, [{}, {}], { storeStatesEra })
    operator = RouteOperator.create(deployment)
    run = operator.run(calmMilliseconds + milliseconds)
    operator.pauseWriting()
    await wait(calmMilliseconds)
  }
  afterEach(async () => await deployment.stop())

  /** The connections of all gateways go silent, some time after a version and some time before the next one. */
  async function silenceBetweenVersions (beforeMilliseconds: number, afterMilliseconds: number): Promise<void> {
    operator.writeNext()
    await wait(beforeMilliseconds)
    deployment.store.silenceConnections()
    operator.recordFault()
    await wait(afterMilliseconds)
    operator.writeNext()
  }

  async function assertInForce (): Promise<void> {
    await run
    const { probes, late, reverted, details } = operator.report
    assert.ok(probes > 300, `only ${probes} requests`)
    assert.deepEqual({ late, reverted }, { late: 0, reverted: 0 }, `of ${probes} requests:\n${details.slice(0, 10).join('\n')}\n${describeRejections()}`)
  }

  /** What the gateways knew when they rejected requests for routes that they did not have, and how long they had not heard the store. */
  function describeRejections (): string {
    return deployment.gateways.numbers.map(number => {
      const rejections = deployment.gateways.listEvents(number, 'request-rejected').map(({ attributes }) => attributes ?? {})
      const silences = rejections.map(({ storeSilentMilliseconds }) => Number(storeSilentMilliseconds))
      const known = new Set(rejections.map(({ decidedByVersion, peersVersion }) => `${decidedByVersion} while peers had ${peersVersion}`))
      return `gateway ${number} rejected ${rejections.length}, store silent for ${Math.min(...silences)} to ${Math.max(...silences)} ms, decided by ${[...known].join(', ')}`
    }).join('\n')
  }

  // Guards against: all gateways wait for the answers of watches that were swallowed, longer than they have for a version.
  it('CONFIG: a version is in force in time although all connections to the store have gone silent just after the watches began', async () => {
    await start(JUDGED_MILLISECONDS)
    await silenceBetweenVersions(WATCHED_AGAIN_MILLISECONDS, NEXT_VERSION_MILLISECONDS)
    await assertInForce()
  })

  // Guards against: the same, where the gateways also have to find out whether the store has come back from a copy.
  it('CONFIG: a version is in force in time although all connections to a store without an era have gone silent', async () => {
    await start(JUDGED_MILLISECONDS, { storeStatesEra: false })
    await silenceBetweenVersions(WATCHED_AGAIN_MILLISECONDS, NEXT_VERSION_MILLISECONDS)
    await assertInForce()
  })

  // Guards against: watches that are begun again on other connections which have gone silent as well.
  it('CONFIG: a version is in force in time although all connections to the store have gone silent while the watches waited', async () => {
    await start(WAITED_MILLISECONDS + JUDGED_MILLISECONDS, { calmMilliseconds: RENEWAL_MILLISECONDS })
    await silenceBetweenVersions(WAITED_MILLISECONDS, NEXT_VERSION_MILLISECONDS)
    await assertInForce()
  })

  // Guards against: each silence is noticed later than the one before, or the gateways run out of connections.
  it('CONFIG: versions are in force in time although all connections to the store go silent again and again', async () => {
    await start(4 * (JUDGED_MILLISECONDS + 500))
    for (let count = 0; count < 4; count++) {
      await silenceBetweenVersions(WATCHED_AGAIN_MILLISECONDS, NEXT_VERSION_MILLISECONDS)
      await wait(JUDGED_MILLISECONDS)
    }
    await assertInForce()
  })

  // Guards against: a watch that was tried again within the silence is waited for when the store answers again.
  it('CONFIG: a version is in force in time after the store has answered nothing for 3.7 s', async () => {
    await start(SILENT_STORE_MILLISECONDS + JUDGED_MILLISECONDS)
    operator.writeNext()
    await wait(WATCHED_AGAIN_MILLISECONDS)
    deployment.store.silenceConnections()
    deployment.store.fault = 'silent'
    operator.recordFault()
    await wait(SILENT_STORE_MILLISECONDS - 100)
    operator.writeNext()
    await wait(100)
    deployment.store.fault = 'none'
    operator.recordFault()
    await assertInForce()
  })
})
