import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { HOST, PlatformDeployment, TOKEN, formatConfiguration } from './support/platformDeployment.js'
import { formatResponseHead, streamEvents } from './support/upstreamStandin.js'
import type { ReceivedRequest } from './support/upstreamStandin.js'

/** Time after the beginning of a stop in which requests are accepted, with a margin for the test. */
const ACCEPTING_MILLISECONDS = 2700
/** Half of what is left of the grace period then. */
const DESTROY_MILLISECONDS = 1300
/** Together more than the buffers of a connection hold. */
const LONG_BODY_BYTES = 250_000
const LONG_BODIES = 60
const ROUTES = [
  { host: HOST, name: 'page', prefix: '/page/', route_type: 'non_idempotent', timeout_ms: 15_000, objective_ms: 1000, priority: 2, service: 'front', max_attempts: 2 },
  { host: HOST, name: 'summary', prefix: '/summary/', route_type: 'streaming', timeout_ms: 15_000, objective_ms: 1000, priority: 2, service: 'front', max_attempts: 2, resumable: false, gap_objective_ms: 300 },
  { host: HOST, name: 'search', prefix: '/search/', route_type: 'idempotent', timeout_ms: 15_000, objective_ms: 1000, priority: 2, service: 'front', max_attempts: 2 }
]

/** A connection of a caller, and what it has received. */
class CallerConnection {
  readonly socket: Socket
  received = ''
  isClosed = false

  private constructor (address: string) {
    const [host, port] = address.split(':')
    this.socket = connect({ port: Number(port), host, noDelay: true })
    this.socket.on('error', () => {})
    this.socket.on('data', chunk => { this.received += chunk.toString('latin1') })
    this.socket.on('close', () => { this.isClosed = true })
  }

  static create (address: string): CallerConnection {
    return new CallerConnection(address)
  }

  get statuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))
  }

  get announcesClose (): boolean {
    return /\r\nconnection: close/i.test(this.received)
  }

  async untilClosed (): Promise<void> {
    while (!this.isClosed) await wait(5)
  }
}

function formatHead (id: string, target: string, headers: string): string {
  return `POST ${target} HTTP/1.1\r\nhost: ${HOST}\r\nplumstage-attempt-id: ${id}\r\nplumstage-deadline-ms: 15000\r\nauthorization: Bearer ${TOKEN}\r\n${headers}\r\n`
}

describe('a gateway that is stopping', () => {
  let deployment: PlatformDeployment

  beforeEach(async () => {
    deployment = await PlatformDeployment.create(1)
    const revision = deployment.store.put('op/config', formatConfiguration({ version: 4, routes: ROUTES as never }))
    await deployment.waitForEvent(({ kind, attributes }) => kind === 'configuration-applied' && Number(attributes?.revision) >= revision)
  })
  afterEach(async () => await deployment.stop())

  function open (): CallerConnection {
    return CallerConnection.create(deployment.gateways[0].callerAddress)
  }

  function countRuns (id: string): number {
    return deployment.upstreams.flatMap(({ requests }) => requests).filter(({ requestId }) => requestId === id).length
  }

  // Guards against: a request whose head came in time is passed on when its body is complete, however late that is.
  it('REFUSED: decides again when the body of a request is complete', async () => {
    deployment.upstreams[0].script = (request, upstream) => void setTimeout(() => request.socket.write(`${formatResponseHead(request, upstream)}Content-Length: 2\r\n\r\nok`), request.requestId === 'running' ? ACCEPTING_MILLISECONDS + 500 : 0)
    const [declared, chunked, running] = [open(), open(), open()]
    running.socket.write(formatHead('running', '/page/x', 'content-length: 0\r\n'))
    declared.socket.write(`${formatHead('declared', '/page/x', 'content-length: 4\r\n')}ab`)
    chunked.socket.write(`${formatHead('chunked', '/page/x', 'transfer-encoding: chunked\r\n')}2\r\nab\r\n`)
    await wait(50)
    const stopped = deployment.gateways[0].stop()
    await wait(ACCEPTING_MILLISECONDS)
    declared.socket.write('cd')
    chunked.socket.write('2\r\ncd\r\n0\r\n\r\n')
    await Promise.all([declared.untilClosed(), chunked.untilClosed(), stopped])
    assert.deepEqual([declared.statuses, chunked.statuses, running.statuses], [[503], [503], [200]])
    assert.equal(countRuns('declared') + countRuns('chunked'), 0)
  })

  // Guards against: the end of the process cuts a request whose body is not complete, without saying that it has not run.
  it('REFUSED: refuses a request that is half read when the process ends', async () => {
    const half = open()
    half.socket.write(`${formatHead('half', '/page/x', 'content-length: 4\r\n')}ab`)
    await wait(50)
    await deployment.gateways[0].stop()
    await half.untilClosed()
    assert.deepEqual([half.statuses, half.announcesClose, countRuns('half')], [[503], true, 0])
  })

  // Guards against: the end of the process cuts a request that no upstream has got, although it could be refused.
  it('REFUSED: refuses a request that waits for an upstream when the process ends', async () => {
    await deployment.upstreams[0].stop()
    const waiting = open()
    const stopped = deployment.gateways[0].stop()
    waiting.socket.write(formatHead('waiting', '/page/x', 'content-length: 0\r\n'))
    await Promise.all([waiting.untilClosed(), stopped])
    assert.deepEqual([waiting.statuses, countRuns('waiting')], [[503], 0])
  })

  // Guards against: the end of the process closes the connection of a request that an upstream works on, so that its caller can't tell whether it was read.
  it('LOST: answers that a request may have run when the process ends before its upstream has answered', async () => {
    deployment.upstreams[0].script = () => {}
    const [once, repeatable] = [open(), open()]
    once.socket.write(formatHead('once', '/page/x', 'content-length: 0\r\n'))
    repeatable.socket.write(formatHead('repeatable', '/search/x', 'content-length: 0\r\n'))
    await deployment.upstreams[0].waitForRequests(2)
    await Promise.all([deployment.gateways[0].stop(), once.untilClosed(), repeatable.untilClosed()])
    assert.deepEqual([once.statuses, repeatable.statuses], [[502], [502]])
    assert.deepEqual([countRuns('once'), countRuns('repeatable')], [1, 1])
  })

  // Guards against: a response that is complete at the gateway is cut because its caller reads slowly and nothing else runs.
  it('LOST: lets a caller that reads slowly receive the rest of its responses', async () => {
    deployment.upstreams[0].script = (request: ReceivedRequest, upstream) => request.socket.write(`${formatResponseHead(request, upstream)}Content-Length: ${LONG_BODY_BYTES}\r\n\r\n${'x'.repeat(LONG_BODY_BYTES)}`)
    const slow = open()
    slow.socket.pause()
    slow.socket.write(Array.from({ length: LONG_BODIES }, (_, index) => formatHead(`slow-${index}`, '/page/x', 'content-length: 0\r\n')).join(''))
    while (deployment.events.filter(({ kind }) => kind === 'request-ended').length < LONG_BODIES) await wait(5)
    const stopped = deployment.gateways[0].stop()
    await wait(ACCEPTING_MILLISECONDS)
    slow.socket.resume()
    await Promise.all([stopped, slow.untilClosed()])
    assert.equal(slow.statuses.length, LONG_BODIES)
    assert.equal(slow.received.split('x').length - 1, LONG_BODIES * LONG_BODY_BYTES)
  })

  // Guards against: a response announces that its connection closes while a request behind it is passed on, whose answer is then cut.
  it('LOST: answers all requests of a connection that it has passed on, also those that were sent together', async () => {
    deployment.upstreams[0].script = (request: ReceivedRequest, upstream) => void setTimeout(() => request.socket.write(`${formatResponseHead(request, upstream)}Content-Length: 2\r\n\r\nok`), request.requestId === 'first' ? 300 : 600)
    const pipelined = open()
    pipelined.socket.write(formatHead('first', '/page/x', 'content-length: 0\r\n') + formatHead('second', '/page/x', 'content-length: 0\r\n'))
    await deployment.upstreams[0].waitForRequests(1)
    await Promise.all([deployment.gateways[0].stop(), pipelined.untilClosed()])
    assert.equal(pipelined.statuses.length, countRuns('first') + countRuns('second'), pipelined.received)
  })

  // Guards against: a request that is sent behind one whose response has announced the end of the connection is passed on and never answered.
  it('LOST: passes on nothing behind a response that has announced that its connection closes', async () => {
    deployment.upstreams[0].script = (request: ReceivedRequest, upstream) => {
      request.socket.write(`${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n`)
      setTimeout(() => request.socket.write('0\r\n\r\n'), 600)
    }
    const late = open()
    const stopped = deployment.gateways[0].stop()
    late.socket.write(formatHead('announced', '/summary/x', 'content-length: 0\r\n'))
    while (late.statuses.length === 0) await wait(5)
    late.socket.write(formatHead('behind', '/page/x', 'content-length: 0\r\n'))
    await Promise.all([stopped, late.untilClosed()])
    assert.deepEqual([late.statuses, late.announcesClose, countRuns('behind')], [[200], true, 0])
  })

  // Guards against: a second stop, as a second signal asks for, ends at once and the process with it while requests still run.
  it('LOST: a second call to stop does not shorten the stop', async () => {
    deployment.upstreams[0].script = (request: ReceivedRequest, upstream) => void setTimeout(() => streamEvents(1, 2, 'end')(request, upstream), 500)
    const running = open()
    running.socket.write(formatHead('running', '/page/x', 'content-length: 0\r\n'))
    await deployment.upstreams[0].waitForRequests(1)
    const first = deployment.gateways[0].stop()
    await deployment.gateways[0].stop()
    assert.deepEqual(running.statuses, [200])
    await first
  })

  // Guards against: a stop that is overtaken by the immediate end of the gateway waits without letting anything else run.
  it('ends at once when the gateway is destroyed meanwhile', async () => {
    deployment.upstreams[0].script = () => {}
    const running = open()
    running.socket.write(formatHead('running', '/page/x', 'content-length: 0\r\n'))
    await deployment.upstreams[0].waitForRequests(1)
    const stopped = deployment.gateways[0].stop()
    await wait(ACCEPTING_MILLISECONDS)
    const destroyedAt = performance.now()
    await Promise.all([deployment.gateways[0].destroy(), stopped])
    assert.ok(performance.now() - destroyedAt < DESTROY_MILLISECONDS, `${performance.now() - destroyedAt} ms`)
  })
})
