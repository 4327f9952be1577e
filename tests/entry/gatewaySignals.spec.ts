import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { pickLoopbackNetwork } from '../platform/support/loopbackNetwork.js'
import { wait } from '../support/wait.js'

const GATEWAY = fileURLToPath(new URL('../../packages/gateway/dist/bin/gatewayMain.js', import.meta.url))
const DRAIN_MILLISECONDS = 1500
const BETWEEN_SIGNALS_MILLISECONDS = 200

describe('plumstage-gateway', () => {
  // Guards against: a second stop signal ends the process at once, and cuts off the requests that a planned stop finishes.
  it('finishes a planned stop although it is asked to stop again', async () => {
    const host = `${pickLoopbackNetwork()}.1`
    const gateway = spawn(process.execPath, [GATEWAY, '--embedded', '--listen', `${host}:8080`, '--operator-listen', `${host}:8081`, '--peer-listen', `${host}:8082`, '--drain-delay-milliseconds', String(DRAIN_MILLISECONDS)], { stdio: ['ignore', 'pipe', 'ignore'] })
    const ended = once(gateway, 'exit')
    await once(gateway.stdout, 'data')
    const stoppedAt = Date.now()
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGINT'] as const) {
      gateway.kill(signal)
      await wait(BETWEEN_SIGNALS_MILLISECONDS)
    }
    const [status, endedBy] = await ended
    assert.deepEqual([status, endedBy], [0, null])
    assert.ok(Date.now() >= stoppedAt + DRAIN_MILLISECONDS)
  })
})
