import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Timestamp } from '@plumstage/common'
import { Upstream, UpstreamLinks } from '@plumstage/serving'
import type { ProbeOutcome, ProbeResult } from '@plumstage/serving'

const STEP_MILLISECONDS = 10
const CHECK_MILLISECONDS = 100
const DURATION_MILLISECONDS: Readonly<Record<ProbeOutcome, number>> = { responded: 10, refused: 10, silent: 400 }

function createUpstream (id: string, service = 'front', failureDomain = 'east', state: 'ready' | 'leaving' = 'ready'): Upstream {
  return Upstream.create({ id, incarnation: '1', service, address: `127.0.0.1:${1000 + Number(id.slice(2))}`, failureDomain, capacity: 4, state, reclaimable: false, warmupMilliseconds: 0 }, 0)
}

/** Upstreams `i-0`, `i-1` and so on, in turn of two services and three failure domains. */
function createUpstreams (count: number): Upstream[] {
  return Array.from({ length: count }, (_, index) => createUpstream(`i-${index}`, ['front', 'other'][index % 2], ['east', 'west', 'north'][index % 3]))
}

/** A round of probes that is on its way. */
interface RunningRound {
  results: ProbeResult[]
  endsAt: Timestamp
}

/** A gateway in virtual time. `outcomeOf` says how a probe would end that begins now. */
class SimulatedGateway {
  readonly links = UpstreamLinks.create()
  readonly changes: string[] = []
  readonly rounds: string[][] = []
  now: Timestamp = 0
  outcomeOf: (upstream: Upstream) => ProbeOutcome = () => 'responded'
  /** Called at each step, for the traffic of the requests. */
  onStep: () => void = () => {}
  upstreams: readonly Upstream[]
  private _round: RunningRound | undefined
  private _nextCheckAt: Timestamp = 0

  private constructor (upstreams: readonly Upstream[]) {
    this.upstreams = upstreams
  }

  static create (upstreams: readonly Upstream[]): SimulatedGateway {
    return new SimulatedGateway(upstreams)
  }

  get probeCount (): number {
    return this.rounds.flat().length
  }

  runUntil (end: Timestamp): void {
    for (; this.now < end; this.now += STEP_MILLISECONDS) {
      this.onStep()
      if (this._round && this.now >= this._round.endsAt) this._endRound(this._round)
      if (this.now >= this._nextCheckAt) this.check()
    }
  }

  /** Lets time pass while the process does nothing. */
  freeze (milliseconds: number): void {
    this.now += milliseconds
  }

  fail (upstreamId: string): void {
    this.links.recordFailure(upstreamId, this.now)
    this.check()
  }

  check (): void {
    this._nextCheckAt = this.now + CHECK_MILLISECONDS
    const planned = this.links.planProbe(this.upstreams, this.now)
    if (planned.length === 0) return
    this.rounds.push(planned.map(upstream => upstream.listed.id))
    const results = planned.map(upstream => ({ upstream, outcome: this.outcomeOf(upstream) }))
    const responded = results.filter(result => result.outcome === 'responded')
    const duration = responded.length > 0 ? DURATION_MILLISECONDS.responded : Math.max(...results.map(result => DURATION_MILLISECONDS[result.outcome]))
    this._round = { results: responded.length > 0 ? responded : results, endsAt: this.now + duration }
  }

  private _endRound ({ results }: RunningRound): void {
    this._round = undefined
    const change = this.links.recordRound(results, this.now)
    if (change) this.changes.push(`${change} ${this.now}`)
  }
}

/** Begins an exchange and lets bytes arrive at each step while `arrives`. */
function sendTraffic (gateway: SimulatedGateway, arrives: (now: Timestamp) => boolean): void {
  gateway.links.beginExchange(gateway.now)
  gateway.onStep = () => { if (arrives(gateway.now)) gateway.links.recordContact(gateway.now) }
}

describe('links to the upstreams', () => {
  it('are probed neither while bytes arrive nor while no request runs', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.runUntil(5000)
    sendTraffic(gateway, () => true)
    gateway.runUntil(20_000)
    gateway.links.endExchange()
    gateway.onStep = () => {}
    gateway.runUntil(40_000)
    assert.equal(gateway.probeCount, 0)
    assert.equal(gateway.links.silentSince(gateway.now), undefined)
  })

  // Guards against: requests wait for their deadlines at a gateway whose connections to all upstreams hang.
  it('are lost within a second when all connections fall silent, and regained within a second', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    const isCut = (now: Timestamp): boolean => now >= 3000 && now < 9000
    sendTraffic(gateway, now => !isCut(now))
    gateway.outcomeOf = () => isCut(gateway.now) ? 'silent' : 'responded'
    gateway.runUntil(3200)
    assert.equal(gateway.links.silentSince(gateway.now), 2990)
    gateway.runUntil(12_000)
    assert.equal(gateway.changes.length, 2)
    const [lost, regained] = gateway.changes.map(change => Number(change.split(' ')[1]))
    assert.ok(lost > 3400 && lost <= 4000, `lost at ${lost}`)
    assert.ok(regained > 9000 && regained <= 10_000, `regained at ${regained}`)
  })

  // Guards against: requests wait for their deadlines on open connections that are silent, because new ones are answered.
  it('work, but their open connections are silent, when nothing is heard except probes', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, now => now < 3000 || now >= 6000)
    gateway.links.beginExchange(0)
    gateway.runUntil(3900)
    assert.ok(gateway.rounds.length > 0)
    assert.equal(gateway.links.connectionsSilentSince, undefined)
    gateway.runUntil(4600)
    assert.equal(gateway.links.connectionsSilentSince, 2990)
    gateway.runUntil(9000)
    assert.equal(gateway.links.state, 'working')
    assert.deepEqual(gateway.changes, [])
  })

  // Guards against: requests that wait for some time at busy upstreams have all connections replaced.
  it('need a long silence to count their open connections as silent', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.links.beginExchange(0)
    gateway.runUntil(900)
    assert.ok(gateway.rounds.length > 0)
    assert.equal(gateway.links.connectionsSilentSince, undefined)
    gateway.runUntil(2500)
    assert.equal(gateway.links.connectionsSilentSince, 0)
  })

  // Guards against: every request at a gateway that is refused by all upstreams uses up its attempts there.
  it('are lost right after a failure when all upstreams refuse connections', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.runUntil(3000)
    gateway.outcomeOf = () => 'refused'
    gateway.fail('i-0')
    assert.equal(gateway.links.isDoubtful, true)
    gateway.runUntil(3030)
    assert.deepEqual(gateway.changes, ['lost 3010'])
    assert.equal(gateway.links.isDoubtful, false)
    gateway.outcomeOf = () => 'responded'
    gateway.runUntil(4000)
    assert.match(gateway.changes[1], /^regained 3[5-6]/)
  })

  // Guards against: bytes on the connections that live on hide that no new connection can be opened.
  it('are lost when open connections live on while new ones are refused', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, () => true)
    gateway.outcomeOf = () => 'refused'
    gateway.runUntil(2000)
    assert.deepEqual(gateway.changes, [])
    gateway.fail('i-3')
    gateway.fail('i-4')
    gateway.runUntil(6000)
    assert.deepEqual(gateway.changes, ['lost 2010'])
  })

  // Guards against: each connection that fails at one crashing upstream costs probes of the others.
  it('cause no probes while only one upstream fails and others are heard', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, () => true)
    for (let at = 1000; at < 3000; at += 500) {
      gateway.runUntil(at)
      gateway.fail('i-3')
    }
    gateway.runUntil(5000)
    assert.equal(gateway.rounds.length, 0)
  })

  it('stay working when one upstream is silent for 1.5 s and others respond, at the price of two rounds', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, now => now < 1000 || now >= 2500)
    gateway.outcomeOf = upstream => upstream.listed.id === 'i-0' ? 'silent' : 'responded'
    gateway.runUntil(5000)
    assert.deepEqual(gateway.changes, [])
    assert.equal(gateway.rounds.length, 2)
    assert.equal(gateway.probeCount, 6)
  })

  it('stay working when all requests wait in queues for 3 s and probes get responses, at the price of three rounds', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, now => now >= 3000)
    gateway.runUntil(6000)
    assert.deepEqual(gateway.changes, [])
    assert.equal(gateway.rounds.length, 3)
    assert.equal(gateway.probeCount, 9)
  })

  // Guards against: a gateway of an overloaded service regards its links as lost because probes wait in the same queues as requests.
  it('stay working when the probes wait in queues and bytes arrive meanwhile', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, now => now % 300 === 0)
    gateway.outcomeOf = () => 'silent'
    gateway.runUntil(2000)
    gateway.fail('i-1')
    gateway.fail('i-2')
    gateway.runUntil(5000)
    assert.equal(gateway.rounds.length, 1)
    assert.deepEqual(gateway.changes, [])
  })

  // Guards against: a gateway of an overloaded service keeps sending its requests through peers, because all its probes wait in queues.
  it('are regained when bytes arrive again although probes wait in queues', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.outcomeOf = () => 'silent'
    sendTraffic(gateway, now => now >= 3000)
    gateway.runUntil(5000)
    assert.deepEqual(gateway.changes.map(change => change.split(' ')[0]), ['lost', 'regained'])
  })

  it('are lost like those of all gateways when all upstreams crash, and regained when the first is back', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.runUntil(1000)
    gateway.outcomeOf = () => 'refused'
    for (const id of ['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5']) gateway.fail(id)
    gateway.runUntil(4000)
    gateway.outcomeOf = upstream => upstream.listed.id === 'i-4' ? 'responded' : 'refused'
    gateway.runUntil(6000)
    const [lost, regained] = gateway.changes
    assert.equal(lost, 'lost 1010')
    assert.match(regained, /^regained (4\d\d\d|5[0-5]\d\d)$/)
  })

  // Guards against: a gateway regards its links as lost because the upstreams that have just failed are the ones that are probed.
  it('stay working when half of the upstreams crash and requests have met them', () => {
    const gateway = SimulatedGateway.create(createUpstreams(10))
    const crashed = new Set(['i-0', 'i-1', 'i-2', 'i-3', 'i-4'])
    gateway.runUntil(1000)
    gateway.outcomeOf = upstream => crashed.has(upstream.listed.id) ? 'refused' : 'responded'
    for (const id of crashed) gateway.links.recordFailure(id, gateway.now)
    gateway.runUntil(2000)
    for (const id of crashed) gateway.fail(id)
    gateway.runUntil(4000)
    assert.deepEqual(gateway.changes, [])
    assert.ok(gateway.rounds.length <= 3, `${gateway.rounds.length} rounds`)
    for (const round of gateway.rounds) assert.equal(round.some(id => crashed.has(id)), false)
  })

  it('follow a cut that comes and goes, with a bounded number of probes', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    const isCut = (): boolean => gateway.now % 1400 >= 700
    gateway.outcomeOf = () => isCut() ? 'refused' : 'responded'
    gateway.onStep = () => { if (isCut() && gateway.now % 50 === 0) gateway.fail('i-0') }
    gateway.runUntil(14_000)
    const kinds = gateway.changes.map(change => change.split(' ')[0])
    assert.ok(kinds.length >= 18, `${kinds.length} changes`)
    kinds.forEach((kind, index) => assert.equal(kind, index % 2 === 0 ? 'lost' : 'regained'))
    assert.ok(gateway.rounds.length <= 14_000 / 250, `${gateway.rounds.length} rounds`)
  })

  it('stay working, without probes, while a single upstream or none is known', () => {
    for (const upstreams of [createUpstreams(1), [], [createUpstream('i-0'), createUpstream('i-1', 'front', 'east', 'leaving')]]) {
      const gateway = SimulatedGateway.create(upstreams)
      sendTraffic(gateway, () => false)
      gateway.outcomeOf = () => 'refused'
      gateway.runUntil(1000)
      gateway.fail('i-0')
      assert.equal(gateway.links.isDoubtful, false)
      gateway.runUntil(5000)
      assert.deepEqual([gateway.links.state, gateway.probeCount], ['working', 0])
    }
  })

  it('are working again when no upstream is left that could be probed', () => {
    const gateway = SimulatedGateway.create(createUpstreams(3))
    gateway.outcomeOf = () => 'refused'
    gateway.fail('i-0')
    gateway.runUntil(100)
    assert.equal(gateway.links.state, 'lost')
    assert.equal(gateway.links.recordRound([], gateway.now), 'regained')
    assert.equal(gateway.links.state, 'working')
  })

  // Guards against: after this process was suspended, the time in which it could not read is taken for silence of the upstreams.
  it('stay working after this process was suspended for 5 s', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    sendTraffic(gateway, now => now < 1000)
    gateway.runUntil(1200)
    gateway.freeze(5000)
    assert.equal(gateway.links.silentSince(gateway.now), gateway.now)
    gateway.check()
    assert.equal(gateway.probeCount, 0)
    assert.equal(gateway.links.silentSince(gateway.now), 6200)
    gateway.runUntil(6500)
    assert.equal(gateway.probeCount, 0)
  })

  // Guards against: probes that expired while this process was suspended count as silence of the upstreams.
  it('repeat a round during which this process was suspended', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    gateway.runUntil(1000)
    gateway.outcomeOf = () => 'silent'
    gateway.fail('i-0')
    gateway.outcomeOf = () => 'responded'
    gateway.runUntil(1100)
    gateway.freeze(5000)
    gateway.runUntil(6200)
    assert.deepEqual(gateway.changes, [])
    assert.equal(gateway.rounds.length, 2)
    assert.equal(gateway.links.isDoubtful, false)
  })

  it('are probed with upstreams of different services and failure domains, others in each round, and no leaving ones', () => {
    const upstreams = [createUpstream('i-0'), createUpstream('i-1'), createUpstream('i-2'), createUpstream('i-3', 'other', 'west'), createUpstream('i-4', 'third', 'north'), createUpstream('i-5', 'other', 'north', 'leaving')]
    const gateway = SimulatedGateway.create(upstreams)
    for (let round = 0; round < 3; round++) {
      gateway.fail('i-9')
      gateway.runUntil(gateway.now + 300)
    }
    assert.deepEqual(gateway.rounds, [['i-0', 'i-3', 'i-4'], ['i-1', 'i-3', 'i-4'], ['i-2', 'i-3', 'i-4']])
  })

  it('are probed with busy upstreams only if there are no others', () => {
    const upstreams = createUpstreams(4)
    for (const upstream of upstreams.slice(0, 2)) upstream.localLoad.requests = 4
    const gateway = SimulatedGateway.create(upstreams)
    gateway.fail('i-9')
    assert.deepEqual(gateway.rounds, [['i-2', 'i-3', 'i-1']])
  })

  it('are probed once for all failures within a short time', () => {
    const gateway = SimulatedGateway.create(createUpstreams(6))
    for (let failure = 0; failure < 60; failure++) gateway.fail('i-0')
    gateway.runUntil(1000)
    assert.equal(gateway.rounds.length, 1)
  })
})
