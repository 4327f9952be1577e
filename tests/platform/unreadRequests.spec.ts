import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { wait } from '../support/wait.js'
import { HOST, TOKEN } from './support/platformDeployment.js'
import { ProcessDeployment } from './support/processDeployment.js'

const CALLERS = 30
const PATIENCE_MILLISECONDS = 300
const PAUSE_MILLISECONDS = 1200
const LONG_DEADLINE_MILLISECONDS = 8000
const SETTLE_MILLISECONDS = 1500

/** Sends one request on a connection of its own without waiting for the response. */
function sendRequest (url: string, id: string, deadlineMilliseconds: number): Socket {
  const { hostname, port } = new URL(url)
  const socket = connect(Number(port), hostname)
  socket.on('error', () => {})
  socket.write(`GET /open/x HTTP/1.1\r\nhost: ${HOST}\r\nplumstage-attempt-id: ${id}\r\nplumstage-deadline-ms: ${deadlineMilliseconds}\r\nauthorization: Bearer ${TOKEN}\r\n\r\n`)
  return socket
}

async function readStatus (socket: Socket): Promise<number> {
  return await new Promise(resolve => {
    socket.once('data', bytes => resolve(Number(bytes.toString().split(' ')[1])))
    socket.once('close', () => resolve(0))
  })
}

describe('requests that a gateway could not read in time', () => {
  let deployment: ProcessDeployment
  before(async () => { deployment = await ProcessDeployment.create(1, [{ capacity: 64 }, { capacity: 64 }]) })
  after(async () => await deployment.stop())

  function countReceived (prefix: string): number {
    return deployment.upstreams.flatMap(({ requests }) => requests).filter(({ requestId }) => requestId.startsWith(prefix)).length
  }

  // Guards against: a gateway that was paused sends on what it reads, although the callers' close already stands behind it.
  it('GONE: are not sent on after their callers have left, and those of callers who are still there are served', async () => {
    const url = deployment.gateways.callerUrlOf(1)
    deployment.gateways.signal(1, 'SIGSTOP')
    const gone = Array.from({ length: CALLERS }, (_, index) => sendRequest(url, `gone-${index}`, PATIENCE_MILLISECONDS))
    const waiting = Array.from({ length: CALLERS }, (_, index) => readStatus(sendRequest(url, `waiting-${index}`, LONG_DEADLINE_MILLISECONDS)))
    await wait(PATIENCE_MILLISECONDS)
    for (const socket of gone) socket.end()
    await wait(PAUSE_MILLISECONDS)
    deployment.gateways.signal(1, 'SIGCONT')
    const statuses = await Promise.all(waiting)
    await wait(SETTLE_MILLISECONDS)
    assert.equal(countReceived('gone-'), 0)
    assert.equal(statuses.filter(status => status === 200).length, CALLERS, `statuses ${statuses.join(' ')}`)
  })
})
