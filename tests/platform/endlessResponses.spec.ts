import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { Socket } from 'node:net'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { PlatformDeployment } from './support/platformDeployment.js'
import { formatResponseHead, respond, streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

const REQUESTS = 12
const CHUNK_BYTES = 16 * 1024
/** The gateway has to close the connection of an endless response within this time. */
const CLOSE_MILLISECONDS = 1000
const ROUTE_TIMEOUT_MILLISECONDS = 1500

/** Sends a beginning, then the same bytes without end until the gateway closes the connection. */
function respondWithoutEnd (createBeginning: (...parameters: Parameters<ResponseScript>) => string, repeated: string): ResponseScript {
  return (request, upstream) => {
    request.socket.write(createBeginning(request, upstream))
    pour(request.socket, Buffer.from(repeated.repeat(CHUNK_BYTES / repeated.length)))
  }
}

function pour (socket: Socket, chunk: Buffer): void {
  const push = (): void => {
    if (!socket.destroyed) socket.write(chunk, () => setImmediate(push))
  }
  push()
}

const STREAM_HEAD = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'

const RESPONSES: ReadonlyArray<{ name: string, script: ResponseScript, isStream: boolean }> = [
  { name: 'a status line', script: respondWithoutEnd(() => 'HTTP/1.1 200 ', 'x'), isStream: false },
  { name: 'headers', script: respondWithoutEnd((request, upstream) => formatResponseHead(request, upstream), 'X-More: more\r\n'), isStream: false },
  { name: 'one header', script: respondWithoutEnd((request, upstream) => `${formatResponseHead(request, upstream)}X-More: `, 'x'), isStream: false },
  { name: 'a body without a signature', script: respondWithoutEnd(() => 'HTTP/1.1 200 OK\r\n\r\n', 'x'), isStream: false },
  { name: 'bytes that are no response', script: respondWithoutEnd(() => '', '\u0001garbage'), isStream: false },
  { name: 'a line of an event', script: respondWithoutEnd((request, upstream) => `${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `, 'x'), isStream: true },
  { name: 'a chunk size', script: respondWithoutEnd((request, upstream) => formatResponseHead(request, upstream) + STREAM_HEAD, '0'), isStream: true }
]

describe('responses of upstreams without an end', () => {
  let deployment: PlatformDeployment
  beforeEach(async () => { deployment = await PlatformDeployment.create(3) })
  afterEach(async () => await deployment.stop())

  for (const { name, script, isStream } of RESPONSES) {
    // Guards against: a response without an end that holds a request until its deadline, or a connection for good.
    const test = `responses that never end are given up for another upstream: ${name}`
    it(test, knownRed(test), async () => {
      const [endless, ...others] = deployment.upstreams
      endless.script = script
      for (const upstream of others) upstream.script = isStream ? streamEvents(1, 3, 'end') : respond('hello')
      const responses = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
        const sentAt = Date.now()
        const response = await deployment.sendRequest(isStream ? '/manual/x' : '/search/x', { id: `request-${index}` })
        return { ...response, milliseconds: Date.now() - sentAt }
      }))
      assert.ok(endless.requests.length > 0, 'no request reached the upstream')
      assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200))
      assert.ok(responses.every(({ complete }) => complete))
      assert.ok(responses.every(({ milliseconds }) => milliseconds < ROUTE_TIMEOUT_MILLISECONDS))
      await wait(CLOSE_MILLISECONDS)
      assert.ok(endless.requests.every(({ socket }) => socket.destroyed), 'the connection of an endless response is still open')
    })
  }
})
