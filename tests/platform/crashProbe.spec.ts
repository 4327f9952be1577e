import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionCrashProbe, Upstream } from '@plumstage/serving'
import { UpstreamStandin } from './support/upstreamStandin.js'

function createUpstream (address: string): Upstream {
  return Upstream.create({ id: 'i-1', incarnation: '1', service: 'front', address, failureDomain: 'east', capacity: 1, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }, 0)
}

describe('crash probe', () => {
  // Guards against: requests are blamed for crashes because upstreams cut connections and live on.
  it('tells an upstream that has crashed from one that accepts connections', async () => {
    const standin = await UpstreamStandin.create('i-1')
    const upstream = createUpstream(standin.address)
    const probe = ConnectionCrashProbe.create()
    assert.equal(await probe.hasCrashed(upstream), false)
    await standin.crash()
    assert.equal(await probe.hasCrashed(upstream), true)
  })

  it('opens one connection for all requests that ask at the same time', async () => {
    const standin = await UpstreamStandin.create('i-1')
    const upstream = createUpstream(standin.address)
    const probe = ConnectionCrashProbe.create()
    assert.deepEqual(await Promise.all([probe.hasCrashed(upstream), probe.hasCrashed(upstream), probe.hasCrashed(upstream)]), [false, false, false])
    assert.equal(standin.connectionCount, 1)
    await standin.stop()
  })
})
