import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { formatRequest } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { formatResponseHead } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

/** Reaches the upstreams through the other gateway only. */
const TUNNELLED = 1
const DIRECT = 2
const CALLERS = 10
/** The shortest body, which fits into no buffer on its way. */
const SHORTEST_BYTES = 4_000_000
/** Each caller's body is longer by this, so that the last piece that is read has various lengths. */
const STEP_BYTES = 6500
const FILLING = 'x'
const PAUSE_MILLISECONDS = 30
/** What a caller reads before each pause. */
const READ_BYTES = 200_000
const ENDING_MARGIN_MILLISECONDS = 300
const POLL_MILLISECONDS = 50
const ROUTE = { name: 'export', host: 'wiki.example', prefix: '/export/', route_type: 'non_idempotent', timeout_ms: 6000, objective_ms: 5000, priority: 2, service: 'front', max_attempts: 1 }

/** How the end of the response is known; `kept` has a length and does not say that its connection is closed. */
type Framing = 'length' | 'kept' | 'chunks' | 'connection'

const FRAMINGS: readonly Framing[] = ['length', 'kept', 'chunks', 'connection']

/** Sends the whole body, or all but its last byte, and then ends the connection. */
function respondAndEnd (framing: Framing, ending: 'closed' | 'cut'): ResponseScript {
  return (request, upstream) => {
    const { socket } = request
    const length = Number(request.target.split('/').at(-1))
    const body = Buffer.alloc(ending === 'cut' ? length - 1 : length, FILLING)
    socket.write(formatResponseHead(request, upstream, '200 OK', framing === 'kept' ? '' : 'Connection: close\r\n'))
    if (framing === 'length' || framing === 'kept') socket.write(`Content-Length: ${length}\r\n\r\n`)
    if (framing === 'connection') socket.write('\r\n')
    if (framing === 'chunks') socket.write(`Transfer-Encoding: chunked\r\n\r\n${length.toString(16)}\r\n`)
    socket.write(body)
    if (framing === 'chunks' && ending === 'closed') socket.write('\r\n0\r\n\r\n')
    if (framing === 'connection' && ending === 'cut') return void setTimeout(() => socket.resetAndDestroy(), ENDING_MARGIN_MILLISECONDS)
    socket.end()
  }
}

/** Reads a response slowly; returns whether it looks complete and the bytes of its body. */
async function readSlowly (callerUrl: string, length: number): Promise<{ complete: boolean, bytes: number }> {
  const { hostname, port } = new URL(callerUrl)
  const socket = connect(Number(port), hostname)
  socket.on('error', () => socket.destroy())
  socket.write(formatRequest(`/export/${length}`, { method: 'POST' }))
  let unread = READ_BYTES
  let bytes = 0
  let tail = ''
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.reduce((count, byte) => byte === FILLING.charCodeAt(0) ? count + 1 : count, 0)
    tail = (tail + chunk.subarray(-10).toString('latin1')).slice(-10)
    unread -= chunk.length
    if (unread > 0) return
    unread = READ_BYTES
    socket.pause()
    setTimeout(() => socket.resume(), PAUSE_MILLISECONDS)
  })
  await new Promise<void>(resolve => socket.once('close', () => resolve()))
  return { complete: tail.endsWith('\r\n0\r\n\r\n'), bytes }
}

describe('callers that read slowly', () => {
  let deployment: ProcessDeployment
  before(async () => {
    deployment = await ProcessDeployment.create(2, [{ capacity: 32 }, { capacity: 32 }], { hasLinkProxies: true, proxiedGatewayCount: TUNNELLED, configuration: { routes: [ROUTE] } })
    await deployment.links.setMode([TUNNELLED], 'reset')
    while (deployment.gateways.listEvents(TUNNELLED, 'upstream-links-lost').length === 0) {
      await readSlowly(deployment.gateways.callerUrlOf(TUNNELLED), STEP_BYTES)
      await wait(POLL_MILLISECONDS)
    }
  })
  after(async () => await deployment.stop())

  async function readAll (gateway: number, framing: Framing, ending: 'closed' | 'cut') {
    for (const upstream of deployment.upstreams) upstream.script = respondAndEnd(framing, ending)
    return await Promise.all(Array.from({ length: CALLERS }, async (_, index) => await readSlowly(deployment.gateways.callerUrlOf(gateway), lengthOf(index))))
  }

  /** Errors of a gateway that nothing has handled. */
  function countErrors (gateway: number): number {
    return deployment.gateways.listEvents(gateway, 'task-failed').length
  }

  for (const [gateway, way] of [[DIRECT, 'directly'], [TUNNELLED, 'through a tunnel']] as const) {
    // Guards against: the end of a connection breaks a response that is paused because its caller reads slowly.
    it(`LOST: get whole responses ${way} whose connections end while they are paused`, async () => {
      const errors = countErrors(gateway)
      const broken: string[] = []
      for (const framing of FRAMINGS) {
        const responses = await readAll(gateway, framing, 'closed')
        for (const [index, { complete, bytes }] of responses.entries()) if (!complete || bytes !== lengthOf(index)) broken.push(`${framing}: complete ${complete}, ${bytes} of ${lengthOf(index)} bytes`)
      }
      assert.deepEqual([broken, countErrors(gateway) - errors], [[], 0])
    })

    // Guards against: a response that is cut while it is paused looks complete, or ends only at the deadline of the request.
    it(`LOST: get responses ${way} that are cut while they are paused as cut, and at once`, async () => {
      const errors = countErrors(gateway)
      const broken: string[] = []
      for (const framing of FRAMINGS) {
        const startedAt = Date.now()
        const responses = await readAll(gateway, framing, 'cut')
        for (const { complete } of responses) if (complete) broken.push(`${framing}: looks complete`)
        if (Date.now() - startedAt > ROUTE.timeout_ms - ENDING_MARGIN_MILLISECONDS) broken.push(`${framing}: ended at the deadline`)
      }
      assert.deepEqual([broken, countErrors(gateway) - errors], [[], 0])
    })
  }
})

function lengthOf (caller: number): number {
  return SHORTEST_BYTES + caller * STEP_BYTES
}
