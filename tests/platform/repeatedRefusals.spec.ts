import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { PlatformDeployment, formatConfiguration } from './support/platformDeployment.js'
import { formatResponseHead, formatServerSentEvent, refuse, respond, streamEvents } from './support/upstreamStandin.js'
import type { ReceivedRequest, ResponseScript } from './support/upstreamStandin.js'

const EMPTY_BODY = 'Content-Length: 0\r\n\r\n'
/** A refusal that does not name the request that it belongs to. */
const UNNAMED_REFUSAL = `HTTP/1.1 503 Service Unavailable\r\nPlumstage-Not-Executed: 1\r\n${EMPTY_BODY}`
const EXECUTION_MILLISECONDS = 60
const REFUSALS = [408, 421, 425, 429, 503]

function formatRefusal (requestId: string, status = '503 Service Unavailable'): string {
  return `HTTP/1.1 ${status}\r\nPlumstage-Attempt-Id: ${requestId}\r\nPlumstage-Not-Executed: 1\r\n${EMPTY_BODY}`
}

/** An upstream refuses a request, and writes the refusal once more, late or for another request. */
describe('refusals that are not of the request', () => {
  let deployment: PlatformDeployment
  afterEach(async () => await deployment.stop())

  /** Requests that an upstream has executed. */
  const executed: string[] = []

  async function start (upstreamCount: number, script: ResponseScript): Promise<void> {
    executed.length = 0
    deployment = await PlatformDeployment.create(upstreamCount)
    for (const upstream of deployment.upstreams) upstream.script = script
  }

  /** Executes a request, and answers it after a while. */
  const execute: ResponseScript = (request, upstream) => {
    executed.push(request.requestId)
    setTimeout(() => respond('done')(request, upstream), EXECUTION_MILLISECONDS)
  }

  /** Executes requests, and writes a refusal before the answer to each of them but the first on a connection. */
  function repeatBefore (formatRepeated: (earlier: ReceivedRequest) => string, delayMilliseconds: number): ResponseScript {
    const earlier = new Map<unknown, ReceivedRequest>()
    return (request, upstream) => {
      const previous = earlier.get(request.socket)
      earlier.set(request.socket, request)
      if (!previous) return refuse()(request, upstream)
      setTimeout(() => { if (!request.socket.destroyed) request.socket.write(formatRepeated(previous)) }, delayMilliseconds)
      execute(request, upstream)
    }
  }

  function assertTrue (statuses: readonly number[], ids: readonly string[]): void {
    for (const [index, id] of ids.entries()) {
      const runs = executed.filter(known => known === id).length
      assert.ok(runs <= 1, `${id} was executed ${runs} times`)
      assert.ok(runs === 0 || !REFUSALS.includes(statuses[index]), `${id} was executed, and its caller got ${statuses[index]}`)
    }
  }

  for (const [description, format] of [['that names the earlier request', (earlier: ReceivedRequest) => formatRefusal(earlier.requestId)], ['that names no request', () => UNNAMED_REFUSAL]] as const) {
    for (const delayMilliseconds of [0, 30]) {
      // Guards against: a repeated refusal is taken for the answer to the next request on the connection, which is executed.
      it(`are not taken for the answer to the next request: one ${description}, ${delayMilliseconds} ms after it`, async () => {
        await start(2, repeatBefore(format, delayMilliseconds))
        for (const [target, method] of [['/page/x', 'POST'], ['/summary/x', 'POST']]) {
          const ids = Array.from({ length: 8 }, (_, index) => `${target}-${index}`)
          const statuses: number[] = []
          for (const id of ids) statuses.push((await deployment.sendRequest(target, { method, id })).status)
          await wait(2 * EXECUTION_MILLISECONDS)
          assertTrue(statuses, ids)
        }
        assert.ok(executed.length > 0, 'requests were executed')
      })
    }
  }

  // Guards against: the refusal of one attempt is taken for that of a later one on the same connection, which has the same id.
  it('are not taken for the answer to the next attempt of the same request at the same upstream', async () => {
    const refusedOn = new Set<unknown>()
    await start(1, (request, upstream) => {
      if (refusedOn.has(request.socket)) request.socket.write(formatRefusal(request.requestId))
      if (refusedOn.size > 1) return execute(request, upstream)
      refusedOn.add(request.socket)
      setTimeout(() => refuse()(request, upstream), 5)
    })
    const revision = deployment.store.put('op/config', formatConfiguration({}).replaceAll('"max_attempts":2', '"max_attempts":6'))
    await deployment.waitForEvent(event => event.kind === 'configuration-applied' && Number(event.attributes?.revision) === revision)
    const { status } = await deployment.sendRequest('/page/x', { method: 'POST', id: 'r-1' })
    await wait(2 * EXECUTION_MILLISECONDS)
    assertTrue([status], ['r-1'])
    assert.equal(status, 200)
  })

  it('are not taken for the answer to a stream that goes on at another upstream', async () => {
    const scripts: ResponseScript[] = [streamEvents(1, 2, 'reset'), request => {
      executed.push(request.requestId)
      request.socket.write(UNNAMED_REFUSAL)
    }, streamEvents(3, 4, 'end')]
    await start(3, (request, upstream) => (scripts.shift() ?? streamEvents(3, 4, 'end'))(request, upstream))
    const response = await deployment.sendRequest('/manual/x', { method: 'POST' })
    if (response.complete) assert.equal(response.body, [1, 2, 3, 4].map(formatServerSentEvent).join(''))
  })

  it('end the connection, so that nothing that follows on it is taken for an answer', async () => {
    const sockets = new Set<unknown>()
    await start(1, request => {
      sockets.add(request.socket)
      request.socket.write(UNNAMED_REFUSAL)
    })
    for (let count = 0; count < 3; count++) assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 502)
    assert.equal(sockets.size, 3)
  })

  it('are believed when they name the request, and it is then sent to another upstream', async () => {
    let count = 0
    await start(2, (request, upstream) => (count++ === 0 ? refuse() : execute)(request, upstream))
    assert.equal((await deployment.sendRequest('/page/x', { method: 'POST', id: 'r-1' })).status, 200)
    assert.deepEqual(executed, ['r-1'])
  })

  // Guards against: a response that contradicts itself is taken for a refusal.
  it('are not believed of a response that is a success, or that names two requests', async () => {
    for (const response of [
      (request: ReceivedRequest) => `HTTP/1.1 200 OK\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nPlumstage-Not-Executed: 1\r\n${EMPTY_BODY}`,
      (request: ReceivedRequest) => formatRefusal(`${request.requestId}\r\nPlumstage-Attempt-Id: r-0`)
    ]) {
      await start(2, request => {
        executed.push(request.requestId)
        request.socket.write(response(request))
      })
      const { status } = await deployment.sendRequest('/page/x', { method: 'POST', id: 'r-1' })
      assert.deepEqual([status, executed], [502, ['r-1']])
      await deployment.stop()
    }
    deployment = await PlatformDeployment.create(1)
  })

  it('of another instance at the address are believed without an id if they name it, and end the connection', async () => {
    const answers: Array<(request: ReceivedRequest) => string> = [
      () => `HTTP/1.1 421 Misdirected Request\r\nPlumstage-Instance-Id: i-other\r\n${EMPTY_BODY}`,
      request => `HTTP/1.1 421 Misdirected Request\r\nPlumstage-Instance-Id: ${request.headers.get('plumstage-expect-instance')}\r\n${EMPTY_BODY}`,
      () => `HTTP/1.1 421 Misdirected Request\r\n${EMPTY_BODY}`
    ]
    const expected = [200, 502, 502]
    for (const [index, answer] of answers.entries()) {
      const sockets: unknown[] = []
      await start(2, (request, upstream) => {
        sockets.push(request.socket)
        if (sockets.length === 1) return void request.socket.write(answer(request))
        respond('other')(request, upstream)
      })
      assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, expected[index], `answer ${index}`)
      for (let count = 0; count < 4; count++) await deployment.sendRequest('/search/x')
      assert.ok(!sockets.slice(1).includes(sockets[0]), 'the connection is not used again')
      if (index + 1 < answers.length) await deployment.stop()
    }
  })

  it('do not hide a sound answer that names the request', async () => {
    await start(1, (request, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}Content-Length: 4\r\n\r\ndone${formatRefusal('r-0')}`))
    for (let count = 0; count < 4; count++) assert.equal((await deployment.sendRequest('/page/x', { method: 'POST' })).status, 200)
  })
})
