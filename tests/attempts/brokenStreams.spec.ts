import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { expectedCompletion, parseStream } from '../support/responses.js'
import { Deployment } from '../support/deployment.js'
import type { DeploymentOptions } from '../support/deployment.js'

async function withDeployment (options: DeploymentOptions, test: (deployment: Deployment) => Promise<void>): Promise<void> {
  const deployment = await Deployment.create(options)
  try {
    await test(deployment)
  } finally {
    await deployment.stop()
  }
}

describe('broken streams', () => {
  it('continue from the last token on another engine', async () => {
    await withDeployment({ engines: 2 }, async deployment => {
      for (const engine of deployment.engines) engine.faults.cutAfterTokens = 7
      const text = deployment.sendChat({ stream: true, max_tokens: 12 }).then(async response => await response.text())
      const received = parseStream(await text)
      assert.equal(received.text, expectedCompletion('hello', 12))
      assert.equal(received.done, true)
      assert.ok(deployment.engines.every(engine => engine.counts.started === 1))
    })
  })

  it('end with an error event if the engine cannot resume a stream', async () => {
    await withDeployment({ engines: 1, abilities: 'echoesRequestId: true' }, async deployment => {
      deployment.engines[0].faults.cutAfterTokens = 5
      const received = parseStream(await (await deployment.sendChat({ stream: true, max_tokens: 12 })).text())
      assert.equal(received.text, expectedCompletion('hello', received.positions.length))
      assert.ok(received.positions.length >= 1 && received.positions.length <= 5, 'a cut connection may lose bytes in transit')
      assert.equal(received.done, false)
      assert.equal(received.error?.code, 'upstream_failed')
      assert.equal(received.error?.outcome, 'unknown')
    })
  })

  it('are cancelled at the engine when the caller disconnects', async () => {
    await withDeployment({ engines: 1, engineOptions: { stepMilliseconds: 5 } }, async deployment => {
      const abort = new AbortController()
      const response = await deployment.sendChat({ stream: true, max_tokens: 5000 }, { signal: abort.signal })
      await response.body!.getReader().read()
      abort.abort()
      const ended = await deployment.waitForEvent(event => event.kind === 'request-ended')
      assert.equal(ended.attributes?.reason, 'caller-gone')
      while (deployment.engines[0].counts.cancelled === 0) await new Promise(resolve => setImmediate(resolve))
      assert.equal(deployment.engines[0].counts.cancelled, 1)
    })
  })

  it('end with an error event when the answer deadline passes', async () => {
    await withDeployment({ engines: 1, startWithinMilliseconds: 300, answerWithinMilliseconds: 400, engineOptions: { stepMilliseconds: 20 } }, async deployment => {
      const received = parseStream(await (await deployment.sendChat({ stream: true, max_tokens: 1000 })).text())
      assert.equal(received.error?.code, 'answer_deadline_passed')
      assert.equal(received.done, false)
      assert.equal(received.text, expectedCompletion('hello', received.positions.length))
    })
  })
})
