import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { wait } from '../support/wait.js'
import { drawCutBodies, drawCutHeads, drawCutHeadsAfterInterim } from './support/cutResponses.js'
import type { CutResponse } from './support/cutResponses.js'
import { CuttingUpstreams } from './support/cuttingUpstreams.js'
import type { CutTurn } from './support/cuttingUpstreams.js'
import { ProcessDeployment } from './support/processDeployment.js'

const SEED = Number(process.env.SEED ?? 1)
const UPSTREAMS = 4
const CASES = Number(process.env.CASES ?? 120)
/** Reaches the upstreams through the other gateway only. */
const TUNNELLED = 1
const DIRECT = 2
/** Retries are not what is tested, so the budget for them is ample. */
const SETTINGS = { bounds: { retry_ratio: 1, retry_slack: 100_000, retry_window_s: 10 } }
const POLL_MILLISECONDS = 50

describe('responses that are cut', () => {
  let deployment: ProcessDeployment
  let upstreams: CuttingUpstreams
  let random: SeededRandom

  before(async () => {
    deployment = await ProcessDeployment.create(2, Array.from({ length: UPSTREAMS }, () => ({ capacity: 32 })), { hasLinkProxies: true, proxiedGatewayCount: TUNNELLED, settings: SETTINGS })
    upstreams = CuttingUpstreams.create()
    for (const upstream of deployment.upstreams) upstream.script = upstreams.script
    await deployment.links.setMode([TUNNELLED], 'reset')
    while (deployment.gateways.listEvents(TUNNELLED, 'upstream-links-lost').length === 0) {
      await upstreams.play(deployment.gateways.callerUrlOf(TUNNELLED), drawCutHeads(SeededRandom.create(SEED), 1, ['idempotent']))
      await wait(POLL_MILLISECONDS)
    }
    random = SeededRandom.create(SEED)
  })
  after(async () => await deployment.stop())

  async function assertNotTakenAsComplete (gateway: number, responses: readonly CutResponse[], turn?: CutTurn): Promise<void> {
    upstreams.faults.length = 0
    await upstreams.play(deployment.gateways.callerUrlOf(gateway), responses, turn)
    assert.deepEqual(upstreams.faults, [])
  }

  for (const [gateway, way] of [[DIRECT, 'directly'], [TUNNELLED, 'through a tunnel']] as const) {
    // Guards against: a head that ends with its connection is taken as complete, so that the caller gets an empty response.
    it(`are not taken as complete ${way}: in the head`, async () => await assertNotTakenAsComplete(gateway, drawCutHeads(random, CASES)))

    // Guards against: what is known of the response before on the same connection completes a head that is cut.
    it(`are not taken as complete ${way}: in the head, on a kept connection`, async () => await assertNotTakenAsComplete(gateway, drawCutHeads(random, CASES), 'kept-connection'))

    // Guards against: what is known of an interim response completes a head that is cut.
    it(`are not taken as complete ${way}: in the head, after an interim response`, async () => await assertNotTakenAsComplete(gateway, drawCutHeadsAfterInterim(random, CASES)))

    // Guards against: a continuation whose head or body is cut ends the stream as complete.
    it(`are not taken as complete ${way}: in what continues a stream`, async () => {
      await assertNotTakenAsComplete(gateway, [...drawCutHeads(random, CASES / 2, ['resumable']), ...drawCutBodies(random, CASES / 2, ['resumable'])], 'continuation')
    })

    // Guards against: a body that is cut, also in the last chunk or in trailers, is passed on as complete.
    it(`are not taken as complete ${way}: in the body`, async () => await assertNotTakenAsComplete(gateway, drawCutBodies(random, CASES)))
  }

  // Guards against: the cases above do not use the tunnels that they name.
  it('have come through tunnels in half of the cases', () => {
    assert.ok(deployment.gateways.listEvents(DIRECT, 'tunnel-opened').length > CASES)
  })
})
