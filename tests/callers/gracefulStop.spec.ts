import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { expectedCompletion, parseStream } from '../support/responses.js'
import { Deployment } from '../support/deployment.js'

const STREAMS = 50
const TOKENS = 300

describe('graceful stop', () => {
  let deployment: Deployment
  before(async () => { deployment = await Deployment.create({ gateways: 2, concurrencyPerUpstream: 64, engineOptions: { maximumRunning: 64 } }) })
  after(async () => await deployment.stop())

  it('completes fifty open streams before the gateway stops', async () => {
    const responses = await Promise.all(Array.from({ length: STREAMS }, async () => await deployment.sendChat({ stream: true, max_tokens: TOKENS })))
    const stopped = deployment.gateways[0].stop()
    const ready = await fetch(`http://${deployment.gateways[0].operatorAddress}/readyz`)
    assert.equal(ready.status, 503)
    const texts = await Promise.all(responses.map(async response => await response.text()))
    await stopped
    for (const text of texts) {
      const seen = parseStream(text)
      assert.equal(seen.text, expectedCompletion('hello', TOKENS))
      assert.equal(seen.done, true)
    }
    await assert.rejects(deployment.sendChat({ max_tokens: 1 }))
    assert.equal((await deployment.sendChat({ max_tokens: 1 }, {}, deployment.gateways[1])).status, 200)
  })
})
