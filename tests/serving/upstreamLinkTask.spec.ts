import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { CallContext, Instrumentation, MonotonicClock } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { HttpUpstreamProbe, Upstream, UpstreamLinkTask } from '@plumstage/serving'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'

/** What an upstream does with the bytes that it receives. */
type Behaviour = 'respond' | 'reset' | 'garble' | 'hang'

const POLL_MILLISECONDS = 10

/** A listening port of an upstream. */
class UpstreamPort {
  behaviour: Behaviour = 'respond'
  readonly requestLines: string[] = []
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _port = 0

  private constructor () {
    this._server = createServer(socket => this._serve(socket))
  }

  static async create (): Promise<UpstreamPort> {
    const port = new UpstreamPort()
    await port.open()
    return port
  }

  get address (): string {
    return `127.0.0.1:${this._port}`
  }

  async open (): Promise<void> {
    await new Promise<void>(resolve => this._server.listen(this._port, '127.0.0.1', resolve))
    this._port = (this._server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    for (const socket of this._sockets) socket.destroy()
    await new Promise<void>(resolve => this._server.close(() => resolve()))
  }

  private _serve (socket: Socket): void {
    this._sockets.add(socket)
    socket.on('close', () => this._sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    socket.on('data', chunk => {
      this.requestLines.push(chunk.toString().split('\r\n')[0])
      if (this.behaviour === 'reset') socket.resetAndDestroy()
      if (this.behaviour === 'garble') socket.end('neither a status nor a header\r\n\r\n')
      if (this.behaviour === 'respond') socket.end('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n')
    })
  }
}

function createUpstream (address: string, index: number): Upstream {
  return Upstream.create({ id: `i-${index}`, incarnation: '1', service: ['front', 'other'][index % 2], address, failureDomain: 'east', capacity: 4, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }, 0)
}

/** A gateway that follows its links to several upstreams. */
class LinkTest {
  readonly clock = MonotonicClock.create()
  readonly context = CallContext.create(this.clock)
  readonly events: ActionEvent[] = []
  readonly changes: string[] = []
  readonly ports: UpstreamPort[]
  readonly upstreams: Upstream[]
  readonly task: UpstreamLinkTask

  private constructor (ports: UpstreamPort[]) {
    const instrumentation = Instrumentation.create('edge-1', 'run', this.clock)
    instrumentation.addListener(event => this.events.push(event))
    this.ports = ports
    this.upstreams = ports.map((port, index) => createUpstream(port.address, index))
    this.task = UpstreamLinkTask.create({
      listUpstreams: () => this.upstreams,
      healthPathOf: service => service === 'front' ? '/health' : undefined,
      probe: HttpUpstreamProbe.create(this.clock),
      clock: this.clock,
      instrumentation,
      onLost: () => this.changes.push('lost'),
      onRegained: () => this.changes.push('regained'),
      onConnectionsSilent: () => {}
    })
    void this.task.run(this.context)
  }

  /** The ports are closed when the test of `context` ends, whatever its result. */
  static async create (context: TestContext, count: number): Promise<LinkTest> {
    const test = new LinkTest(await Promise.all(Array.from({ length: count }, async () => await UpstreamPort.create())))
    context.after(async () => await test._stop())
    return test
  }

  listEvents (kind: string): ActionEvent[] {
    return this.events.filter(event => event.kind === kind)
  }

  /** Returns how long it took until the links were in a state. */
  async waitForChange (change: string, limitMilliseconds: number): Promise<number> {
    const begin = this.clock.now()
    while (this.changes.at(-1) !== change) {
      assert.ok(this.clock.now() < begin + limitMilliseconds, `not ${change} within ${limitMilliseconds} ms`)
      await wait(POLL_MILLISECONDS)
    }
    return this.clock.now() - begin
  }

  private async _stop (): Promise<void> {
    this.context.cancel('shutdown')
    await Promise.all(this.ports.map(async port => await port.close()))
  }
}

describe('probe of an upstream', () => {
  const toldApart = 'tells responses from refused, reset and silent connections'
  it(toldApart, knownRed(toldApart), async () => {
    const port = await UpstreamPort.create()
    const probe = HttpUpstreamProbe.create(MonotonicClock.create())
    const upstream = createUpstream(port.address, 0)
    const outcomes: string[] = []
    for (const behaviour of ['respond', 'garble', 'reset', 'hang'] as const) {
      port.behaviour = behaviour
      outcomes.push(await probe.probe(upstream, '/health'))
    }
    await port.close()
    outcomes.push(await probe.probe(upstream, '/health'))
    assert.deepEqual(outcomes, ['responded', 'responded', 'refused', 'silent', 'refused'])
    assert.equal(port.requestLines[0], 'GET /health HTTP/1.1')
  })
})

describe('task that follows the links to the upstreams', () => {
  it('sends no probe while nothing is wrong, and settles at once', async context => {
    const test = await LinkTest.create(context, 3)
    test.task.beginExchange()
    for (let count = 0; count < 8; count++) {
      await wait(100)
      test.task.recordContact()
    }
    const begin = test.clock.now()
    await test.task.settled()
    assert.ok(test.clock.now() - begin < 50)
    assert.deepEqual(test.events, [])
  })

  // Guards against: a request whose connection was refused is sent to the next upstream before the links are known to be lost.
  it('lets a request wait after a failure until the links are known to be lost', async context => {
    const test = await LinkTest.create(context, 4)
    await Promise.all(test.ports.map(async port => await port.close()))
    test.task.recordFailure(test.upstreams[0])
    await test.task.settled()
    assert.equal(test.task.state, 'lost')
    assert.deepEqual(test.changes, ['lost'])
    assert.equal(test.listEvents('upstream-links-lost')[0].attributes?.probed, 'i-1:refused i-2:refused i-3:refused')
    await Promise.all(test.ports.map(async port => await port.open()))
    const regainedAfter = await test.waitForChange('regained', 1500)
    assert.ok(regainedAfter <= 1000, `${regainedAfter} ms`)
    assert.ok(Number(test.listEvents('upstream-links-regained')[0].attributes?.lostMilliseconds) > 0)
  })

  it('lets a request wait after the failure of one upstream only until another one responds', async context => {
    const test = await LinkTest.create(context, 4)
    test.ports[0].behaviour = 'hang'
    const begin = test.clock.now()
    for (let count = 0; count < 20; count++) test.task.recordFailure(test.upstreams[0])
    await test.task.settled()
    assert.ok(test.clock.now() - begin < 300)
    assert.equal(test.task.state, 'working')
    const probed = test.listEvents('upstream-links-probed').map(event => event.attributes?.probes)
    assert.deepEqual(probed, [3])
    assert.deepEqual(test.ports.map(port => port.requestLines), [[], ['GET / HTTP/1.1'], ['GET /health HTTP/1.1'], ['GET / HTTP/1.1']])
  })

  it('settles after a short time although further failures keep the doubt alive', async context => {
    const test = await LinkTest.create(context, 4)
    for (const port of test.ports) port.behaviour = 'hang'
    const begin = test.clock.now()
    test.task.recordFailure(test.upstreams[0])
    const keepFailing = setInterval(() => test.task.recordFailure(test.upstreams[0]), POLL_MILLISECONDS)
    await test.task.settled()
    clearInterval(keepFailing)
    const settledAfter = test.clock.now() - begin
    assert.ok(settledAfter >= 350 && settledAfter < 800, `${settledAfter} ms`)
  })

  // Guards against: requests wait for their deadlines at a gateway whose connections to all upstreams hang.
  it('notices that all upstreams fall silent, although they accept connections', async context => {
    const test = await LinkTest.create(context, 4)
    for (const port of test.ports) port.behaviour = 'hang'
    test.task.beginExchange()
    const lostAfter = await test.waitForChange('lost', 2000)
    assert.ok(lostAfter >= 750 && lostAfter <= 1300, `${lostAfter} ms`)
    assert.match(String(test.listEvents('upstream-links-lost')[0].attributes?.probed), /^(i-\d:silent ?){3}$/)
    for (const port of test.ports) port.behaviour = 'respond'
    await test.waitForChange('regained', 1500)
  })

  // Guards against: after this process was suspended, the time in which it could not read is taken for silence of the upstreams.
  it('sends no probe right after this process was suspended', async context => {
    const test = await LinkTest.create(context, 4)
    await wait(200)
    test.task.beginExchange()
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1500)
    await wait(250)
    assert.deepEqual(test.events, [])
  })
})
