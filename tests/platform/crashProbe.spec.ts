import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ConnectionCrashProbe, Upstream } from '@plumstage/serving'
import { UpstreamStandin } from './support/upstreamStandin.js'

function createUpstream (address: string, service = 'front', failureDomain = 'east', state: 'ready' | 'leaving' = 'ready'): Upstream {
  return Upstream.create({ id: address, incarnation: '1', service, address, failureDomain, capacity: 1, state, reclaimable: false, warmupMilliseconds: 0 }, 0)
}

/** Creates upstreams that are stopped when the test ends, whatever its result. */
async function createStandins (test: TestContext, count: number): Promise<UpstreamStandin[]> {
  const standins = await Promise.all(Array.from({ length: count }, async (_, index) => await UpstreamStandin.create(`i-${index}`)))
  test.after(async () => { for (const standin of standins) if (!standin.hasCrashed) await standin.stop() })
  return standins
}

function countConnections (standins: readonly UpstreamStandin[]): number {
  return standins.reduce((sum, standin) => sum + standin.connectionCount, 0)
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

  // Guards against: requests are blamed for crashes because the gateway has lost its links to all upstreams.
  it('reports no crash when no other upstream accepts connections either', async test => {
    const standins = await createStandins(test, 8)
    const upstreams = standins.map((standin, index) => createUpstream(standin.address, index % 2 === 0 ? 'front' : 'other'))
    for (const standin of standins) await standin.crash()
    const probe = ConnectionCrashProbe.create(() => upstreams)
    assert.equal(await probe.hasCrashed(upstreams[0]), false)
  })

  it('reports a crash after one more connection, to an upstream of another service and failure domain', async test => {
    const standins = await createStandins(test, 4)
    const upstreams = [createUpstream(standins[0].address), createUpstream(standins[1].address), createUpstream(standins[2].address, 'other', 'west'), createUpstream(standins[3].address, 'other', 'east')]
    const probe = ConnectionCrashProbe.create(() => upstreams)
    await standins[0].crash()
    assert.deepEqual(await Promise.all([probe.hasCrashed(upstreams[0]), probe.hasCrashed(upstreams[0])]), [true, true])
    assert.deepEqual(standins.map(standin => standin.connectionCount), [0, 0, 1, 0])
  })

  // Guards against: a request that crashes several upstreams is not found, because the crashed ones vouch for each other.
  it('reports five crashes at the same time while others live', async test => {
    const standins = await createStandins(test, 9)
    const upstreams = standins.map(standin => createUpstream(standin.address))
    const crashed = standins.slice(0, 5)
    for (const standin of crashed) await standin.crash()
    const probe = ConnectionCrashProbe.create(() => upstreams)
    assert.deepEqual(await Promise.all(upstreams.map(async upstream => await probe.hasCrashed(upstream))), [true, true, true, true, true, false, false, false, false])
    assert.ok(countConnections(standins) <= 4 + 5 * 3, `${countConnections(standins)} connections`)
  })

  it('takes a refusal for a crash when no other upstream is known that stays', async () => {
    const standin = await UpstreamStandin.create('i-1')
    const upstream = createUpstream(standin.address)
    await standin.crash()
    assert.equal(await ConnectionCrashProbe.create(() => [upstream]).hasCrashed(upstream), true)
    assert.equal(await ConnectionCrashProbe.create(() => [upstream, createUpstream('127.0.0.1:1', 'front', 'west', 'leaving')]).hasCrashed(upstream), true)
  })
})
