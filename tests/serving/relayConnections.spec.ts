import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { MonotonicClock, VirtualClock } from '@plumstage/common'
import { HeardPools, RelayConnections, RelayError, ResetObserver } from '@plumstage/serving'
import type { RelayErrorKind } from '@plumstage/serving'
import type { Dispatcher as HttpClient } from 'undici'
import { OTHER_GATEWAY_HOST, RelayNetwork } from '../support/relayNetwork.js'
import type { RelayingPeer } from '../support/relayNetwork.js'
import { wait, waitUntil } from '../support/wait.js'

const LEAVE_MILLISECONDS = 500
const CONTACT_MILLISECONDS = 3000
const BODY_BYTES = 300_000
/** undici reuses a connection from the next turn of the event loop after a response on. */
const IDLE_MILLISECONDS = 10

/** Records what undici reports about one request. */
class RecordingHandler implements HttpClient.DispatchHandler {
  readonly chunks: Buffer[] = []
  readonly ended: Promise<void>
  controller: HttpClient.DispatchController | undefined
  status: number | undefined
  error: Error | undefined
  /** Whether a connection was being reset when the response ended. */
  endedByReset = false
  private readonly _connections: RelayConnections
  private _resolve: () => void = () => {}

  private constructor (connections: RelayConnections) {
    this._connections = connections
    this.ended = new Promise(resolve => { this._resolve = resolve })
  }

  static create (connections: RelayConnections): RecordingHandler {
    return new RecordingHandler(connections)
  }

  get text (): string {
    return Buffer.concat(this.chunks).toString()
  }

  onRequestStart (controller: HttpClient.DispatchController): void {
    this.controller = controller
  }

  onResponseStart (_controller: HttpClient.DispatchController, status: number): void {
    this.status = status
  }

  onResponseData (_controller: HttpClient.DispatchController, chunk: Buffer): void {
    this.chunks.push(Buffer.from(chunk))
  }

  onResponseEnd (): void {
    this.endedByReset = this._connections.resetting
    this._resolve()
  }

  onResponseError (_controller: HttpClient.DispatchController, error: Error): void {
    this.error = error
    this._resolve()
  }
}

describe('connections through a peer', () => {
  let network: RelayNetwork
  let peer: RelayingPeer
  let connections: RelayConnections
  const clock = MonotonicClock.create()

  beforeEach(async () => {
    network = RelayNetwork.create()
    peer = await network.startPeer()
    connections = RelayConnections.create({ dialer: network.dialer(), heard: HeardPools.create(clock, CONTACT_MILLISECONDS), resets: ResetObserver.create() })
  })

  afterEach(async () => {
    await connections.close()
    await network.close()
  })

  function dispatch (id: string, body?: Buffer, peerAddress = peer.address): RecordingHandler {
    return dispatchTo(connections.clientThrough(peerAddress, network.upstreamOf(id), 'shared'), body)
  }

  function dispatchTo (client: HttpClient, body?: Buffer): RecordingHandler {
    const handler = RecordingHandler.create(connections)
    client.dispatch({ method: 'POST', path: '/', body, idempotent: false }, handler)
    return handler
  }

  function countOpened (): number {
    return peer.events.filter(({ kind }) => kind === 'tunnel-opened').length
  }

  it('carry a request with a body', async () => {
    await network.startHttpUpstream('i-1', (request, response) => { request.pipe(response) })
    const body = Buffer.alloc(BODY_BYTES, 'prompt ')
    const handler = dispatch('i-1', body)
    await handler.ended
    assert.equal(handler.status, 200)
    assert.equal(handler.text, body.toString())
  })

  it('reuse one tunnel for requests in turn', async () => {
    let requests = 0
    await network.startHttpUpstream('i-1', (_request, response) => { response.end(String(++requests)) })
    const client = connections.clientThrough(peer.address, network.upstreamOf('i-1'), 'shared')
    for (const expected of ['1', '2', '3']) {
      const handler = dispatchTo(client)
      await handler.ended
      assert.equal(handler.text, expected)
      await wait(IDLE_MILLISECONDS)
    }
    assert.equal(countOpened(), 1)
  })

  // Guards against: a tunnel that has gone silent while nothing was sent keeps a request until its time-out.
  it('open a new tunnel when none was heard lately', async () => {
    await network.startHttpUpstream('i-1', (_request, response) => { response.end('done') })
    const upstream = network.upstreamOf('i-1')
    const time = VirtualClock.create()
    const heard = HeardPools.create(time, CONTACT_MILLISECONDS)
    const impatient = RelayConnections.create({ dialer: network.dialer(), heard, resets: ResetObserver.create() })
    const first = impatient.clientThrough(peer.address, upstream, 'shared')
    await dispatchTo(first).ended
    heard.recordBytes(first, time.now())
    assert.equal(impatient.clientThrough(peer.address, upstream, 'heard-lately'), first)
    time.advanceTo(time.now() + CONTACT_MILLISECONDS * 0.6)
    assert.equal(impatient.clientThrough(peer.address, upstream, 'shared'), first)
    const second = impatient.clientThrough(peer.address, upstream, 'heard-lately')
    assert.notEqual(second, first)
    time.advanceTo(time.now() + CONTACT_MILLISECONDS)
    assert.notEqual(impatient.clientThrough(peer.address, upstream, 'shared'), second)
    await impatient.close()
  })

  it('open one tunnel for each request at the same time', async () => {
    await network.startHttpUpstream('i-1', (_request, response) => { setTimeout(() => response.end('done'), 50) })
    const client = connections.clientThrough(peer.address, network.upstreamOf('i-1'), 'shared')
    const handlers = Array.from({ length: 5 }, () => dispatchTo(client))
    await Promise.all(handlers.map(async ({ ended }) => await ended))
    assert.deepEqual(handlers.map(({ text }) => text), Array(5).fill('done'))
    assert.equal(countOpened(), 5)
  })

  it('complete a response without a length when the upstream ends its connection', async () => {
    await network.startUpstream('i-1', socket => { socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it')) })
    const handler = dispatch('i-1')
    await handler.ended
    assert.equal(handler.error, undefined)
    assert.equal(handler.text, 'all of it')
    assert.equal(handler.endedByReset, false)
  })

  // Guards against: a response without a length counts as complete although its connection was reset.
  it('show that a response without a length was cut off by a reset of the upstream', async () => {
    await network.startUpstream('i-1', socket => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nthe first half')
        setTimeout(() => socket.resetAndDestroy(), 50)
      })
    })
    const handler = dispatch('i-1')
    await handler.ended
    assert.ok(handler.error !== undefined || handler.endedByReset)
  })

  // Guards against: a response without a length counts as complete although the peer was killed on the way.
  it('show that a response without a length was cut off by the loss of the peer', async () => {
    let upstream: Socket | undefined
    await network.startUpstream('i-1', socket => {
      upstream = socket
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\n\r\nthe first half'))
    })
    const handler = dispatch('i-1')
    await waitUntil(() => handler.chunks.length > 0)
    const closed = new Promise(resolve => upstream?.resume().once('close', resolve))
    await peer.listener.destroy()
    await handler.ended
    await closed
    assert.ok(handler.error !== undefined || handler.endedByReset)
  })

  it('report unchanged why no tunnel was opened, and dispatch nothing', async () => {
    let received = 0
    const upstream = await network.startUpstream('i-1', () => { received++ })
    const stopping = await network.startPeer({ acceptsTunnels: () => 'stopping' })
    const gone = await network.startPeer()
    await gone.listener.destroy()
    const unlisted = await network.startPeer({ findUpstream: () => ({ kind: 'unlisted' }) })
    const expected: [string, RelayErrorKind][] = [[stopping.address, 'peer-refused'], [gone.address, 'peer-unavailable'], [unlisted.address, 'upstream-unlisted']]
    for (const [address, kind] of expected) await expectRelayError(dispatch('i-1', undefined, address), kind)
    assert.equal(received, 0)
    await upstream.destroy()
    await expectRelayError(dispatch('i-1'), 'upstream-refused')
  })

  async function expectRelayError (handler: RecordingHandler, kind: RelayErrorKind): Promise<void> {
    await handler.ended
    assert.ok(RelayError.is(handler.error))
    assert.equal(handler.error.kind, kind)
    assert.equal(handler.controller, undefined)
  }

  // Guards against: a request that may have been executed is sent again.
  // Guards against: a request waits for its deadline, because the address of a peer can't be connected to.
  it('fail at once if the address of the peer is none', async () => {
    await network.startUpstream('i-1', socket => { socket.end() })
    const handler = dispatch('i-1', undefined, '127.0.0.20:70000')
    await handler.ended
    assert.ok(RelayError.is(handler.error))
    assert.equal(handler.error.kind, 'peer-unavailable')
    assert.equal(handler.controller, undefined)
  })

  it('dispatch a request once, also when the upstream closes a tunnel that is reused', async () => {
    let received = 0
    await network.startUpstream('i-1', socket => {
      let onThisConnection = 0
      socket.on('data', () => {
        received++
        if (++onThisConnection === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
        else socket.resetAndDestroy()
      })
    })
    const client = connections.clientThrough(peer.address, network.upstreamOf('i-1'), 'shared')
    await dispatchTo(client).ended
    await wait(IDLE_MILLISECONDS)
    const second = dispatchTo(client)
    await second.ended
    await wait(100)
    assert.ok(second.error)
    assert.equal(received, 2)
    assert.equal(countOpened(), 1)
  })

  // Guards against: an upstream that goes on with a request whose caller has left.
  it('tell the upstream within half a second that the caller has left', async () => {
    let closed: Promise<unknown> | undefined
    await network.startHttpUpstream('i-1', (request, response) => {
      // A request that is given up is reset, which the server reports as an error before the close.
      closed = new Promise(resolve => request.socket.once('close', resolve))
      response.write('event')
    })
    const handler = dispatch('i-1')
    await waitUntil(() => handler.chunks.length > 0)
    const startedAt = performance.now()
    handler.controller?.abort(new Error('The caller has left.'))
    await closed
    const milliseconds = performance.now() - startedAt
    assert.ok(milliseconds < LEAVE_MILLISECONDS, `${milliseconds} ms`)
    await waitUntil(() => peer.events.some(({ kind }) => kind === 'tunnel-closed'))
  })

  it('pass on the back-pressure of a caller', async () => {
    const total = 50_000_000
    let written = 0
    await network.startHttpUpstream('i-1', (_request, response) => {
      const chunk = Buffer.alloc(100_000, 'x')
      const write = (): void => { while (written < total && response.write(chunk)) written += chunk.length }
      response.on('drain', () => { written += chunk.length; write() })
      write()
    })
    const handler = dispatch('i-1')
    await waitUntil(() => handler.chunks.length > 0)
    handler.controller?.pause()
    await wait(300)
    assert.ok(written < total, 'the upstream could write everything')
    assert.ok(peer.server.bufferedBytes < 400_000, `${peer.server.bufferedBytes} bytes were kept`)
  })

  it('close idle tunnels of a retired peer, and let running requests finish', async () => {
    await network.startHttpUpstream('i-1', (_request, response) => { response.end('idle') })
    await network.startHttpUpstream('i-2', (_request, response) => { setTimeout(() => response.end('finished'), 200) })
    await dispatch('i-1').ended
    const running = dispatch('i-2')
    await waitUntil(() => peer.server.openTunnels === 2)
    connections.retirePeer(peer.address)
    await wait(100)
    assert.equal(peer.server.openTunnels, 1)
    await running.ended
    assert.equal(running.text, 'finished')
    await waitUntil(() => peer.server.openTunnels === 0)
    const later = dispatch('i-2')
    await later.ended
    assert.equal(later.text, 'finished')
  })

  it('close the tunnels of a removed upstream and those of all peers', async () => {
    await network.startHttpUpstream('i-1', (_request, response) => { response.end('done') })
    const upstream = network.upstreamOf('i-1')
    await dispatchTo(connections.clientThrough(peer.address, upstream, 'shared')).ended
    connections.forget(upstream)
    await waitUntil(() => peer.server.openTunnels === 0)
    await dispatchTo(connections.clientThrough(peer.address, upstream, 'shared')).ended
    assert.equal(peer.server.openTunnels, 1)
    connections.retireAll()
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  // Guards against: requests that hang because their connections were closed while their tunnels were opened.
  it('fail the requests that wait for a tunnel when they are closed', async () => {
    await network.startHttpUpstream('i-1', () => {})
    const handler = dispatch('i-1')
    await connections.close()
    await handler.ended
    assert.ok(handler.error)
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  it('are not opened for a gateway whose links the peer has lost too', async () => {
    const other = RelayConnections.create({ dialer: network.dialer(OTHER_GATEWAY_HOST), heard: HeardPools.create(clock, CONTACT_MILLISECONDS), resets: ResetObserver.create() })
    const lost = await network.startPeer({ acceptsTunnels: () => 'links-lost' })
    await expectRelayError(dispatchTo(other.clientThrough(lost.address, network.upstreamOf('i-1'), 'shared')), 'peer-refused')
    await other.close()
  })
})
