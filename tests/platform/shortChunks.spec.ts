import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { DEPLOYED_MEGABYTES } from './support/gatewayProcesses.js'
import { OpenLoopCallers } from './support/openLoopCallers.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { respond } from './support/upstreamStandin.js'

const UPLOADS = 12
/** All bodies together have less than 12 MB, in more than a million chunks. */
const CHUNKS = 120_000
const CHUNK = Buffer.from('8\r\n12345678\r\n'.repeat(1000))
const CHUNKS_PER_WRITE = 1000
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
const LOAD_MILLISECONDS = 8000
const REQUESTS_PER_SECOND = 40
const OK = 200

describe('bodies in chunks of a few bytes, at gateways with the heap of the deploy file', () => {
  let deployment: ProcessDeployment
  before(async () => {
    const routes = [{ name: 'open', host: 'wiki.example', prefix: '/open/', route_type: 'idempotent', timeout_ms: 30_000, service: 'front', max_attempts: 2, anonymous: true }]
    const limits = { max_header_bytes: 4096, max_body_bytes: MAXIMUM_BODY_BYTES, header_timeout_ms: 3000, idle_timeout_ms: 30_000 }
    deployment = await ProcessDeployment.create(1, [{}, {}], { hasDeployedHeap: true, configuration: { routes, limits } as never })
    for (const upstream of deployment.upstreams) upstream.script = respond('hello')
  })
  after(async () => await deployment.stop())

  /** Sends all of a body but its last chunk. */
  async function upload (socket: Socket): Promise<void> {
    socket.write('POST /open/upload HTTP/1.1\r\nHost: wiki.example\r\nPlumstage-Attempt-Id: 0123456789abcdef\r\nPlumstage-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n')
    for (let sent = 0; sent < CHUNKS && !socket.destroyed; sent += CHUNKS_PER_WRITE) await new Promise<void>(resolve => socket.write(CHUNK, () => resolve()))
  }

  // Guards against: each chunk of a body takes a buffer of its own until the body is complete, which fills the heap.
  it('LOST: uploads within their bounds end no gateway, and others are served', async () => {
    const { gateways } = deployment
    const { hostname, port } = new URL(gateways.callerUrlOf(1))
    const sockets = Array.from({ length: UPLOADS }, () => connect(Number(port), hostname).on('error', () => {}))
    for (const socket of sockets) void upload(socket)
    const callers = OpenLoopCallers.create({ callerUrlOf: gateway => gateways.callerUrlOf(gateway), listGateways: () => gateways.numbers, target: '/open/x', method: 'GET', requestsPerSecond: REQUESTS_PER_SECOND, seed: 68 })
    await callers.run(LOAD_MILLISECONDS)
    const peak = Math.round(gateways.peakMegabytes(1))
    for (const socket of sockets) socket.destroy()
    assert.equal(gateways.hasEnded(1), false)
    assert.ok(peak < DEPLOYED_MEGABYTES, `${peak} MB`)
    assert.deepEqual(callers.outcomes.filter(({ status }) => status !== OK), [])
  })
})
