import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { splitAddress } from '@plumstage/common'
import { MAXIMUM_TUNNELS, MAXIMUM_TUNNELS_PER_GATEWAY } from '@plumstage/serving'
import type { DeploymentView, RelayErrorKind, TunnelAcceptance } from '@plumstage/serving'
import { createPeerServer } from '@plumstage/serving/internalServers'
import { knownRed } from '../support/knownRed.js'
import { GATEWAY_HOST, OTHER_GATEWAY_HOST, PEER_HOST, RelayNetwork } from '../support/relayNetwork.js'
import { wait, waitUntil } from '../support/wait.js'

const STRANGER_HOST = '127.0.0.99'
const DIAL_MILLISECONDS = 700
const TOLERANCE_MILLISECONDS = 250

/** Listens in a thread that accepts no connection, with room for two that wait. */
const BUSY_UPSTREAM = `
const { createServer } = require('node:net')
const { parentPort } = require('node:worker_threads')
const server = createServer()
server.listen({ host: '127.0.0.30', port: 0, backlog: 1 }, () => {
  parentPort.postMessage(server.address().port)
  setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0), 20)
})`

describe('a server of tunnels', () => {
  let network: RelayNetwork

  beforeEach(() => { network = RelayNetwork.create() })
  afterEach(async () => await network.close())

  /** The kind of the error and its message for a tunnel that is not opened, and the time that it took. */
  async function failureOf (peerAddress: string, upstreamId: string, localHost = GATEWAY_HOST): Promise<{ kind: RelayErrorKind, message: string, milliseconds: number }> {
    const startedAt = performance.now()
    const opened = await network.dialer(localHost).open(peerAddress, upstreamId)
    const { kind, message } = opened._unsafeUnwrapErr()
    return { kind, message, milliseconds: performance.now() - startedAt }
  }

  it('opens tunnels to upstreams whose ids have any characters', async () => {
    const peer = await network.startPeer()
    for (const id of ['i-15c2383218', 'north/model 1', 'ä:80?#%']) {
      await network.startUpstream(id, socket => { socket.end('hello') })
      const connection = await network.open(peer.address, id)
      assert.equal(String(await connection.toArray()), 'hello')
    }
    assert.deepEqual(peer.events.filter(({ kind }) => kind === 'tunnel-opened').map(({ attributes }) => attributes?.gateway), [GATEWAY_HOST, GATEWAY_HOST, GATEWAY_HOST])
  })

  // Guards against: anyone who reaches the port of a gateway reaches upstreams through it.
  it('refuses a sender that is not a gateway before it looks for the upstream', async () => {
    let lookups = 0
    const peer = await network.startPeer({ findUpstream: () => { lookups++; return { kind: 'unlisted' } } })
    assert.equal((await failureOf(peer.address, 'i-1', STRANGER_HOST)).kind, 'peer-refused')
    assert.equal(lookups, 0)
    assert.equal(peer.events[0].attributes?.reason, 'sender-unknown')
  })

  it('states why it refuses', async () => {
    let acceptance: TunnelAcceptance = 'accepted'
    const peer = await network.startPeer({ acceptsTunnels: () => acceptance })
    network.targets.set('i-leaving', { kind: 'leaving' })
    const refusals: [string, TunnelAcceptance, RelayErrorKind, RegExp][] = [
      ['i-missing', 'accepted', 'upstream-unlisted', /upstream-unlisted/],
      ['i-leaving', 'accepted', 'upstream-unlisted', /upstream-leaving/],
      ['i-missing', 'links-lost', 'peer-refused', /links-lost/],
      ['i-missing', 'stopping', 'peer-refused', /stopping/]
    ]
    for (const [id, state, kind, message] of refusals) {
      acceptance = state
      const failure = await failureOf(peer.address, id)
      assert.equal(failure.kind, kind)
      assert.match(failure.message, message)
      assert.equal(peer.server.openTunnels, 0)
    }
  })

  it('answers with a status and a header for each reason', async () => {
    const peer = await network.startPeer()
    const socket = connect({ ...splitAddress(peer.address), localAddress: GATEWAY_HOST })
    socket.end('CONNECT i-missing HTTP/1.1\r\nhost: i-missing\r\n\r\n')
    const answer = String(await socket.toArray())
    assert.match(answer, /^HTTP\/1\.1 404 Not Found\r\n/)
    assert.match(answer, /\r\nplumstage-tunnel-refusal: upstream-unlisted\r\n/)
  })

  it('states that an upstream refuses its connection', async () => {
    const peer = await network.startPeer()
    const upstream = await network.startUpstream('i-1', () => {})
    await upstream.destroy()
    const { kind, message } = await failureOf(peer.address, 'i-1')
    assert.equal(kind, 'upstream-refused')
    assert.match(message, /upstream-refused/)
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  it('states after 300 ms that an upstream does not accept its connection', async () => {
    const peer = await network.startPeer()
    const worker = new Worker(BUSY_UPSTREAM, { eval: true })
    const [port] = await once(worker, 'message')
    await wait(100)
    const waiting = Array.from({ length: 2 }, () => connect({ host: '127.0.0.30', port }).on('error', () => {}))
    await Promise.all(waiting.map(async socket => await once(socket, 'connect')))
    network.targets.set('i-busy', { kind: 'listed', address: `127.0.0.30:${port}` })
    const { kind, message, milliseconds } = await failureOf(peer.address, 'i-busy')
    for (const socket of waiting) socket.destroy()
    await worker.terminate()
    assert.equal(kind, 'upstream-unreachable')
    assert.match(message, /upstream-timeout/)
    assert.ok(milliseconds >= 290 && milliseconds < 300 + TOLERANCE_MILLISECONDS, `${milliseconds} ms`)
  })

  // Guards against: one gateway, or all together, open connections without bound.
  const limited = 'limits its tunnels for each gateway and in all, until some are closed'
  it(limited, knownRed(limited), async () => {
    const peer = await network.startPeer()
    await network.startUpstream('i-1', () => {})
    const connections = []
    for (const host of [GATEWAY_HOST, OTHER_GATEWAY_HOST]) {
      for (let index = 0; index < MAXIMUM_TUNNELS_PER_GATEWAY; index++) connections.push(await network.open(peer.address, 'i-1', host))
      assert.match((await failureOf(peer.address, 'i-1', host)).message, /too-many-tunnels/)
      assert.equal(peer.server.tunnelsOf(host), MAXIMUM_TUNNELS_PER_GATEWAY)
    }
    assert.equal(peer.server.openTunnels, MAXIMUM_TUNNELS)
    peer.server.stop()
    await waitUntil(() => peer.server.openTunnels === 0)
    await network.open(peer.address, 'i-1')
  })

  // Guards against: a gateway that sends attempts through another in a circle.
  it('connects to the upstream itself, whatever another gateway would do', async () => {
    const peer = await network.startPeer()
    const other = await network.startPeer()
    network.targets.set('i-1', { kind: 'listed', address: other.address })
    const connection = await network.open(peer.address, 'i-1')
    connection.write('CONNECT i-1 HTTP/1.1\r\nhost: i-1\r\n\r\n')
    assert.match(String(await once(connection, 'data')), /403 Forbidden[^]*sender-unknown/)
  })
})

describe('a dialer of tunnels', () => {
  let network: RelayNetwork

  beforeEach(() => { network = RelayNetwork.create() })
  afterEach(async () => await network.close())

  it('recognises a peer of an earlier release, which opens no tunnels', async () => {
    const { address } = await network.listen(createPeerServer({ exportSnapshot: () => ({}) } as unknown as DeploymentView), `${PEER_HOST}:0`)
    assert.equal((await network.dialer().open(address, 'i-1'))._unsafeUnwrapErr().kind, 'peer-unavailable')
  })

  it('opens tunnels on the port where peers pull the deployment', async () => {
    const { server } = await network.startPeer()
    const { address } = await network.listen(createPeerServer({ exportSnapshot: () => ({}) } as unknown as DeploymentView, server), `${PEER_HOST}:0`)
    await network.startUpstream('i-1', socket => { socket.end('hello') })
    assert.equal(String(await (await network.open(address, 'i-1')).toArray()), 'hello')
    assert.equal((await fetch(`http://${address}/deployment`)).status, 200)
  })

  it('recognises a server that answers something else', async () => {
    const server = createHttpServer()
    server.on('connect', (_request, socket) => socket.end('HTTP/1.1 405 Method Not Allowed\r\ncontent-length: 0\r\n\r\n'))
    const { address } = await network.listen(server, `${PEER_HOST}:0`)
    assert.equal((await network.dialer().open(address, 'i-1'))._unsafeUnwrapErr().kind, 'peer-unavailable')
  })

  it('gives up on a peer that accepts the connection and says nothing', async () => {
    const { address } = await network.listen(createServer(socket => socket.on('error', () => {})), `${PEER_HOST}:0`)
    const startedAt = performance.now()
    assert.equal((await network.dialer().open(address, 'i-1'))._unsafeUnwrapErr().kind, 'peer-unavailable')
    const milliseconds = performance.now() - startedAt
    assert.ok(milliseconds >= DIAL_MILLISECONDS - 10 && milliseconds < DIAL_MILLISECONDS + TOLERANCE_MILLISECONDS, `${milliseconds} ms`)
  })

  it('recognises that no peer listens', async () => {
    const { address, listener } = await network.startPeer()
    await listener.destroy()
    assert.equal((await network.dialer().open(address, 'i-1'))._unsafeUnwrapErr().kind, 'peer-unavailable')
  })
})
