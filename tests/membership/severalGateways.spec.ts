import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { CallContext, IdGenerator } from '@plumstage/common'
import { Deployment, OPERATOR_TOKEN } from '../support/deployment.js'

const IN_FORCE_MILLISECONDS = 7000
const EXTRA_PRIORITY = '{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: NAME }, spec: { rank: 4, startWithinMilliseconds: 1000 } }'

describe('several gateways', () => {
  let deployment: Deployment
  before(async () => { deployment = await Deployment.create({ gateways: 3 }) })
  after(async () => await deployment.stop())

  it('have a change in force on every gateway within the time limit', async () => {
    const appliedAt = Date.now()
    const revision = await deployment.apply(EXTRA_PRIORITY.replace('NAME', 'extra'))
    for (const name of ['gateway-1', 'gateway-2', 'gateway-3']) {
      await deployment.waitForEvent(event => event.process === name && event.kind === 'configuration-adopted' && Number(event.attributes?.revision) >= revision)
    }
    assert.ok(Date.now() - appliedAt < IN_FORCE_MILLISECONDS)
  })

  it('discover each other', async () => {
    for (const [one, other] of [['gateway-1', 'gateway-3'], ['gateway-3', 'gateway-1']]) await deployment.waitForEvent(event => event.process === one && event.kind === 'member-joined' && event.attributes?.name === other)
    assert.equal(deployment.gateways[0].status.members.length, 2)
  })

  it('execute a write once, whichever gateways receive it', async () => {
    const init = { method: 'POST', body: 'slot 9', headers: { 'idempotency-key': 'slot-9' } }
    const first = await deployment.sendRequest('/plain/booking', init, deployment.gateways[0])
    await deployment.waitForEvent(event => event.kind === 'claim-complete' && event.request === first.headers.get('x-request-id'))
    const again = await deployment.sendRequest('/plain/booking', init, deployment.gateways[2])
    assert.equal(await again.text(), await first.text())
    assert.equal(deployment.plainServices[0].countExecutions('POST', '/plain/booking', 'slot 9'), 1)
    const reused = await deployment.sendRequest('/plain/booking', { ...init, body: 'slot 10' }, deployment.gateways[1])
    assert.equal(reused.status, 422)
    assert.equal(deployment.plainServices[0].countExecutions('POST', '/plain/booking', 'slot 10'), 0)
  })

  it('report that a large response was not kept, and do not execute its request again', async () => {
    const body = 'x'.repeat(300 * 1024)
    const init = { method: 'POST', body, headers: { 'idempotency-key': 'large' } }
    const first = await deployment.sendRequest('/plain/large', init, deployment.gateways[0])
    assert.equal((await first.json() as any).content.length, body.length)
    await deployment.waitForEvent(event => event.kind === 'claim-complete' && event.request === first.headers.get('x-request-id'))
    const again = await deployment.sendRequest('/plain/large', init, deployment.gateways[1])
    assert.equal((await again.json() as any).error.code, 'answer_not_kept')
    assert.equal(again.headers.get('plumstage-outcome'), 'complete')
    assert.equal(deployment.plainServices[0].countExecutions('POST', '/plain/large', body), 1)
  })

  it('refuse a peer with a wrong token', async () => {
    const { ConnectPeerLink } = await import('@plumstage/gateway')
    const unauthorizedPeer = ConnectPeerLink.create({ deployment: 'test', token: IdGenerator.create('wrong', 'token').next() }, deployment.clock)
    await assert.rejects(unauthorizedPeer.exchange(CallContext.create(deployment.clock), deployment.gateways[0].peerAddress, { members: [], departures: [], suspicions: [] }), /peer token is wrong/)
  })

  it('pass their configuration to a gateway that starts while the key-value service is down', async () => {
    deployment.keyValue.faults.change({ down: true })
    const fourth = await deployment.addGateway()
    const adopted = await deployment.waitForEvent(event => event.process === 'gateway-4' && event.kind === 'configuration-adopted')
    assert.equal(adopted.attributes?.source, 'peer')
    assert.equal((await deployment.sendChat({ max_tokens: 2 }, {}, fourth)).status, 200)
    const write = await deployment.sendRequest('/plain/booking', { method: 'POST', body: 'slot 11', headers: { 'idempotency-key': 'slot-11' } }, fourth)
    assert.equal(write.headers.get('plumstage-outcome'), 'not-run')
    assert.ok(Number(write.headers.get('retry-after')) > 0)
    assert.equal(deployment.plainServices[0].countExecutions('POST', '/plain/booking', 'slot 11'), 0)
    deployment.keyValue.faults.change({ down: false })
  })

  it('show status and metrics only to operators', async () => {
    const { operatorAddress } = deployment.gateways[0]
    assert.equal((await fetch(`http://${operatorAddress}/status`)).status, 401)
    assert.equal((await fetch(`http://${operatorAddress}/readyz`)).status, 200)
    const metrics = await (await fetch(`http://${operatorAddress}/metrics`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })).text()
    assert.match(metrics, /plumstage_requests_total\{outcome="complete",reason="none"\} [1-9]/)
  })
})
