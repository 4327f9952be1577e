import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { wait } from '../support/wait.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond } from './support/upstreamStandin.js'

const SIGNALS: ReadonlyArray<[NodeJS.Signals, NodeJS.Signals]> = [['SIGTERM', 'SIGTERM'], ['SIGTERM', 'SIGINT'], ['SIGINT', 'SIGTERM'], ['SIGINT', 'SIGINT']]
const BETWEEN_MILLISECONDS = 300
/** Longer than the time between the signals, shorter than the time that the route allows. */
const RESPONSE_MILLISECONDS = 1000
const DEADLINE_MILLISECONDS = 6000
const OK = 200

describe('a gateway that is asked to stop more than once', () => {
  let deployment: ProcessDeployment
  before(async () => {
    deployment = await ProcessDeployment.create(SIGNALS.length, [{}])
    deployment.upstreams[0].script = (request, upstream) => { setTimeout(() => respond('whole')(request, upstream), RESPONSE_MILLISECONDS) }
  })
  after(async () => { await deployment.stop() })

  for (const [index, signals] of SIGNALS.entries()) {
    // Guards against: a second stop signal ends the process at once, and cuts off the requests that it runs.
    it(`LOST: finishes the requests that it runs: ${signals.join(', then ')}`, async () => {
      const gateway = index + 1
      const headers = { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': `stop-${index}`, 'plumstage-deadline-ms': String(DEADLINE_MILLISECONDS) }
      const received = deployment.upstreams[0].waitForRequests(index + 1)
      const response = request(`${deployment.gateways.callerUrlOf(gateway)}/search/x`, { headers }).then(async ({ statusCode, body }) => ({ status: statusCode, text: await body.text() }))
      // Handles a rejection before the test awaits it.
      response.catch(() => {})
      await received
      for (const signal of signals) {
        deployment.gateways.signal(gateway, signal)
        await wait(BETWEEN_MILLISECONDS)
      }
      assert.deepEqual(await response, { status: OK, text: 'whole' })
    })
  }
})
