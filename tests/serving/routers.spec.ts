import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { GenerationRouter, PlainRouter, PrefixCacheIndex, Upstream, UpstreamTable } from '@plumstage/serving'
import type { GenerationDemand, ListedUpstream } from '@plumstage/serving'

const SEED = 7
const RETENTION_MILLISECONDS = 9000

function list (id: string, failureDomain = 'east', capacity = 64): ListedUpstream {
  return { id, incarnation: '1', service: 'model', address: `10.0.0.${id}:80`, failureDomain, capacity, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
}

function createUpstreams (count: number): Upstream[] {
  return Array.from({ length: count }, (_, index) => Upstream.create(list(String(index + 1)), 0))
}

function demand (subject: string): GenerationDemand {
  return { model: 'm', promptTokens: 9190, maximumOutputTokens: 60, segments: [{ id: 'system', tokens: 2520 }, { id: subject, tokens: 3780 }, { id: 'own', tokens: 2890 }] }
}

describe('generation router', () => {
  it('sends a shared part to the same upstream from every gateway', () => {
    const upstreams = createUpstreams(6)
    for (let subject = 0; subject < 40; subject++) {
      const homes = ['east', 'west'].map(domain => GenerationRouter.create(domain, PrefixCacheIndex.create(RETENTION_MILLISECONDS)).choose({ generation: demand(`subject-${subject}`), objectiveMilliseconds: 800 }, upstreams, 0)?.upstream.listed.id)
      assert.equal(homes[0], homes[1])
    }
  })

  it('expects the home of a part to have it, and others only if this gateway has sent it there', () => {
    const upstreams = createUpstreams(4)
    const index = PrefixCacheIndex.create(RETENTION_MILLISECONDS)
    const router = GenerationRouter.create('east', index)
    const call = { generation: demand('page'), objectiveMilliseconds: 800 }
    const atHome = router.choose(call, upstreams, 0)!
    assert.equal(atHome.prefillTokens, 2890)
    atHome.upstream.localLoad.waitingTokens = 100_000
    const elsewhere = router.choose(call, upstreams, 0)!
    assert.equal(elsewhere.prefillTokens, 9190)
    index.recordSent(elsewhere.upstream.listed.id, call.generation.segments.slice(0, 2), 0)
    assert.equal(router.choose(call, upstreams, 0)!.prefillTokens, 2890)
  })

  it('spreads many shared parts over all upstreams', () => {
    const upstreams = createUpstreams(6)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const counts = new Map<string, number>()
    for (let subject = 0; subject < 600; subject++) {
      const id = router.choose({ generation: demand(`subject-${subject}`), objectiveMilliseconds: 800 }, upstreams, 0)!.upstream.listed.id
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    assert.ok([...counts.values()].every(count => count > 50 && count < 150), JSON.stringify([...counts]))
  })

  it('leaves the home of a hot part when its queue costs more than reading the part elsewhere', () => {
    const upstreams = createUpstreams(4)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const call = { generation: demand('hot'), objectiveMilliseconds: 800 }
    const home = router.choose(call, upstreams, 0)!.upstream
    home.setPeerLoad('another gateway', { requests: 10, waitingTokens: 60_000 })
    assert.notEqual(router.choose(call, upstreams, 0)?.upstream, home)
  })

  it('does not let all gateways send to the same upstream that looks idle', () => {
    const upstreams = createUpstreams(40)
    for (const upstream of upstreams.slice(1)) upstream.setPeerLoad('others', { requests: 8, waitingTokens: 8000 })
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    let sent = 0
    for (let subject = 0; subject < 400; subject++) {
      const generation = { ...demand(`subject-${subject}`), segments: [{ id: `subject-${subject}`, tokens: 170 }, { id: 'own', tokens: 540 }] }
      if (router.choose({ generation, objectiveMilliseconds: 800 }, upstreams, 0)?.upstream === upstreams[0]) sent++
    }
    assert.ok(sent <= 100, `${sent} of 400 requests to one of 40 upstreams`)
  })

  it('goes beyond the upstreams of a part while those are busy', () => {
    const upstreams = createUpstreams(40)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const call = { generation: demand('hot'), objectiveMilliseconds: 800 }
    const used = new Set<string>()
    for (let request = 0; request < 200; request++) {
      const upstream = router.choose(call, upstreams, 0)!.upstream
      upstream.localLoad.waitingTokens += 9190
      used.add(upstream.listed.id)
    }
    assert.ok(used.size >= 30, `${used.size} upstreams`)
  })

  it('avoids an upstream that fails its requests', () => {
    const upstreams = createUpstreams(3)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const call = { generation: demand('page'), objectiveMilliseconds: 800 }
    const home = router.choose(call, upstreams, 0)!.upstream
    for (let failure = 0; failure < 3; failure++) home.health.recordFailure(0)
    assert.notEqual(router.choose(call, upstreams, 0)?.upstream, home)
  })
})

describe('plain router', () => {
  it('stays in the failure domain until its upstream is clearly busier', () => {
    const near = Upstream.create(list('1', 'east', 6), 0)
    const far = Upstream.create(list('2', 'west', 6), 0)
    const router = PlainRouter.create('east', SeededRandom.create(SEED))
    assert.equal(router.choose({ objectiveMilliseconds: 120 }, [near, far], 0)?.upstream, near)
    near.localLoad.requests = 4
    assert.equal(router.choose({ objectiveMilliseconds: 120 }, [near, far], 0)?.upstream, far)
  })
})

describe('upstream table', () => {
  it('gives no work to leaving upstreams, and to suspended ones only when there is no other', () => {
    const table = UpstreamTable.create()
    table.apply([list('1'), list('2'), { ...list('3'), state: 'leaving' }], 0)
    const first = table.get('1')!
    first.health.recordUnreachable(0)
    assert.deepEqual(table.listAvailable('model', 1).map(upstream => upstream.listed.id), ['2'])
    table.apply([list('1'), { ...list('2'), state: 'leaving' }], 1)
    assert.deepEqual(table.listAvailable('model', 1).map(upstream => upstream.listed.id), ['1'])
  })

  it('forgets what it knew of an upstream that started again under its id', () => {
    const table = UpstreamTable.create()
    table.apply([list('1')], 0)
    const before = table.get('1')!
    const removed = table.apply([{ ...list('1'), incarnation: '2' }], 1)
    assert.deepEqual(removed, [before])
    assert.notEqual(table.get('1'), before)
  })
})
