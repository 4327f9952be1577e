import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RelayPeers } from '@plumstage/serving'
import type { RelayCandidate, RelayDemand } from '@plumstage/serving'

function createCandidates (count: number, failureDomain: string): RelayCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ address: `10.${failureDomain.charCodeAt(0)}.0.${index}:7600`, name: `${failureDomain}-${index}`, failureDomain, links: 'working', isStopping: false }))
}

function createDemand (candidates: RelayCandidate[], overrides: Partial<RelayDemand> = {}): RelayDemand {
  return { candidates, ownAddress: '10.0.9.9:7600', ownFailureDomain: 'south', upstreamId: 'i-1', ...overrides }
}

/** The names of the peers that are chosen for many upstreams. */
function namesFor (peers: RelayPeers, demand: RelayDemand, now = 0): Set<string | undefined> {
  return new Set(Array.from({ length: 100 }, (_, index) => peers.choose({ ...demand, upstreamId: `i-${index}` }, now)?.name))
}

describe('peers that carry attempts', () => {
  it('stay the same for one upstream while all are usable', () => {
    const peers = RelayPeers.create()
    const candidates = createCandidates(10, 'north')
    const first = peers.choose(createDemand(candidates), 0)
    const second = peers.choose(createDemand([...candidates].reverse()), 5000)
    assert.equal(first?.name, second?.name)
  })

  // Guards against: all gateways of a failure domain that has lost its links send their attempts through one peer.
  it('share the attempts of a whole failure domain evenly', () => {
    const peers = RelayPeers.create()
    const candidates = createCandidates(20, 'north')
    const counts = new Map<string, number>()
    for (let gateway = 0; gateway < 40; gateway++) {
      for (let upstream = 0; upstream < 25; upstream++) {
        const name = peers.choose(createDemand(candidates, { ownAddress: `10.0.9.${gateway}:7600`, upstreamId: `i-${upstream}` }), 0)?.name ?? ''
        counts.set(name, (counts.get(name) ?? 0) + 1)
      }
    }
    assert.equal(counts.size, 20)
    assert.ok(Math.max(...counts.values()) <= 100, `${Math.max(...counts.values())} of 1000 attempts, 50 on average`)
  })

  it('are in the own failure domain if at least half of its peers are usable', () => {
    const south = createCandidates(4, 'south')
    const candidates = [...createCandidates(4, 'north'), ...south]
    const peers = RelayPeers.create()
    south[0].links = 'lost'
    south[1].isStopping = true
    assert.deepEqual(namesFor(peers, createDemand(candidates)), new Set(['south-2', 'south-3']))
    peers.recordFailure(south[2].address, 0)
    const names = namesFor(peers, createDemand(candidates))
    assert.equal(names.has('south-2'), false)
    assert.equal(names.size, 5)
  })

  it('are never stopping or without links of their own', () => {
    const candidates = createCandidates(2, 'north')
    candidates[0].links = 'lost'
    candidates[1].isStopping = true
    assert.equal(RelayPeers.create().choose(createDemand(candidates), 0), undefined)
  })

  it('have links of an unknown state only if no peer with working links is left', () => {
    const candidates = [...createCandidates(3, 'north'), ...createCandidates(3, 'south')]
    for (const candidate of candidates.slice(1)) candidate.links = 'unknown'
    const peers = RelayPeers.create()
    assert.deepEqual(namesFor(peers, createDemand(candidates)), new Set(['north-0']))
    peers.recordFailure(candidates[0].address, 0)
    assert.deepEqual(namesFor(peers, createDemand(candidates)), new Set(['south-0', 'south-1', 'south-2']))
  })

  it('are not the gateway itself', () => {
    const candidates = createCandidates(1, 'north')
    assert.equal(RelayPeers.create().choose(createDemand(candidates, { ownAddress: candidates[0].address }), 0), undefined)
  })

  it('are skipped after a failure for 2 s, then twice as long up to 16 s, until they succeed', () => {
    const peers = RelayPeers.create()
    const candidates = createCandidates(1, 'north')
    const [{ address }] = candidates
    const isUsable = (now: number): boolean => peers.choose(createDemand(candidates), now) !== undefined
    let now = 0
    for (const skip of [2000, 4000, 8000, 16_000, 16_000]) {
      peers.recordFailure(address, now)
      assert.equal(isUsable(now + skip - 1), false, `skipped for ${skip} ms`)
      now += skip
      assert.equal(isUsable(now), true, `usable after ${skip} ms`)
    }
    peers.recordSuccess(address)
    peers.recordFailure(address, now)
    assert.equal(isUsable(now + 1999), false)
    assert.equal(isUsable(now + 2000), true)
  })

  // Guards against: the attempts that fail together when a peer is killed count as many failures in a row.
  it('are skipped once for failures at the same time', () => {
    const peers = RelayPeers.create()
    const candidates = createCandidates(1, 'north')
    for (let attempt = 0; attempt < 50; attempt++) peers.recordFailure(candidates[0].address, attempt)
    assert.ok(peers.choose(createDemand(candidates), 2000))
  })

  it('are not chosen before their time even if all are skipped', () => {
    const peers = RelayPeers.create()
    const candidates = createCandidates(3, 'north')
    for (const { address } of candidates) peers.recordFailure(address, 0)
    assert.equal(peers.choose(createDemand(candidates), 1999), undefined)
    assert.ok(peers.choose(createDemand(candidates), 2000))
  })
})
