import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { expectedCompletion, parseStream } from '../support/responses.js'
import { Deployment } from '../support/deployment.js'

describe('serving path', () => {
  let deployment: Deployment
  before(async () => { deployment = await Deployment.create() })
  after(async () => await deployment.stop())

  it('streams a chat completion to its end', async () => {
    const response = await deployment.sendChat({ stream: true, max_tokens: 20 })
    assert.equal(response.status, 200)
    assert.equal(response.headers.get('content-type'), 'text/event-stream')
    const seen = parseStream(await response.text())
    assert.equal(seen.text, expectedCompletion('hello', 20))
    assert.deepEqual(seen.positions, Array.from({ length: 21 }, (_, index) => index + 1))
    assert.equal(seen.done, true)
  })

  it('returns a chat completion without streaming', async () => {
    const response = await deployment.sendChat({ max_tokens: 7 })
    const completion = await response.json() as any
    assert.equal(response.headers.get('plumstage-outcome'), 'complete')
    assert.equal(completion.object, 'chat.completion')
    assert.equal(completion.id, `chatcmpl-${response.headers.get('x-request-id')}`)
    assert.equal(completion.choices[0].message.content, expectedCompletion('hello', 7))
    assert.equal(completion.choices[0].finish_reason, 'length')
    assert.equal(completion.usage.completion_tokens, 7)
  })

  it('returns a text completion, streamed and not streamed', async () => {
    const body = { model: 'model-a', prompt: 'once', max_tokens: 4 }
    const complete = await (await deployment.sendRequest('/v1/completions', { method: 'POST', body: JSON.stringify(body) })).json() as any
    const streamed = parseStream(await (await deployment.sendRequest('/v1/completions', { method: 'POST', body: JSON.stringify({ ...body, stream: true }) })).text())
    assert.equal(complete.choices[0].text, streamed.text)
    assert.equal(streamed.done, true)
  })

  it('lists the models', async () => {
    const models = await (await deployment.sendRequest('/v1/models')).json() as any
    assert.deepEqual(models.data.map((model: any) => model.id), ['model-a'])
  })

  it('forwards a request to a plain service', async () => {
    const response = await deployment.sendRequest('/plain/page?x=1')
    assert.equal(response.status, 200)
    assert.equal(response.headers.get('plumstage-outcome'), 'complete')
    assert.equal((await response.json() as any).path, '/plain/page')
  })
})
