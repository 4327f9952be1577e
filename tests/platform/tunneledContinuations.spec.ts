import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { wait } from '../support/wait.js'
import { OTHER_SUCCESSES, SOUND, WITHIN_EVENT, WITHOUT_ID, WITHOUT_NEW_EVENT, breakOffAfter, formatEvents } from './support/oddAnswers.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

const CUT_GATEWAY = 1
const RETRY_MILLISECONDS = 200
/** Retries that all gateways may make; each answer of this test needs one. */
const RETRY_SLACK = 500

interface ReceivedStream {
  status: number
  body: string
  complete: boolean
  /** Requests that upstreams received. */
  attempts: number
}

describe('streams through a peer\'s tunnel', () => {
  let deployment: ProcessDeployment
  let count = 0
  beforeEach(async () => {
    deployment = await ProcessDeployment.create(3, [{}, {}, {}], { hasLinkProxies: true, settings: { bounds: { retry_ratio: 0.2, retry_slack: RETRY_SLACK, retry_window_s: 10 } } })
    await deployment.links.setMode([CUT_GATEWAY], 'reset')
    while ((await send([streamEvents(1, 6, 'end')])).status !== 200) await wait(RETRY_MILLISECONDS)
  })
  afterEach(async () => await deployment.stop())

  /** Sends a request to the gateway whose links are cut; the attempts are answered one after the other. */
  async function send (scripts: readonly ResponseScript[]): Promise<ReceivedStream> {
    const result: ReceivedStream = { status: 0, body: '', complete: false, attempts: 0 }
    for (const upstream of deployment.upstreams) upstream.script = (received, standin) => scripts[Math.min(result.attempts++, scripts.length - 1)](received, standin)
    try {
      const { statusCode, body } = await request(`${deployment.gateways.callerUrlOf(CUT_GATEWAY)}/manual/x`, { method: 'POST', headers: { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': `tunneled-${count++}`, 'plumstage-deadline-ms': '5000' } })
      result.status = statusCode
      for await (const chunk of body) result.body += String(chunk)
      result.complete = true
    } catch {
      // The connection was cut.
    }
    return result
  }

  // Guards against: what a peer carries is judged otherwise than what an upstream answers directly.
  it('ORDER, MIXED: are cut after odd answers and go on with sound ones', async () => {
    const bad: string[] = []
    for (const { name, script } of SOUND) {
      const { status, body, complete, attempts } = await send([breakOffAfter(4), script])
      if (attempts !== 2 || status !== 200 || !complete || !/^id: ?6/m.test(body)) bad.push(`${name}: ${attempts} attempts, ${status}, ${complete ? 'complete' : 'cut'}, ${JSON.stringify(body)}`)
    }
    for (const { name, script } of [...WITHOUT_NEW_EVENT, ...OTHER_SUCCESSES, ...WITHOUT_ID, ...WITHIN_EVENT]) {
      const { status, body, complete, attempts } = await send([breakOffAfter(4), script])
      if (attempts !== 2 || status !== 200 || complete || ![formatEvents(1, 4), formatEvents(1, 5)].includes(body.replaceAll(': working\n\n', ''))) bad.push(`${name}: ${attempts} attempts, ${status}, ${complete ? 'complete' : 'cut'}, ${JSON.stringify(body)}`)
    }
    assert.deepEqual(bad, [])
  })
})
