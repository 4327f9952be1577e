import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { HOST, PlatformDeployment, TOKEN } from './support/platformDeployment.js'
import { formatResponseHead, formatServerSentEvent, refuse, respond, streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

describe('serving gateway on the users\' platform', () => {
  let deployment: PlatformDeployment
  beforeEach(async () => { deployment = await PlatformDeployment.create() })
  afterEach(async () => await deployment.stop())

  function setScript (script: ResponseScript): void {
    for (const upstream of deployment.upstreams) upstream.script = script
  }

  function countRequests (): number {
    return deployment.upstreams.reduce((sum, upstream) => sum + upstream.requests.length, 0)
  }

  /** Uses one script for the first request, whichever upstream receives it, and another for all later requests. */
  function setScripts (first: ResponseScript, later: ResponseScript): void {
    let count = 0
    setScript((request, upstream) => count++ === 0 ? first(request, upstream) : later(request, upstream))
  }

  it('forwards a request and its response, and adds and removes only the headers that it has to', async () => {
    const response = await deployment.sendRequest('/page/notary?x=1', { method: 'POST', id: 'r-1', body: 'edit', headers: { 'X-Trace': 't', 'Plumstage-Tenant': 'forged', 'Plumstage-Hold': '7', 'Kv-From': '1.2.3.4:5/6', 'Plumstage-Deadline-Ms': '900' } })
    assert.equal(response.status, 200)
    assert.equal(response.body, 'hello')
    const [request] = deployment.upstreams.flatMap(upstream => upstream.requests)
    assert.equal(request.target, '/page/notary?x=1')
    assert.equal(request.body, 'edit')
    assert.equal(request.requestId, 'r-1')
    assert.equal(request.headers.get('x-trace'), 't')
    assert.equal(request.headers.get('plumstage-tenant'), 'notaries')
    assert.equal(request.headers.get('plumstage-hold'), undefined)
    assert.equal(request.headers.get('kv-from'), undefined)
    assert.equal(request.headers.get('authorization'), undefined)
    const remaining = Number(request.headers.get('plumstage-deadline-ms'))
    assert.ok(remaining > 0 && remaining <= 900, `${remaining} ms`)
  })

  it('forwards a caller\'s reserved headers even if its Connection header lists them', async () => {
    await deployment.sendRequest('/page/x', { method: 'POST', headers: { Connection: 'close, plumstage-model', 'Plumstage-Model': 'm' } })
    assert.equal(deployment.upstreams.flatMap(upstream => upstream.requests)[0].headers.get('plumstage-model'), 'm')
  })

  it('rejects invalid requests with the matching status', async () => {
    assert.equal((await deployment.sendRequest('/nowhere/x')).status, 404)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { Host: 'other.example' } })).status, 404)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { Authorization: 'Bearer unknown' } })).status, 401)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { 'Plumstage-Attempt-Id': '' } })).status, 400)
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST', body: 'x'.repeat(2001) })).status, 413)
    assert.equal((await deployment.sendRequest('/page/x', { headers: { 'X-Large': 'x'.repeat(5000) } })).status, 431)
    assert.equal((await deployment.sendRequest('/open/x', { headers: { Authorization: '' } })).status, 200)
    assert.equal(countRequests(), 1)
  })

  it('rejects ambiguous request heads that two parsers could read differently', async () => {
    const head = `POST /page/x HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: Bearer ${TOKEN}\r\nPlumstage-Attempt-Id: a\r\n`
    assert.equal((await deployment.sendRaw(`${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`)).status, 400)
    assert.equal((await deployment.sendRaw(`${head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`)).status, 400)
    assert.equal((await deployment.sendRaw(`${head}Plumstage-Attempt-Id: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)).status, 400)
    assert.equal(countRequests(), 0)
  })

  // Guards against: a request that can't be sent is tried until its deadline, and all upstreams count as unreachable for it.
  it('rejects a request that can\'t be sent at once, and blames no upstream', async () => {
    const [tenant] = [{ name: '\u0141\u00f3d\u017a', api_keys: [TOKEN], unit: 'tokens', uncached_tokens: 10, rate_per_s: 0, burst: 0 }]
    const revision = deployment.configure({ tenants: [tenant] })
    await deployment.waitForEvent(event => event.kind === 'configuration-applied' && Number(event.attributes?.revision) === revision)
    const startedAt = deployment.clock.now()
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 500)
    assert.ok(deployment.clock.now() < startedAt + 500)
    const now = deployment.clock.now()
    assert.deepEqual(deployment.gateways[0].state.upstreams.list().map(({ health }) => [health.isSuspended(now), health.failureRate]), [[false, 0], [false, 0]])
    assert.equal((await deployment.sendRequest('/open/x', { headers: { Authorization: '' } })).status, 200)
  })

  it('selects the route with the longest prefix', async () => {
    const other = await deployment.addUpstream('i-9', 'other')
    await deployment.waitForUpstreamList()
    await deployment.sendRequest('/search/deep/x')
    assert.equal(other.requests.length, 1)
  })

  it('rejects a request immediately with Retry-After when no upstream can serve it', async () => {
    const response = await deployment.sendRequest('/search/deep/x')
    assert.equal(response.status, 503)
    assert.ok(Number(response.headers.get('retry-after')) > 0)
  })

  it('counts the demand of a request once, regardless of the number of attempts', async () => {
    setScripts(refuse(), respond('second'))
    const response = await deployment.sendRequest('/search/x', { headers: { 'Plumstage-Model': 'm', 'Plumstage-Token-Count': '600,100' } })
    assert.deepEqual([response.status, countRequests()], [200, 2])
    const { state } = deployment.gateways[0]
    assert.equal(state.demand.demandOf('front', deployment.clock.now()).outputTokensPerSecond, 100)
  })

  it('retries at another upstream after a refusal, but not more often than the route allows', async () => {
    setScripts(refuse(), respond('second'))
    assert.equal((await deployment.sendRequest('/page/x')).body, 'second')
    setScript(refuse())
    const before = countRequests()
    const response = await deployment.sendRequest('/page/x')
    assert.equal(response.status, 503)
    assert.equal(countRequests() - before, 2)
  })

  it('starts only one new attempt after a server error', async () => {
    setScripts(respond('error', '500 Internal Server Error'), respond('good'))
    assert.equal((await deployment.sendRequest('/search/x')).body, 'good')
    assert.equal(countRequests(), 2)
  })

  it('forwards a server error of a non-idempotent request with its signature', async () => {
    setScript(respond('error', '500 Internal Server Error'))
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(response.status, 500)
    assert.match(response.headers.get('plumstage-server-stamp') ?? '', /^signed-by-/)
    assert.equal(countRequests(), 1)
  })

  // Guards against: a status that promises that the request was not executed is passed on from an upstream that has executed it.
  it('does not pass on a status of an upstream that promises what the upstream has not stated', async () => {
    for (const status of ['408 Request Timeout', '425 Too Early', '429 Too Many Requests', '503 Service Unavailable']) {
      setScript(respond('executed', status))
      for (const target of ['/page/x', '/summary/x', '/search/x', '/manual/x']) {
        const response = await deployment.sendRequest(target, { method: 'POST' })
        assert.deepEqual([response.status, response.headers.get('retry-after'), response.headers.get('plumstage-server-stamp')], [502, undefined, undefined], `${status} at ${target}`)
      }
    }
    setScript(respond('executed', '503 Service Unavailable', 'Retry-After: 1\r\n'))
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.deepEqual([response.status, response.headers.get('retry-after')], [502, undefined])
  })

  it('does not repeat a request that may be executed once after such a status', async () => {
    setScripts(respond('executed', '503 Service Unavailable'), respond('second'))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
    assert.equal(countRequests(), 1)
    setScripts(respond('executed', '503 Service Unavailable'), respond('second'))
    assert.equal((await deployment.sendRequest('/search/x')).body, 'second')
  })

  it('does not state that a request was not executed when one upstream failed and the next refused it', async () => {
    setScripts(respond('executed', '503 Service Unavailable'), refuse())
    assert.equal((await deployment.sendRequest('/search/x')).status, 502)
    setScripts(respond('executed', '429 Too Many Requests'), refuse())
    assert.equal((await deployment.sendRequest('/manual/x', { method: 'POST' })).status, 502)
  })

  it('passes on an error of an upstream without its delay, which only a refusal may state', async () => {
    setScript(respond('error', '500 Internal Server Error', 'Retry-After: 1\r\n'))
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.deepEqual([response.status, response.headers.get('retry-after')], [500, undefined])
  })

  it('reuses the connection to an upstream after a refusal', async () => {
    setScripts(refuse(), respond('second'))
    await deployment.sendRequest('/search/x')
    setScript(respond('again'))
    await deployment.sendRequest('/search/x')
    await deployment.sendRequest('/search/x')
    assert.ok(deployment.upstreams.every(upstream => upstream.connectionCount <= 1))
  })

  it('does not retry a non-idempotent request after a reset, and does not report it as not executed', async () => {
    setScript(request => request.socket.resetAndDestroy())
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(response.status, 502)
    assert.equal(countRequests(), 1)
  })

  it('does not treat a response without a length as complete when its connection is reset', async () => {
    setScript((request, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}\r\nhalf of the page`, () => setTimeout(() => request.socket.resetAndDestroy(), 20)))
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(response.status, 502)
  })

  it('does not treat a response without a length as complete when the reset arrives together with its bytes', async () => {
    setScript((request, upstream) => {
      request.socket.write(`${formatResponseHead(request, upstream)}\r\nhalf of the page`)
      request.socket.resetAndDestroy()
    })
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(response.status, 502)
  })

  it('treats a response without a length as complete when its connection is closed cleanly', async () => {
    setScript((request, upstream) => request.socket.end(`${formatResponseHead(request, upstream)}\r\nthe page`))
    const response = await deployment.sendRequest('/page/x', { method: 'POST' })
    assert.equal(response.body, 'the page')
  })

  it('drops a response that belongs to another request or has no signature', async () => {
    setScript((request, upstream) => request.socket.write(formatResponseHead({ ...request, requestId: 'other' }, upstream) + 'Content-Length: 5\r\n\r\nwrong'))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
    setScript(request => request.socket.write(`HTTP/1.1 200 OK\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nContent-Length: 5\r\n\r\nwrong`))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
  })

  it('returns the right response after an upstream responded twice to the previous request', async () => {
    setScript((request, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}Content-Length: 5\r\n\r\n${request.requestId}`.repeat(2)))
    assert.equal((await deployment.sendRequest('/search/x', { id: 'one-1' })).body, 'one-1')
    assert.equal((await deployment.sendRequest('/search/x', { id: 'two-2' })).body, 'two-2')
  })

  it('continues a resumable stream at another upstream without missing or repeated events', async () => {
    setScripts(streamEvents(1, 3, 'reset'), streamEvents(4, 6, 'end'))
    const response = await deployment.sendRequest('/manual/x', { method: 'POST' })
    assert.equal(response.body, [1, 2, 3, 4, 5, 6].map(formatServerSentEvent).join(''))
    assert.equal(response.complete, true)
    assert.equal(deployment.upstreams.flatMap(upstream => upstream.requests).find(request => request.headers.has('last-event-id'))?.headers.get('last-event-id'), '3')
  })

  it('cuts off a stream that can\'t be resumed, so that it does not look complete', async () => {
    setScripts(streamEvents(1, 3, 'reset'), streamEvents(4, 6, 'end'))
    const response = await deployment.sendRequest('/summary/x', { method: 'POST' })
    assert.equal(response.complete, false)
    assert.equal(countRequests(), 1)
  })

  it('responds at the route\'s timeout and cancels the request at the upstream', async () => {
    let closed: Promise<void> | undefined
    setScript(request => { closed = new Promise(resolve => request.socket.once('close', () => resolve())) })
    const response = await deployment.sendRequest('/brief/x')
    assert.equal(response.status, 504)
    await closed
  })

  it('cancels the request at the upstream when the caller disconnects', async () => {
    let closed: Promise<void> | undefined
    setScript(request => { closed = new Promise(resolve => request.socket.once('close', () => resolve())) })
    const caller = deployment.openRequest('/open/x')
    await Promise.race(deployment.upstreams.map(async upstream => await upstream.waitForRequests(1)))
    caller.destroy()
    await closed
  })

  it('sends no new requests to an upstream that is draining', async () => {
    deployment.putUpstreamEntry(deployment.upstreams[0], { state: 'draining' })
    await deployment.waitForUpstreamList()
    for (let index = 0; index < 8; index++) await deployment.sendRequest('/open/x')
    assert.equal(deployment.upstreams[0].requests.length, 0)
  })

  it('migrates resumable streams from an upstream before it is reclaimed', async () => {
    setScripts((request, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${formatServerSentEvent(1).length.toString(16)}\r\n${formatServerSentEvent(1)}\r\n`), streamEvents(2, 3, 'end'))
    const pending = deployment.sendRequest('/manual/x', { method: 'POST' })
    await Promise.race(deployment.upstreams.map(async upstream => await upstream.waitForRequests(1)))
    const first = deployment.upstreams.find(upstream => upstream.requests.length > 0)!
    deployment.putUpstreamEntry(first, { state: 'draining', leaves_ms: 500, spot: true })
    const response = await pending
    assert.equal(response.body, [1, 2, 3].map(formatServerSentEvent).join(''))
    assert.equal(response.complete, true)
  })

  it('ignores invalid upstream entries', async () => {
    deployment.store.put('servers/broken', Buffer.from([0xff, 0xfe, 0x00]))
    deployment.store.put('servers/odd', JSON.stringify({ service: 7, address: 'here' }))
    await deployment.waitForUpstreamList()
    assert.equal((await deployment.sendRequest('/open/x')).status, 200)
  })

  it('enforces a workspace\'s quota and sends Retry-After', async () => {
    const statuses: number[] = []
    for (let index = 0; index < 3; index++) statuses.push((await deployment.sendRequest('/search/x', { headers: { 'Plumstage-Token-Count': '600,100' } })).status)
    const last = await deployment.sendRequest('/search/x')
    assert.deepEqual([statuses[0], last.status], [200, 429])
    assert.ok(Number(last.headers.get('retry-after')) > 0)
  })

  it('applies a configuration that removes a route and a token', async () => {
    const revision = deployment.configure({ version: 5, routes: deployment.routes.filter(route => route.name !== 'page'), tenants: [] })
    await deployment.waitForEvent(event => event.kind === 'configuration-applied' && Number(event.attributes?.revision) === revision)
    assert.equal((await deployment.sendRequest('/page/x')).status, 404)
  })

  it('finishes running requests on a planned stop and closes keep-alive connections after the response', async () => {
    let finish: (() => void) | undefined
    setScript((request, upstream) => { finish = () => respond('late')(request, upstream) })
    const pending = deployment.sendRequest('/page/x', { method: 'POST', headers: { Connection: 'keep-alive' } })
    await Promise.race(deployment.upstreams.map(async upstream => await upstream.waitForRequests(1)))
    const stopped = deployment.gateways[0].stop()
    assert.equal(deployment.gateways[0].isReady, false)
    finish?.()
    const response = await pending
    assert.equal(response.body, 'late')
    assert.equal(response.headers.get('connection'), 'close')
    await stopped
  })

  it('stops accepting requests within three seconds of a planned stop', async () => {
    const socket = deployment.openRequest('/open/x', { headers: { Connection: 'keep-alive' } })
    await new Promise<void>(resolve => socket.once('data', () => resolve()))
    const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    const stopStartedAt = deployment.clock.now()
    const stopped = deployment.gateways[0].stop()
    await closed
    const elapsed = deployment.clock.now() - stopStartedAt
    assert.ok(elapsed > 2000 && elapsed < 3000, `closed after ${elapsed} ms`)
    await stopped
  })

  it('reports each usage window once, with the fencing number of its duty', async () => {
    await deployment.sendRequest('/open/x', { headers: { Authorization: `Bearer ${TOKEN}` } })
    await deployment.waitForEvent(event => event.kind === 'usage-reported' && Number(event.attributes?.requests) > 0)
    const reports = deployment.cloudRequests.filter(request => request.path === '/usage')
    const report = reports.find(request => Object.keys(request.document.counts as object).length > 0)
    assert.deepEqual(report?.document.counts, { notaries: 1 })
    assert.ok(report!.fencingNumber > 0)
    assert.equal(new Set(reports.map(request => request.document.window_id)).size, reports.length)
  })

  // Guards against: a sound stream whose events have no ids gets nowhere by its ids, so that it is never cleared of a crash.
  it('counts the events of a stream without ids as its progress', async () => {
    const { requestQuarantine } = deployment.gateways[0].state
    const progress: number[] = []
    requestQuarantine.recordCrash('other', { crash: 'i-1', progress: 0, hasBegun: false, isTrial: false }, deployment.clock.now())
    requestQuarantine.recordProgress = (_digest, reached) => { progress.push(reached) }
    const events = 'data: one\n\ndata: two\n\n'
    const answer: ResponseScript = (request, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\nContent-Length: ${events.length}\r\n\r\n${events}`)
    setScript(answer)
    assert.equal((await deployment.sendRequest('/summary/x', { method: 'POST' })).status, 200)
    assert.equal(progress.at(-1), 2)
  })
})
