import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { Socket, connect } from 'node:net'
import type { Duplex, Readable } from 'node:stream'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { splitAddress } from '@plumstage/common'
import { END_FRAME, FrameDecoder, encodeFrameHeader, wasReset } from '@plumstage/serving'
import type { TunnelConnection } from '@plumstage/serving'
import { GATEWAY_HOST, RelayNetwork } from '../support/relayNetwork.js'
import type { RelayingPeer } from '../support/relayNetwork.js'
import { wait, waitUntil } from '../support/wait.js'

const LARGE_BYTES = 5 * 1024 * 1024
const CHUNK_BYTES = 65_536
/** What one tunnel may keep: a chunk above the limit of each buffer, in both directions. */
const MAXIMUM_BUFFERED_BYTES = 4 * (CHUNK_BYTES + 16_384)
const PROPAGATION_MILLISECONDS = 100
const SAMPLE_MILLISECONDS = 5

/** Bytes in which no part equals another. */
function createBytes (length: number): Buffer {
  const bytes = Buffer.alloc(length)
  for (let index = 0; index < length; index += 4) bytes.writeUInt32LE(Math.imul(index, 2654435761) >>> 0, index)
  return bytes
}

function digest (bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex')
}

/** Reads a stream to its end, with a pause after each chunk. */
async function readSlowly (stream: Readable, pauseMilliseconds: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of stream) {
    chunks.push(chunk)
    await wait(pauseMilliseconds)
  }
  return Buffer.concat(chunks)
}

async function writeAll (stream: Duplex, bytes: Buffer): Promise<void> {
  for (let offset = 0; offset < bytes.length; offset += CHUNK_BYTES) {
    if (!stream.write(bytes.subarray(offset, offset + CHUNK_BYTES))) await once(stream, 'drain')
  }
  stream.end()
}

/** Resolves when an event has occurred, also if an error occurs before it. */
async function occurrence (emitter: Duplex, event: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`No event ${event} within 2 s.`)), 2000)
    emitter.once(event, () => {
      clearTimeout(timer)
      resolve()
    })
  })
}

/** Resolves with the time until an event. */
async function timeUntil (emitter: Duplex, event: string, trigger: () => void): Promise<number> {
  const startedAt = performance.now()
  const occurred = occurrence(emitter, event)
  trigger()
  await occurred
  return performance.now() - startedAt
}

/** Resolves with the code of the error with which a connection fails, and rejects when it ends properly or not at all. */
async function errorCodeOf (stream: Duplex): Promise<string> {
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('The connection did not fail within 2 s.')), 2000)
    const finish = (code: string): void => {
      clearTimeout(timer)
      resolve(code)
    }
    // Node reports a reset that arrives together with data as an end.
    stream.once('end', () => stream instanceof Socket && wasReset(stream) ? finish('ECONNRESET') : reject(new Error('The connection ended properly.')))
    stream.once('error', (error: NodeJS.ErrnoException) => finish(error.code ?? error.message))
  })
}

describe('a tunnel', () => {
  let network: RelayNetwork
  let peer: RelayingPeer
  let accepted: Promise<Socket>
  let connection: TunnelConnection
  let upstream: Socket

  beforeEach(async () => {
    network = RelayNetwork.create()
    peer = await network.startPeer()
    accepted = new Promise(resolve => { void network.startUpstream('i-1', resolve) })
    await waitUntil(() => network.targets.has('i-1'))
    connection = await network.open(peer.address, 'i-1')
    upstream = await accepted
  })

  afterEach(async () => await network.close())

  it('carries 5 MB each way intact, keeps little of it under slow readers, and counts it', async () => {
    const toUpstream = createBytes(LARGE_BYTES)
    const toGateway = createBytes(LARGE_BYTES).reverse()
    let mostBuffered = 0
    const sampler = setInterval(() => { mostBuffered = Math.max(mostBuffered, peer.server.bufferedBytes) }, SAMPLE_MILLISECONDS)
    const [atUpstream, atGateway] = await Promise.all([readSlowly(upstream, 5), readSlowly(connection, 5), writeAll(connection, toUpstream), writeAll(upstream, toGateway)])
    clearInterval(sampler)
    assert.equal(digest(atUpstream), digest(toUpstream))
    assert.equal(digest(atGateway), digest(toGateway))
    assert.ok(mostBuffered <= MAXIMUM_BUFFERED_BYTES, `${mostBuffered} bytes were kept`)
    assert.deepEqual([peer.server.bytesToUpstreams, peer.server.bytesToGateways], [LARGE_BYTES, LARGE_BYTES])
  })

  // Guards against: a peer that collects a response for a caller who does not read it.
  it('stops reading from the upstream while the gateway does not read', async () => {
    const bytes = createBytes(16 * LARGE_BYTES)
    let written = 0
    upstream.on('drain', () => { while (written < bytes.length && upstream.write(bytes.subarray(written, written += CHUNK_BYTES))); })
    upstream.write(bytes.subarray(0, written += CHUNK_BYTES))
    upstream.emit('drain')
    connection.pause()
    await wait(300)
    assert.ok(peer.server.bufferedBytes <= MAXIMUM_BUFFERED_BYTES, `${peer.server.bufferedBytes} bytes were kept by the peer`)
    assert.ok(connection.readableLength <= 2 * CHUNK_BYTES, `${connection.readableLength} bytes were kept by the gateway`)
    assert.ok(written < bytes.length, 'the upstream could write everything')
  })

  it('passes on an end from the upstream behind all bytes, and closes when the gateway ends too', async () => {
    const ended = occurrence(upstream.resume(), 'end')
    upstream.end(createBytes(LARGE_BYTES))
    const bytes = await readSlowly(connection, 0)
    assert.equal(digest(bytes), digest(createBytes(LARGE_BYTES)))
    connection.end()
    await ended
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  it('passes on an end from the gateway, behind which the upstream can still respond', async () => {
    const milliseconds = await timeUntil(upstream.resume(), 'end', () => connection.end('request'))
    assert.ok(milliseconds < PROPAGATION_MILLISECONDS, `${milliseconds} ms`)
    upstream.end('response')
    assert.equal((await readSlowly(connection, 0)).toString(), 'response')
  })

  it('passes on a reset of the upstream', async () => {
    const code = errorCodeOf(connection.resume())
    const milliseconds = await timeUntil(connection, 'close', () => upstream.resetAndDestroy())
    assert.ok(milliseconds < PROPAGATION_MILLISECONDS, `${milliseconds} ms`)
    assert.equal(await code, 'ECONNRESET')
  })

  // Guards against: a reset that Node reports as an end, because data came with it, is passed on as an end.
  it('passes on a reset of the upstream that comes with data', async () => {
    const code = errorCodeOf(connection.resume())
    upstream.write('event')
    upstream.resetAndDestroy()
    assert.equal(await code, 'ECONNRESET')
  })

  it('passes on a reset of the upstream behind bytes that the gateway did not read', async () => {
    const bytes = createBytes(LARGE_BYTES)
    upstream.write(bytes)
    await wait(50)
    upstream.resetAndDestroy()
    await wait(20)
    assert.equal(await errorCodeOf(connection.resume()), 'ECONNRESET')
  })

  it('passes the bytes before a reset of the upstream on first', async () => {
    const received: Buffer[] = []
    connection.on('data', chunk => received.push(chunk))
    const code = errorCodeOf(connection)
    upstream.write('event')
    await wait(20)
    upstream.resetAndDestroy()
    assert.equal(await code, 'ECONNRESET')
    assert.equal(Buffer.concat(received).toString(), 'event')
  })

  it('passes on a reset of the gateway', async () => {
    const code = errorCodeOf(upstream.resume())
    // Unread bytes turn the closing of the gateway's connection into a reset.
    upstream.write(createBytes(LARGE_BYTES))
    await wait(50)
    const milliseconds = await timeUntil(upstream, 'close', () => connection.destroy())
    assert.ok(milliseconds < PROPAGATION_MILLISECONDS, `${milliseconds} ms`)
    assert.match(await code, /ECONNRESET|EPIPE/)
  })

  // Guards against: a request that was cut off reaches the upstream with a proper end.
  it('passes on a reset of the gateway that comes with data', async () => {
    const otherAccepted = new Promise<Socket>(resolve => { void network.startUpstream('i-2', resolve) })
    await waitUntil(() => network.targets.has('i-2'))
    const gateway = connect({ ...splitAddress(peer.address), localAddress: GATEWAY_HOST })
    gateway.write('CONNECT i-2 HTTP/1.1\r\nhost: i-2\r\n\r\n')
    await once(gateway, 'data')
    const code = errorCodeOf((await otherAccepted).resume())
    gateway.write('half of a request')
    gateway.resetAndDestroy()
    assert.equal(await code, 'ECONNRESET')
  })

  // Guards against: an upstream that goes on with a request whose caller has left.
  it('tells the upstream that the gateway has closed the connection', async () => {
    connection.write('request')
    await once(upstream, 'data')
    const code = errorCodeOf(upstream)
    const milliseconds = await timeUntil(upstream, 'close', () => connection.destroy())
    assert.ok(milliseconds < PROPAGATION_MILLISECONDS, `${milliseconds} ms`)
    assert.equal(await code, 'ECONNRESET')
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  // Guards against: tunnels that stay because an upstream does not react to the end of a request.
  it('closes 2 s after the gateway has if the upstream does not', async () => {
    upstream.resume()
    const milliseconds = await timeUntil(upstream, 'end', () => connection.end())
    assert.ok(milliseconds < PROPAGATION_MILLISECONDS)
    await wait(2100)
    assert.equal(peer.server.openTunnels, 0)
  })

  it('is closed on both sides when its server stops', async () => {
    const code = errorCodeOf(connection.resume())
    const upstreamCode = errorCodeOf(upstream.resume())
    assert.equal(peer.server.tunnelsOf(GATEWAY_HOST), 1)
    peer.server.stop()
    assert.deepEqual([await upstreamCode, await code], ['ECONNRESET', 'ECONNRESET'])
    await waitUntil(() => peer.server.openTunnels === 0)
  })

  // Guards against: a response that ends with its connection counts as complete when the peer is killed on the way.
  it('fails at the gateway when the peer is killed', async () => {
    const code = errorCodeOf(connection.resume())
    upstream.write('the first half')
    await once(connection, 'data')
    await peer.listener.destroy()
    assert.equal(await code, 'ECONNRESET')
  })
})

describe('the frames of a tunnel', () => {
  it('are decoded in pieces of any length', () => {
    const encoded = Buffer.concat([encodeFrameHeader(5), Buffer.from('first'), encodeFrameHeader(300), Buffer.alloc(300, 'x'), END_FRAME])
    for (let length = 1; length <= encoded.length; length++) {
      const decoder = FrameDecoder.create()
      const decoded: Buffer[] = []
      for (let offset = 0; offset < encoded.length; offset += length) decoded.push(...decoder.decode(encoded.subarray(offset, offset + length)))
      assert.equal(Buffer.concat(decoded).toString(), `first${'x'.repeat(300)}`)
      assert.equal(decoder.hasEnded, true)
    }
  })

  it('have no end before the empty frame', () => {
    const decoder = FrameDecoder.create()
    decoder.decode(Buffer.concat([encodeFrameHeader(3), Buffer.from('all')]))
    assert.equal(decoder.hasEnded, false)
  })
})
