import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { LimitHolders, PeerTable, RequestPacer, ReturnSchedule, Upstream, UpstreamLimits, decodeReport, encodeReport } from '@plumstage/serving'
import type { LimitShare, ListedUpstream } from '@plumstage/serving'
import { ArrivalLog } from '../support/arrivalLog.js'
import { ReportNetwork } from '../support/reportNetwork.js'
import type { ReportingGateway } from '../support/reportNetwork.js'

const UPSTREAM = 'i-1'
const RESPONSE_MILLISECONDS = 100
const WINDOW_SECONDS = 4

function allowedInWindow (limit: number): number {
  return 1.5 * WINDOW_SECONDS * limit + 5
}

function createPeers (address: string, addresses: readonly string[]): PeerTable {
  const peers = PeerTable.create({ address, processorCores: 1 })
  for (const other of addresses) peers.register(other, { address: other, processorCores: 1 })
  return peers
}

function listAddresses (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:7600`)
}

function sharesOf (gateways: readonly string[], registered: readonly string[], limit: number): LimitShare[] {
  return gateways.map(address => LimitHolders.create(createPeers(address, registered)).shareOf(UPSTREAM, limit, 0)).filter(share => share !== undefined)
}

/** The most requests that holders of these shares can send in one window, if all pause and then send at once. */
function mostInWindow (shares: readonly LimitShare[]): number {
  return shares.reduce((sum, share) => sum + share.burstRequests + share.requestsPerSecond * WINDOW_SECONDS, 0)
}

describe('limit holders', () => {
  for (const count of [1, 2, 3, 9, 89, 300]) {
    it(`divide the whole limit and no more among ${count} gateways`, () => {
      const addresses = listAddresses(count)
      for (const limit of [0.1, 0.5, 1, 3, 20, 1000]) {
        const shares = sharesOf(addresses, addresses, limit)
        const total = shares.reduce((sum, share) => sum + share.requestsPerSecond, 0)
        assert.ok(Math.abs(total - limit) < 1e-6, `${total} of ${limit}`)
        assert.ok(mostInWindow(shares) <= allowedInWindow(limit), `${mostInWindow(shares)} in 4 s at a limit of ${limit}`)
      }
    })
  }

  it('stay within the bound when a gateway is known only to itself', () => {
    const addresses = listAddresses(90)
    for (const newcomer of addresses) {
      const others = addresses.filter(address => address !== newcomer)
      const shares = [...sharesOf(others, others, 1), ...sharesOf([newcomer], addresses, 1)]
      assert.ok(mostInWindow(shares) <= allowedInWindow(1), newcomer)
    }
  })

  it('spread the limits of many upstreams over all of 2,600 gateways', () => {
    const addresses = listAddresses(2600)
    const holders = LimitHolders.create(createPeers(addresses[0], addresses))
    const held = Array.from({ length: 5000 }, (_, index) => holders.shareOf(`i-${index}`, 1, 0)).filter(share => share !== undefined).length
    assert.ok(held >= 1 && held <= 20, `${held} shares of about 5.8`)
  })

  it('leave a trickle at a limit of 0, so that its end is noticed', () => {
    const [share] = sharesOf(['10.0.0.1:7600'], ['10.0.0.1:7600'], 0)
    assert.ok(share.requestsPerSecond > 0 && share.requestsPerSecond <= 0.1)
  })

  it('take equal shares when far more gateways are heard than are registered', () => {
    const peers = createPeers('10.0.0.1:7600', ['10.0.0.2:7600'])
    const report = { name: 'relay', incarnation: 'a', sequence: 1, failureDomain: 'east', leaving: false, configuration: undefined, upstreams: { era: 1, revision: 1 }, loads: [], uses: [], windows: [], suspicions: [], partSuspicions: [], demands: [], knownAddresses: [], limits: [], links: 'working' as const, relayed: { gateways: 88, loads: [], uses: [] } }
    peers.apply(report, '10.0.0.2:7600', 0)
    const share = LimitHolders.create(peers).shareOf(UPSTREAM, 9, 0)
    assert.ok(share !== undefined && share.requestsPerSecond <= 9 / 88)
  })
})

describe('request pacer', () => {
  it('sends no burst when it starts, then at most the burst and the rate', () => {
    const share = { requestsPerSecond: 2, burstRequests: 3, phase: 0.5 }
    const pacer = RequestPacer.create(share, 1000)
    assert.equal(pacer.nextSendAt, 1250)
    let sent = 0
    for (let now = 1000; now < 1000 + 60_000; now += 10) {
      // Pauses for ten seconds at a time, then sends whatever is allowed.
      if (Math.floor(now / 10_000) % 2 === 1 || pacer.nextSendAt > now) continue
      pacer.recordSend(now)
      sent++
    }
    const resumed = 3
    assert.ok(sent <= 30 * share.requestsPerSecond + resumed * share.burstRequests && sent >= 30 * share.requestsPerSecond - resumed, `${sent}`)
  })

  it('shortens and prolongs the wait when the limit rises and falls', () => {
    const pacer = RequestPacer.create({ requestsPerSecond: 0.1, burstRequests: 1, phase: 1 }, 0)
    assert.equal(pacer.nextSendAt, 10_000)
    pacer.update({ requestsPerSecond: 10, burstRequests: 1, phase: 1 }, 0)
    assert.equal(pacer.nextSendAt, 100)
    pacer.update({ requestsPerSecond: 1, burstRequests: 1, phase: 1 }, 0)
    assert.equal(pacer.nextSendAt, 1000)
  })
})

describe('return schedule', () => {
  it('lets rejected callers return one after another, at the rate of the room', () => {
    const schedule = ReturnSchedule.create(SeededRandom.create(1))
    const delays = Array.from({ length: 10 }, () => schedule.book(27, 9, 0))
    for (const [index, delay] of delays.entries()) assert.ok(delay >= 200 + index * 333 && delay <= 200 + (index + 1) * 334, `${index}: ${delay}`)
  })

  it('spreads callers for whom no turn is left, also at a limit of 0', () => {
    const schedule = ReturnSchedule.create(SeededRandom.create(1))
    const delays = Array.from({ length: 100 }, () => schedule.book(0, 9, 0))
    assert.ok(delays.every(delay => delay >= 200 && delay <= 5000))
    assert.ok(new Set(delays.map(delay => Math.floor(delay / 500))).size >= 5)
  })
})

/** An upstream that states a limit, and gateways whose callers always have requests for it. */
class LimitedUpstream {
  readonly log = ArrivalLog.create()
  limit: number | undefined
  private readonly _network: ReportNetwork
  private _responses: Array<{ gateway: ReportingGateway, sentAt: number, at: number }> = []

  constructor (network: ReportNetwork, limit: number) {
    this._network = network
    this.limit = limit
  }

  run (milliseconds: number): void {
    this._network.run(milliseconds, gateway => {
      this._deliverResponses(gateway)
      this._sendIfAllowed(gateway)
    })
  }

  private _sendIfAllowed (gateway: ReportingGateway): void {
    const { now } = this._network
    const { state } = gateway
    const upstream = state.upstreams.get(UPSTREAM)!
    if (!state.limits.hasRoom(upstream, now)) return
    state.limits.recordSend(upstream, now)
    this.log.record(gateway.name, now)
    this._responses.push({ gateway, sentAt: now, at: now + RESPONSE_MILLISECONDS })
  }

  private _deliverResponses (gateway: ReportingGateway): void {
    const { now } = this._network
    const due = this._responses.filter(response => response.gateway === gateway && response.at <= now)
    this._responses = this._responses.filter(response => !due.includes(response))
    for (const { sentAt } of due) {
      if (this.limit !== undefined) this.log.recordStatement(gateway.name, now)
      gateway.state.limits.applyResponse(gateway.state.upstreams.get(UPSTREAM)!, this.limit === undefined ? { kind: 'none' } : { kind: 'limit', requestsPerSecond: this.limit }, sentAt, now)
    }
  }
}

describe('limits of upstreams among gateways', () => {
  for (const count of [1, 3, 9, 40, 89]) {
    for (const limit of [1, 3, 10]) {
      it(`keep ${count} gateways within ${limit} a second, and use it`, () => {
        const network = ReportNetwork.create(count)
        const upstream = new LimitedUpstream(network, limit)
        upstream.run(20_000)
        const { most, allowed } = upstream.log.checkLimit(limit)
        assert.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`)
        const before = upstream.log.count
        upstream.run(20_000)
        const used = (upstream.log.count - before) / 20
        assert.ok(used >= limit * 0.7 && used <= limit * 1.05, `${used} a second`)
      })
    }
  }

  it('hold while one gateway after another is frozen and resumed', () => {
    const network = ReportNetwork.create(9)
    const upstream = new LimitedUpstream(network, 1)
    upstream.run(5000)
    for (let round = 0; round < 9; round++) {
      const gateway = network.gateways[round]
      gateway.isUp = false
      upstream.run(1500)
      gateway.isUp = true
      upstream.run(1500)
    }
    const { most, allowed } = upstream.log.checkLimit(1)
    assert.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`)
  })

  it('hold while a gateway is cut off, one is late and one is not known to the others', () => {
    const network = ReportNetwork.create(9)
    const [cutOff, late, newcomer] = network.gateways
    cutOff.isCutOff = true
    late.delayMilliseconds = 2500
    for (const { state, name } of network.gateways) if (name !== newcomer.name) state.peers.register(newcomer.name, undefined)
    const upstream = new LimitedUpstream(network, 1)
    upstream.run(30_000)
    const { most, allowed } = upstream.log.checkLimit(1)
    assert.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`)
  })

  it('hold when a late gateway reports the end of a limit that has begun again', () => {
    for (const delayMilliseconds of [500, 1000, 1500, 2000, 3000, 5000]) {
      const network = ReportNetwork.create(9)
      network.gateways[0].delayMilliseconds = delayMilliseconds
      const upstream = new LimitedUpstream(network, 1)
      upstream.run(8000)
      upstream.limit = undefined
      upstream.run(delayMilliseconds)
      const again = new LimitedUpstream(network, 1)
      again.run(15_000)
      const { most, allowed } = again.log.checkLimit(1)
      assert.ok(most <= allowed, `${most} in 4 s after a delay of ${delayMilliseconds} ms, allowed ${allowed}`)
    }
  })

  it('ends at all gateways, also at those that hold no share', () => {
    for (const count of [9, 89]) {
      const network = ReportNetwork.create(count)
      const upstream = new LimitedUpstream(network, 1)
      upstream.run(10_000)
      upstream.limit = undefined
      upstream.run(10_000)
      for (const { state, name } of network.gateways) assert.equal(state.upstreams.get(UPSTREAM)!.limit.requestsPerSecond, undefined, name)
    }
  })

  it('follows a limit that falls and rises', () => {
    const network = ReportNetwork.create(9)
    const upstream = new LimitedUpstream(network, 10)
    upstream.run(6000)
    upstream.limit = 1
    upstream.run(3000)
    const before = upstream.log.count
    upstream.run(8000)
    assert.ok(upstream.log.count - before <= 12, `${upstream.log.count - before} in 8 s at 1 a second`)
    upstream.limit = 20
    upstream.run(4000)
    const raised = upstream.log.count
    upstream.run(8000)
    assert.ok(upstream.log.count - raised >= 8 * 20 * 0.7)
  })

  it('does not apply to a later incarnation under the same id', () => {
    const network = ReportNetwork.create(2)
    const upstream = new LimitedUpstream(network, 1)
    upstream.run(4000)
    const [first, second] = network.gateways
    const entry: ListedUpstream = { ...second.state.upstreams.get(UPSTREAM)!.listed, incarnation: '2' }
    for (const removed of second.state.upstreams.apply([entry], network.now)) second.state.limits.remove(removed)
    second.exchange.apply(second.state.peers.apply(decodeReport(encodeReport(first.exchange.createReport(false, network.now, network.now)))._unsafeUnwrap(), first.address, network.now)!, network.now)
    assert.equal(second.state.upstreams.get(UPSTREAM)!.limit.requestsPerSecond, undefined)
  })

  it('ignores a reported limit that is not a number of requests', () => {
    const network = ReportNetwork.create(1)
    const report = network.gateways[0].exchange.createReport(false, 0, 0)
    for (const requestsPerSecond of [Number.NaN, Number.POSITIVE_INFINITY, -1]) {
      assert.deepEqual(decodeReport(encodeReport({ ...report, limits: [{ upstream: UPSTREAM, incarnation: '1', requestsPerSecond, ageMilliseconds: 0, origin: 1, number: 1 }] }))._unsafeUnwrap().limits, [])
    }
  })

  it('bounds what a report says when very many upstreams are limited', () => {
    const limits = UpstreamLimits.create(createPeers('10.0.0.1:7600', []), 1)
    const upstreams = Array.from({ length: 7600 }, (_, index) => Upstream.create({ id: `i-${index}`, incarnation: '1', service: 'model', address: '10.2.0.1:90', failureDomain: 'east', capacity: 64, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }, 0))
    for (const [index, upstream] of upstreams.entries()) limits.applyResponse(upstream, { kind: 'limit', requestsPerSecond: 1 }, index, index)
    const reported = limits.createReport(upstreams, 8000)
    assert.ok(reported.length <= 200)
    assert.equal(reported[0].upstream, 'i-7599')
  })
})
