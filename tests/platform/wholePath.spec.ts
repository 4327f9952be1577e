import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { HOST, PlatformDeployment, TOKEN } from './support/platformDeployment.js'
import { respond, formatServerSentEvent, formatResponseHead, refuse, streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

describe('whole path on the users\' platform', () => {
  let deployment: PlatformDeployment
  beforeEach(async () => { deployment = await PlatformDeployment.create() })
  afterEach(async () => await deployment.stop())

  function script (answer: ResponseScript): void {
    for (const worker of deployment.upstreams) worker.script = answer
  }

  function received (): number {
    return deployment.upstreams.reduce((sum, worker) => sum + worker.requests.length, 0)
  }

  /** Answers the first request, whichever worker gets it, by one script and all others by another. */
  function scriptFirst (first: ResponseScript, others: ResponseScript): void {
    let count = 0
    script((request, worker) => count++ === 0 ? first(request, worker) : others(request, worker))
  }

  it('passes a request and its answer on, and adds and strips only what it has to', async () => {
    const answer = await deployment.sendRequest('/page/notary?x=1', { method: 'POST', id: 'r-1', body: 'edit', headers: { 'X-Trace': 't', 'Plumstage-Tenant': 'forged', 'Plumstage-Hold': '7', 'Kv-From': '1.2.3.4:5/6', 'Plumstage-Deadline-Ms': '900' } })
    assert.equal(answer.status, 200)
    assert.equal(answer.body, 'hello')
    const [request] = deployment.upstreams.flatMap(worker => worker.requests)
    assert.equal(request.target, '/page/notary?x=1')
    assert.equal(request.body, 'edit')
    assert.equal(request.requestId, 'r-1')
    assert.equal(request.headers.get('x-trace'), 't')
    assert.equal(request.headers.get('plumstage-tenant'), 'notaries')
    assert.equal(request.headers.get('plumstage-hold'), undefined)
    assert.equal(request.headers.get('kv-from'), undefined)
    assert.equal(request.headers.get('authorization'), undefined)
    const left = Number(request.headers.get('plumstage-deadline-ms'))
    assert.ok(left > 0 && left <= 900, `${left} ms`)
  })

  it('keeps system headers that a caller nominates as hop-by-hop', async () => {
    await deployment.sendRequest('/page/x', { method: 'POST', headers: { Connection: 'close, plumstage-model', 'Plumstage-Model': 'm' } })
    assert.equal(deployment.upstreams.flatMap(worker => worker.requests)[0].headers.get('plumstage-model'), 'm')
  })

  it('rejects what is not allowed with the status that says so', async () => {
    assert.equal((await deployment.sendRequest('/nowhere/x')).status, 404)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { Host: 'other.example' } })).status, 404)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { Authorization: 'Bearer unknown' } })).status, 401)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { 'Plumstage-Attempt-Id': '' } })).status, 400)
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST', body: 'x'.repeat(2001) })).status, 413)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { 'X-Large': 'x'.repeat(5000) } })).status, 431)
    assert.equal((await deployment.sendRequest('/open/x', { headers: { Authorization: '' } })).status, 200)
    assert.equal(received(), 1)
  })

  it('rejects heads that two readers could read differently', async () => {
    const head = `POST /page/x HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: Bearer ${TOKEN}\r\nPlumstage-Attempt-Id: a\r\n`
    assert.equal((await deployment.sendRaw(`${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`)).status, 400)
    assert.equal((await deployment.sendRaw(`${head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`)).status, 400)
    assert.equal((await deployment.sendRaw(`${head}Plumstage-Attempt-Id: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)).status, 400)
    assert.equal(received(), 0)
  })

  it('takes the route with the longest prefix', async () => {
    const other = await deployment.addUpstream('i-9', 'other')
    await deployment.waitForUpstreamList()
    await deployment.sendRequest('/search/deep/x')
    assert.equal(other.requests.length, 1)
  })

  it('refuses at once what no upstream can serve, and says when to come back', async () => {
    const answer = await deployment.sendRequest('/search/deep/x')
    assert.equal(answer.status, 503)
    assert.ok(Number(answer.headers.get('retry-after')) > 0)
  })

  it('counts the demand of a request once, however often it is tried', async () => {
    scriptFirst(refuse(), respond('second'))
    const answer = await deployment.sendRequest('/search/x', { headers: { 'Plumstage-Model': 'm', 'Plumstage-Token-Count': '600,100' } })
    assert.deepEqual([answer.status, received()], [200, 2])
    const { state } = deployment.gateways[0]
    assert.equal(state.demand.demandOf('front', deployment.clock.now()).outputTokensPerSecond, 100)
  })

  it('tries another upstream once when the first refuses, and not more often than the route allows', async () => {
    scriptFirst(refuse(), respond('second'))
    assert.equal((await deployment.sendRequest('/page/x')).body, 'second')
    script(refuse())
    const before = received()
    const answer = await deployment.sendRequest('/page/x')
    assert.equal(answer.status, 503)
    assert.equal(received() - before, 2)
  })

  it('starts one attempt after a server error, not two', async () => {
    scriptFirst(respond('error', '500 Internal Server Error'), respond('good'))
    assert.equal((await deployment.sendRequest('/search/x')).body, 'good')
    assert.equal(received(), 2)
  })

  it('passes a server error of a non-idempotent request on with its signature', async () => {
    script(respond('error', '500 Internal Server Error'))
    const answer = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(answer.status, 500)
    assert.match(answer.headers.get('plumstage-server-stamp') ?? '', /^signed-by-/)
    assert.equal(received(), 1)
  })

  it('keeps the connection of an upstream that refused', async () => {
    scriptFirst(refuse(), respond('second'))
    await deployment.sendRequest('/search/x')
    script(respond('again'))
    await deployment.sendRequest('/search/x')
    await deployment.sendRequest('/search/x')
    assert.ok(deployment.upstreams.every(worker => worker.connectionCount <= 1))
  })

  it('never runs a non-idempotent request again after a reset, and does not promise that it has not run', async () => {
    script(request => request.socket.resetAndDestroy())
    const answer = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(answer.status, 502)
    assert.equal(received(), 1)
  })

  it('does not take an answer without a length as whole when its connection is reset', async () => {
    script((request, worker) => request.socket.write(`${formatResponseHead(request, worker)}\r\nhalf of the page`, () => setTimeout(() => request.socket.resetAndDestroy(), 20)))
    const answer = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(answer.status, 502)
  })

  it('does not take it as whole either when the reset arrives together with the bytes', async () => {
    script((request, worker) => {
      request.socket.write(`${formatResponseHead(request, worker)}\r\nhalf of the page`)
      request.socket.resetAndDestroy()
    })
    const answer = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(answer.status, 502)
  })

  it('takes an answer without a length as whole when its connection ends in order', async () => {
    script((request, worker) => request.socket.end(`${formatResponseHead(request, worker)}\r\nthe page`))
    const answer = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(answer.body, 'the page')
  })

  it('gives nobody an answer that belongs to another request, or has no signature', async () => {
    script((request, worker) => request.socket.write(formatResponseHead({ ...request, requestId: 'other' }, worker) + 'Content-Length: 5\r\n\r\nwrong'))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
    script(request => request.socket.write(`HTTP/1.1 200 OK\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nContent-Length: 5\r\n\r\nwrong`))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
  })

  it('gives a caller its own answer after a second one to the request before', async () => {
    script((request, worker) => request.socket.write(`${formatResponseHead(request, worker)}Content-Length: 5\r\n\r\n${request.requestId}`.repeat(2)))
    assert.equal((await deployment.sendRequest('/search/x', { id: 'one-1' })).body, 'one-1')
    assert.equal((await deployment.sendRequest('/search/x', { id: 'two-2' })).body, 'two-2')
  })

  it('continues a resumable stream at another upstream without a gap or a repeat', async () => {
    scriptFirst(streamEvents(1, 3, 'reset'), streamEvents(4, 6, 'end'))
    const answer = await deployment.sendRequest('/manual/x', { method: 'POST' })
    assert.equal(answer.body, [1, 2, 3, 4, 5, 6].map(formatServerSentEvent).join(''))
    assert.equal(answer.complete, true)
    assert.equal(deployment.upstreams.flatMap(worker => worker.requests).find(request => request.headers.has('last-event-id'))?.headers.get('last-event-id'), '3')
  })

  it('cuts a stream that can\'t be continued, so that it does not look whole', async () => {
    scriptFirst(streamEvents(1, 3, 'reset'), streamEvents(4, 6, 'end'))
    const answer = await deployment.sendRequest('/summary/x', { method: 'POST' })
    assert.equal(answer.complete, false)
    assert.equal(received(), 1)
  })

  it('answers at the route\'s timeout and ends the work at the upstream', async () => {
    let closed: Promise<void> | undefined
    script(request => { closed = new Promise(resolve => request.socket.once('close', () => resolve())) })
    const answer = await deployment.sendRequest('/brief/x')
    assert.equal(answer.status, 504)
    await closed
  })

  it('ends the work at the upstream when the caller leaves', async () => {
    let closed: Promise<void> | undefined
    script(request => { closed = new Promise(resolve => request.socket.once('close', () => resolve())) })
    const caller = deployment.openRequest('/open/x')
    await Promise.race(deployment.upstreams.map(async worker => await worker.waitForRequests(1)))
    caller.destroy()
    await closed
  })

  it('gives no new work to an upstream that reports that it leaves', async () => {
    deployment.putUpstreamEntry(deployment.upstreams[0], { state: 'draining' })
    await deployment.waitForUpstreamList()
    for (let index = 0; index < 8; index++) await deployment.sendRequest('/open/x')
    assert.equal(deployment.upstreams[0].requests.length, 0)
  })

  it('moves resumable streams away from an upstream before it is taken away', async () => {
    scriptFirst((request, worker) => request.socket.write(`${formatResponseHead(request, worker)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${formatServerSentEvent(1).length.toString(16)}\r\n${formatServerSentEvent(1)}\r\n`), streamEvents(2, 3, 'end'))
    const call = deployment.sendRequest('/manual/x', { method: 'POST' })
    await Promise.race(deployment.upstreams.map(async worker => await worker.waitForRequests(1)))
    const first = deployment.upstreams.find(worker => worker.requests.length > 0)!
    deployment.putUpstreamEntry(first, { state: 'draining', leaves_ms: 500, spot: true })
    const answer = await call
    assert.equal(answer.body, [1, 2, 3].map(formatServerSentEvent).join(''))
    assert.equal(answer.complete, true)
  })

  it('skips entries that name no upstream', async () => {
    deployment.store.put('servers/broken', Buffer.from([0xff, 0xfe, 0x00]))
    deployment.store.put('servers/odd', JSON.stringify({ service: 7, address: 'here' }))
    await deployment.waitForUpstreamList()
    assert.equal((await deployment.sendRequest('/open/x')).status, 200)
  })

  it('binds a workspace to its quota and says when to come back', async () => {
    const statuses: number[] = []
    for (let index = 0; index < 3; index++) statuses.push((await deployment.sendRequest('/search/x', { headers: { 'Plumstage-Token-Count': '600,100' } })).status)
    const last = await deployment.sendRequest('/search/x')
    assert.deepEqual([statuses[0], last.status], [200, 429])
    assert.ok(Number(last.headers.get('retry-after')) > 0)
  })

  it('puts a configuration in force that drops a route and a key', async () => {
    const revision = deployment.configure({ version: 5, routes: deployment.routes.filter(route => route.name !== 'page'), tenants: [] })
    await deployment.waitForEvent(event => event.kind === 'configuration-applied' && Number(event.attributes?.revision) === revision)
    assert.equal((await deployment.sendRequest('/page/x')).status, 404)
  })

  it('cuts off no request on a planned stop, and ends kept connections with the answer', async () => {
    let finish: (() => void) | undefined
    script((request, worker) => { finish = () => respond('late')(request, worker) })
    const call = deployment.sendRequest('/page/x', { method: 'POST', headers: { Connection: 'keep-alive' } })
    await Promise.race(deployment.upstreams.map(async worker => await worker.waitForRequests(1)))
    const stopped = deployment.gateways[0].stop()
    assert.equal(deployment.gateways[0].isReady, false)
    finish?.()
    const answer = await call
    assert.equal(answer.body, 'late')
    assert.equal(answer.headers.get('connection'), 'close')
    await stopped
  })

  it('takes no request later than three seconds after it was told to stop', async () => {
    const kept = deployment.openRequest('/open/x', { headers: { Connection: 'keep-alive' } })
    await new Promise<void>(resolve => kept.once('data', () => resolve()))
    const closed = new Promise<void>(resolve => kept.once('close', () => resolve()))
    const toldAt = deployment.clock.now()
    const stopped = deployment.gateways[0].stop()
    await closed
    const elapsed = deployment.clock.now() - toldAt
    assert.ok(elapsed > 2000 && elapsed < 3000, `closed after ${elapsed} ms`)
    await stopped
  })

  it('reports each window once, with the fencing number of its duty', async () => {
    await deployment.sendRequest('/open/x', { headers: { Authorization: `Bearer ${TOKEN}` } })
    await deployment.waitForEvent(event => event.kind === 'usage-reported' && Number(event.attributes?.requests) > 0)
    const reports = deployment.cloudRequests.filter(call => call.path === '/usage')
    const report = reports.find(call => Object.keys(call.document.counts as object).length > 0)
    assert.deepEqual(report?.document.counts, { notaries: 1 })
    assert.ok(report!.fencingNumber > 0)
    assert.equal(new Set(reports.map(call => call.document.window_id)).size, reports.length)
  })
})
