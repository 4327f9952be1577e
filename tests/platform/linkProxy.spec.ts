import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { LinkProxy } from './support/linkProxy.js'
import { pickLoopbackNetwork } from './support/loopbackNetwork.js'

const HELD_MILLISECONDS = 150

describe('proxies of links', () => {
  let server: Server
  let proxy: LinkProxy
  let arrived: Socket[]
  beforeEach(async () => {
    arrived = []
    server = createServer({ allowHalfOpen: true }, socket => arrived.push(socket.on('error', () => socket.destroy())))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    proxy = await LinkProxy.create(`${pickLoopbackNetwork()}.1`, `127.0.0.1:${(server.address() as AddressInfo).port}`)
  })
  afterEach(() => {
    proxy.stop()
    for (const socket of arrived) socket.destroy()
    server.close()
  })

  function open (): Socket {
    const [host, port] = proxy.address.split(':')
    const socket = connect({ host, port: Number(port), allowHalfOpen: true })
    return socket.on('error', () => socket.destroy())
  }

  async function openBoth (): Promise<{ near: Socket, far: Socket }> {
    const near = open()
    const [far] = await once(server, 'connection') as [Socket]
    return { near, far }
  }

  async function readError (socket: Socket): Promise<string> {
    const [error] = await once(socket, 'error') as [NodeJS.ErrnoException]
    return error.code ?? ''
  }

  async function readText (socket: Socket): Promise<string> {
    const [chunk] = await once(socket, 'data') as [Buffer]
    return chunk.toString()
  }

  // Guards against: a proxy that turns resets into ends, so that a cut answer looks complete.
  it('passes resets on as resets, and ends as ends with the other direction open', async () => {
    const first = await openBoth()
    const error = readError(first.near)
    first.far.resetAndDestroy()
    assert.equal(await error, 'ECONNRESET')
    const second = await openBoth()
    second.near.end('question')
    assert.equal(await readText(second.far), 'question')
    if (!second.far.readableEnded) await once(second.far, 'end')
    second.far.end('answer')
    assert.equal(await readText(second.near), 'answer')
  })

  // Guards against: bytes that a silent link loses, or passes on too early.
  it('passes bytes and new connections of a silent link on when it is open again', async () => {
    const { near, far } = await openBoth()
    await proxy.setMode('silent')
    const received: string[] = []
    far.on('data', chunk => received.push(String(chunk)))
    near.end('held')
    const late = open()
    late.write('late')
    await wait(HELD_MILLISECONDS)
    assert.deepEqual([received, far.readableEnded, arrived.length], [[], false, 1])
    const connection = once(server, 'connection')
    await proxy.setMode('open')
    const [lateFar] = await connection as [Socket]
    assert.equal(await readText(lateFar), 'late')
    if (!far.readableEnded) await once(far, 'end')
    assert.deepEqual(received, ['held'])
  })

  // Guards against: requests that are delivered late although the connection that brought them was reset.
  it('discards the bytes of a silent link behind a reset', async () => {
    const { near, far } = await openBoth()
    await proxy.setMode('silent')
    const received: string[] = []
    far.on('data', chunk => received.push(String(chunk)))
    near.write('held')
    await wait(HELD_MILLISECONDS)
    near.resetAndDestroy()
    await wait(HELD_MILLISECONDS)
    const error = readError(far)
    await proxy.setMode('open')
    assert.equal(await error, 'ECONNRESET')
    assert.deepEqual(received, [])
  })

  // Guards against: a cut that leaves connections open, or a port that doesn't come back.
  it('resets what is open, refuses what is new, and accepts again at the same address', async () => {
    const { near, far } = await openBoth()
    const { address } = proxy
    const errors = Promise.all([readError(near), readError(far)])
    await proxy.setMode('reset')
    assert.deepEqual(await errors, ['ECONNRESET', 'ECONNRESET'])
    assert.equal(await readError(open()), 'ECONNREFUSED')
    await proxy.setMode('open')
    assert.equal(proxy.address, address)
    await openBoth()
  })

  // Guards against: a cut that spares connections of which one direction has ended.
  it('closes a connection of which one direction has ended', async () => {
    const { near, far } = await openBoth()
    near.end('question')
    far.resume()
    if (!far.readableEnded) await once(far, 'end')
    const error = readError(near)
    await proxy.setMode('reset')
    assert.equal(await error, 'ECONNRESET')
    const closed = new Promise(resolve => far.once('close', resolve))
    far.write('answer')
    await wait(HELD_MILLISECONDS)
    far.write('more')
    await closed
  })

  // Guards against: a cut for new connections that touches the ones that are open.
  it('lets open connections live on while new ones are refused', async () => {
    const { near, far } = await openBoth()
    await proxy.setMode('established-only')
    assert.equal(await readError(open()), 'ECONNREFUSED')
    near.write('question')
    assert.equal(await readText(far), 'question')
  })
})
