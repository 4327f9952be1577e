import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { expectedCompletion, parseStream } from '../support/responses.js'
import { Deployment, instanceAddressOf } from '../support/deployment.js'

const TOKENS = 600
const NOTICE_MILLISECONDS = 2500

describe('handover of a reclaimed gateway', () => {
  let deployment: Deployment
  before(async () => { deployment = await Deployment.create({ gateways: 3, engineOptions: { stepMilliseconds: 10 } }) })
  after(async () => await deployment.stop())

  it('lets callers continue streams and fetch complete responses through another gateway', async () => {
    const [leaving, , other] = deployment.gateways
    await deployment.waitForEvent(event => event.process === 'gateway-1' && event.kind === 'member-joined' && event.attributes?.name === 'gateway-3')
    const stream = await deployment.sendChat({ stream: true, max_tokens: TOKENS }, {}, leaving)
    const buffered = deployment.sendChat({ max_tokens: TOKENS }, { redirect: 'manual' }, leaving)
    deployment.instanceList.state.put({ pool: 'gateways', address: instanceAddressOf(1), failureDomain: 'domain-1', instanceClass: 'standard', incarnation: 'one', state: 'leaving', deadline: Date.now() + NOTICE_MILLISECONDS })

    const first = parseStream(await stream.text())
    assert.equal(first.error?.code, 'request_moved')
    const requestId = stream.headers.get('x-request-id')
    const rest = parseStream(await (await deployment.sendRequest(`/v1/requests/${requestId}`, { headers: { 'last-event-id': String(first.positions.at(-1)) } }, other)).text())
    assert.equal(first.text + rest.text, expectedCompletion('hello', TOKENS))
    assert.deepEqual([...first.positions, ...rest.positions], Array.from({ length: TOKENS + 1 }, (_, index) => index + 1))
    assert.equal(rest.done, true)

    const redirect = await buffered
    assert.equal(redirect.status, 303)
    const response = await (await deployment.sendRequest(redirect.headers.get('location')!, {}, other)).json() as any
    assert.equal(response.choices[0].message.content, expectedCompletion('hello', TOKENS))
  })

  it('returns 404 for a request that no gateway knows', async () => {
    const response = await deployment.sendRequest('/v1/requests/req-nobody-1', {}, deployment.gateways[1])
    assert.equal(response.status, 404)
    assert.equal((await response.json() as any).error.code, 'request_not_found')
  })
})
