import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { GenerationRouter, PlainRouter, PrefixCacheIndex, Upstream, UpstreamTable } from '@plumstage/serving'
import type { GenerationDemand, ListedUpstream } from '@plumstage/serving'

const SEED = 7
const RETENTION_MILLISECONDS = 9000
const PREFILL_TOKENS_PER_MILLISECOND = 40

function createListedUpstream (id: string, failureDomain = 'east', capacity = 64): ListedUpstream {
  return { id, incarnation: '1', service: 'model', address: `10.0.0.${id}:80`, failureDomain, capacity, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
}

function createUpstreams (count: number): Upstream[] {
  return Array.from({ length: count }, (_, index) => Upstream.create(createListedUpstream(String(index + 1)), 0))
}

function demand (subject: string): GenerationDemand {
  return { model: 'm', promptTokens: 9190, maximumOutputTokens: 60, segments: [{ id: 'system', tokens: 2520 }, { id: subject, tokens: 3780 }, { id: 'own', tokens: 2890 }] }
}

describe('generation router', () => {
  it('routes a shared segment to the same upstream from every gateway', () => {
    const upstreams = createUpstreams(6)
    for (let subject = 0; subject < 40; subject++) {
      const preferred = ['east', 'west'].map(domain => GenerationRouter.create(domain, PrefixCacheIndex.create(RETENTION_MILLISECONDS)).choose({ generation: demand(`subject-${subject}`), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }, upstreams, 0)?.upstream.listed.id)
      assert.equal(preferred[0], preferred[1])
    }
  })

  it('expects a segment to be cached at its preferred upstream, and elsewhere only if this gateway sent it there', () => {
    const upstreams = createUpstreams(4)
    const index = PrefixCacheIndex.create(RETENTION_MILLISECONDS)
    const router = GenerationRouter.create('east', index)
    const request = { generation: demand('page'), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }
    const atPreferred = router.choose(request, upstreams, 0)!
    assert.equal(atPreferred.prefillTokens, 2890)
    atPreferred.upstream.localLoad.waitingTokens = 100_000
    const elsewhere = router.choose(request, upstreams, 0)!
    assert.equal(elsewhere.prefillTokens, 9190)
    index.recordSent(elsewhere.upstream.listed.id, request.generation.segments.slice(0, 2), 0)
    assert.equal(router.choose(request, upstreams, 0)!.prefillTokens, 2890)
  })

  it('spreads many shared segments over all upstreams', () => {
    const upstreams = createUpstreams(6)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const counts = new Map<string, number>()
    for (let subject = 0; subject < 600; subject++) {
      const id = router.choose({ generation: demand(`subject-${subject}`), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }, upstreams, 0)!.upstream.listed.id
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    assert.ok([...counts.values()].every(count => count > 50 && count < 150), JSON.stringify([...counts]))
  })

  it('avoids the preferred upstream of a hot segment when its queue costs more than prefilling the segment elsewhere', () => {
    const upstreams = createUpstreams(4)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const request = { generation: demand('hot'), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }
    const preferred = router.choose(request, upstreams, 0)!.upstream
    preferred.setPeerLoad('another gateway', { requests: 10, waitingTokens: 60_000 })
    assert.notEqual(router.choose(request, upstreams, 0)?.upstream, preferred)
  })

  it('does not send requests for all segments to the one upstream that looks idle', () => {
    const upstreams = createUpstreams(40)
    for (const upstream of upstreams.slice(1)) upstream.setPeerLoad('peers', { requests: 8, waitingTokens: 8000 })
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    let sent = 0
    for (let subject = 0; subject < 400; subject++) {
      const generation = { ...demand(`subject-${subject}`), segments: [{ id: `subject-${subject}`, tokens: 170 }, { id: 'own', tokens: 540 }] }
      if (router.choose({ generation, objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }, upstreams, 0)?.upstream === upstreams[0]) sent++
    }
    assert.ok(sent <= 100, `${sent} of 400 requests to one of 40 upstreams`)
  })

  it('considers more upstreams for a segment while its first candidates are busy', () => {
    const upstreams = createUpstreams(40)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const request = { generation: demand('hot'), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }
    const used = new Set<string>()
    for (let count = 0; count < 200; count++) {
      const upstream = router.choose(request, upstreams, 0)!.upstream
      upstream.localLoad.waitingTokens += 9190
      used.add(upstream.listed.id)
    }
    assert.ok(used.size >= 30, `${used.size} upstreams`)
  })

  it('avoids an upstream that fails its requests', () => {
    const upstreams = createUpstreams(3)
    const router = GenerationRouter.create('east', PrefixCacheIndex.create(RETENTION_MILLISECONDS))
    const request = { generation: demand('page'), objectiveMilliseconds: 800, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }
    const preferred = router.choose(request, upstreams, 0)!.upstream
    for (let failure = 0; failure < 3; failure++) preferred.health.recordFailure(0)
    assert.notEqual(router.choose(request, upstreams, 0)?.upstream, preferred)
  })
})

describe('plain router', () => {
  it('stays in its failure domain until the upstream there is clearly busier', () => {
    const local = Upstream.create(createListedUpstream('1', 'east', 6), 0)
    const remote = Upstream.create(createListedUpstream('2', 'west', 6), 0)
    const router = PlainRouter.create('east', SeededRandom.create(SEED))
    assert.equal(router.choose({ objectiveMilliseconds: 120, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }, [local, remote], 0)?.upstream, local)
    local.localLoad.requests = 4
    assert.equal(router.choose({ objectiveMilliseconds: 120, prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND }, [local, remote], 0)?.upstream, remote)
  })
})

describe('upstream table', () => {
  it('lists no leaving upstreams, and suspended ones only when there are no others', () => {
    const table = UpstreamTable.create()
    table.apply([createListedUpstream('1'), createListedUpstream('2'), { ...createListedUpstream('3'), state: 'leaving' }], 0)
    const first = table.get('1')!
    first.health.recordUnreachable(0)
    assert.deepEqual(table.listAvailable('model', 1).map(upstream => upstream.listed.id), ['2'])
    table.apply([createListedUpstream('1'), { ...createListedUpstream('2'), state: 'leaving' }], 1)
    assert.deepEqual(table.listAvailable('model', 1).map(upstream => upstream.listed.id), ['1'])
  })

  it('replaces an upstream that restarted under the same id', () => {
    const table = UpstreamTable.create()
    table.apply([createListedUpstream('1')], 0)
    const previous = table.get('1')!
    const removed = table.apply([{ ...createListedUpstream('1'), incarnation: '2' }], 1)
    assert.deepEqual(removed, [previous])
    assert.notEqual(table.get('1'), previous)
  })
})
