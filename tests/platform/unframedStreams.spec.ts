import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { PlatformDeployment } from './support/platformDeployment.js'
import { formatResponseHead, formatServerSentEvent, streamEvents } from './support/upstreamStandin.js'
import type { ResponseScript } from './support/upstreamStandin.js'

/** Responds with a stream without a length and without chunks, which ends with its connection. */
function streamUnframed (text: string): ResponseScript {
  return (request, upstream) => request.socket.end(`${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\n\r\n${text}`)
}

describe('streams that end with their connection', () => {
  let deployment: PlatformDeployment
  beforeEach(async () => { deployment = await PlatformDeployment.create() })
  afterEach(async () => await deployment.stop())

  /** Sends requests until one has reached the first upstream. */
  async function sendThroughFirst (script: ResponseScript) {
    const [first, second] = deployment.upstreams
    first.script = script
    second.script = streamEvents(1, 3, 'end')
    for (;;) {
      const response = await deployment.sendRequest('/manual/x')
      if (first.requests.length > 0) return response
    }
  }

  it('are whole when they end after an event', async () => {
    const response = await sendThroughFirst(streamUnframed(formatServerSentEvent(1) + formatServerSentEvent(2)))
    assert.deepEqual([response.status, response.complete, response.body], [200, true, formatServerSentEvent(1) + formatServerSentEvent(2)])
  })

  // Guards against: an upstream that crashes before its first event sends a response that looks like a complete empty stream.
  it('go on at another upstream when they end before their first event', async () => {
    const response = await sendThroughFirst(streamUnframed(''))
    assert.deepEqual([response.status, response.complete], [200, true])
    assert.ok(response.body.endsWith(formatServerSentEvent(3)), `the caller got '${response.body}'`)
  })
})
