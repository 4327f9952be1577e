import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ScalingBounds } from '@plumstage/records'
import { FleetPlanner, countMissingUpstreams } from '@plumstage/serving'
import type { FleetCount, UpstreamOrder } from '@plumstage/serving'

const SCALING: ScalingBounds = { minimum: 1, maximum: 8, bootSeconds: 4, reclaimablePriceFraction: 0.22, priceByDomain: { east: 0.9, north: 1, west: 1.2 } }
const NO_DEMAND = { promptTokensPerSecond: 0, outputTokensPerSecond: 0 }
const ROUND_MILLISECONDS = 400
const IDLE = { waitingTokens: 0, activeRequests: 0, placesPerUpstream: 64, missingUpstreams: 0 }
/** One upstream takes on 27,000 prompt tokens per second. */
const OBSERVED_TOKENS_PER_SECOND = 30_000

/** Fake platform whose failure domains fulfill orders, or refuse reclaimable upstreams during a shortage. */
class FleetModel {
  readonly counts: FleetCount[] = []
  hasShortage = false
  now = 0
  orders: UpstreamOrder[] = []
  private readonly _planner = FleetPlanner.create(0)
  private readonly _booting: Array<{ order: UpstreamOrder, readyAt: number }> = []

  constructor (onDemand: number) {
    for (const failureDomain of Object.keys(SCALING.priceByDomain)) {
      this.counts.push({ failureDomain, reclaimable: true, serving: 0, leaving: 0 }, { failureDomain, reclaimable: false, serving: onDemand, leaving: 0 })
    }
  }

  run (milliseconds: number, demand = NO_DEMAND): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += ROUND_MILLISECONDS) {
      for (const boot of this._booting.splice(0)) {
        if (boot.readyAt <= this.now) this.countOf(boot.order.failureDomain, boot.order.reclaimable).serving = boot.order.desired
        else this._booting.push(boot)
      }
      for (const order of this._planner.plan({ service: 'model', scaling: SCALING, demand, counts: this.counts, observedTokensPerSecond: OBSERVED_TOKENS_PER_SECOND, ...IDLE }, this.now)) this._placeOrder(order)
    }
  }

  reclaim (failureDomain: string): void {
    const count = this.countOf(failureDomain, true)
    count.leaving = count.serving
    count.serving = 0
  }

  serving (reclaimable: boolean): number {
    return this.counts.filter(count => count.reclaimable === reclaimable).reduce((sum, count) => sum + count.serving, 0)
  }

  countOf (failureDomain: string, reclaimable: boolean): FleetCount {
    return this.counts.find(count => count.failureDomain === failureDomain && count.reclaimable === reclaimable)!
  }

  private _placeOrder (order: UpstreamOrder): void {
    this.orders.push(order)
    if (order.desired + this.countOf(order.failureDomain, !order.reclaimable).serving > SCALING.maximum) return this._planner.recordUnavailable(order, this.now)
    if (this.hasShortage && order.reclaimable) return this._planner.recordUnavailable(order, this.now)
    this._planner.recordAccepted(order, this.now)
    const count = this.countOf(order.failureDomain, order.reclaimable)
    if (order.desired <= count.serving) count.serving = order.desired
    else this._booting.push({ order, readyAt: this.now + SCALING.bootSeconds * 1000 })
  }
}

describe('fleet planner', () => {
  it('gives up nothing until the list of existing upstreams has stopped growing, and orders only a minimum before', () => {
    const planner = FleetPlanner.create(0)
    const planWith = (serving: number, now: number): UpstreamOrder[] => {
      const counts = [{ failureDomain: 'east', reclaimable: false, serving, leaving: 0 }]
      const orders = planner.plan({ service: 'model', scaling: SCALING, demand: NO_DEMAND, counts, ...IDLE }, now)
      for (const order of orders) planner.recordAccepted(order, now)
      return orders
    }
    assert.deepEqual(planWith(0, 0), [])
    assert.deepEqual(planWith(6, 1200).map(order => `${order.reclaimable} ${order.desired}`), ['true 2', 'true 2', 'true 2'])
    assert.deepEqual(planWith(20, 1600), [])
    assert.ok(planWith(20, 3200).some(order => order.reclaimable && order.desired >= 5))
  })

  it('orders nothing from a growing list that has reclaimable upstreams, which a lower number would give up', () => {
    const counts = [{ failureDomain: 'east', reclaimable: true, serving: 4, leaving: 0 }]
    assert.deepEqual(FleetPlanner.create(0).plan({ service: 'model', scaling: SCALING, demand: NO_DEMAND, counts, ...IDLE }, 0), [])
  })

  it('keeps a share of a large fleet until there is demand, then shrinks it to what the demand needs', () => {
    const fleet = new FleetModel(20)
    fleet.run(12_000)
    const initialUpstreams = 3 * 20
    assert.ok(fleet.serving(true) + fleet.serving(false) >= initialUpstreams * 0.4, `${fleet.serving(true)} and ${fleet.serving(false)}`)
    fleet.run(130_000, { promptTokensPerSecond: 30_000, outputTokensPerSecond: 0 })
    assert.ok(fleet.serving(true) + fleet.serving(false) <= 12, `${fleet.serving(true)} and ${fleet.serving(false)}`)
  })

  it('shrinks a fleet that stays without demand', () => {
    const fleet = new FleetModel(20)
    fleet.run(60_000)
    assert.ok(fleet.serving(true) + fleet.serving(false) <= 6, `${fleet.serving(true)} and ${fleet.serving(false)}`)
  })

  it('replaces initial on-demand upstreams by reclaimable ones without a gap in serving', () => {
    const fleet = new FleetModel(4)
    fleet.run(3600)
    assert.ok(fleet.serving(false) > 0, 'on-demand upstreams serve until the reclaimable ones have booted')
    fleet.run(12_000)
    assert.equal(fleet.serving(false), 0)
    assert.ok(fleet.counts.filter(count => count.reclaimable).every(count => count.serving >= 2))
  })

  it('orders on-demand upstreams when one domain after another is reclaimed during a shortage', () => {
    const fleet = new FleetModel(0)
    const demand = { promptTokensPerSecond: 100_000, outputTokensPerSecond: 0 }
    fleet.run(8000, demand)
    fleet.hasShortage = true
    fleet.reclaim('east')
    fleet.run(6000, demand)
    fleet.reclaim('north')
    fleet.run(6000, demand)
    assert.ok(fleet.serving(false) >= 4, `${fleet.serving(false)} on-demand before the last reclaim`)
    fleet.reclaim('west')
    fleet.run(8000, demand)
    assert.ok(fleet.serving(false) >= 4, `${fleet.serving(false)} on-demand after it`)
  })

  it('keeps on-demand upstreams until reclaimable ones carry the load without their largest domain', () => {
    const planner = FleetPlanner.create(0)
    const counts: FleetCount[] = [
      { failureDomain: 'east', reclaimable: true, serving: 6, leaving: 0 },
      { failureDomain: 'north', reclaimable: false, serving: 6, leaving: 0 },
      { failureDomain: 'west', reclaimable: false, serving: 6, leaving: 0 }
    ]
    const demand = { promptTokensPerSecond: 300_000, outputTokensPerSecond: 0 }
    const orders = planner.plan({ service: 'model', scaling: SCALING, demand, counts, observedTokensPerSecond: OBSERVED_TOKENS_PER_SECOND, ...IDLE }, 0)
    assert.deepEqual(orders.filter(order => !order.reclaimable && order.desired < 6), [])
    assert.ok(orders.some(order => order.reclaimable))
  })

  it('does not cancel booting reclaimable upstreams in favor of on-demand ones', () => {
    const demand = { promptTokensPerSecond: 250_000, outputTokensPerSecond: 0 }
    const fleet = new FleetModel(0)
    fleet.run(12_000)
    fleet.run(2000, demand)
    const ordered = fleet.orders.filter(order => order.reclaimable && order.failureDomain === 'west').at(-1)!.desired
    fleet.hasShortage = true
    fleet.reclaim('east')
    fleet.run(2000, demand)
    assert.equal(fleet.orders.filter(order => order.reclaimable && order.failureDomain === 'west').at(-1)!.desired, ordered)
    assert.ok(fleet.orders.some(order => !order.reclaimable && order.desired > 0))
  })

  it('orders upstreams by the observed prefill rate, whatever it is', () => {
    const desiredAt = (observedTokensPerSecond: number): number => {
      const planner = FleetPlanner.create(0)
      const demand = { promptTokensPerSecond: 200_000, outputTokensPerSecond: 0 }
      const [order] = planner.plan({ service: 'model', scaling: SCALING, demand, counts: [], observedTokensPerSecond, ...IDLE }, 0)
      return order.desired
    }
    assert.ok(desiredAt(70_000) < desiredAt(45_000))
    assert.ok(desiredAt(45_000) < desiredAt(25_000))
    assert.ok(desiredAt(300_000) < desiredAt(70_000))
  })

  it('keeps what serves while the prefill rate is not known, and orders by an assumed rate only when nothing serves', () => {
    const orderAt = (serving: number): UpstreamOrder[] => {
      const counts = Object.keys(SCALING.priceByDomain).map(failureDomain => ({ failureDomain, reclaimable: true, serving, leaving: 0 }))
      return FleetPlanner.create(0).plan({ service: 'model', scaling: SCALING, demand: { promptTokensPerSecond: 400_000, outputTokensPerSecond: 0 }, counts, ...IDLE }, 0)
    }
    assert.deepEqual(orderAt(2).filter(order => !order.reclaimable), [])
    assert.ok(orderAt(0).some(order => order.reclaimable && order.desired >= 6))
  })

  it('orders more upstreams when requests occupy their places, when prompts wait, and when others limit their requests', () => {
    const desiredAt = (load: Partial<typeof IDLE>): number => {
      const demand = { promptTokensPerSecond: 100_000, outputTokensPerSecond: 0 }
      const [order] = FleetPlanner.create(0).plan({ service: 'model', scaling: SCALING, demand, counts: [], observedTokensPerSecond: 100_000, ...IDLE, ...load }, 0)
      return order.desired
    }
    assert.ok(desiredAt({ activeRequests: 500 }) > desiredAt({}))
    assert.ok(desiredAt({ activeRequests: 100, placesPerUpstream: 16 }) > desiredAt({ activeRequests: 100 }))
    assert.ok(desiredAt({ waitingTokens: 500_000 }) > desiredAt({}))
    assert.ok(desiredAt({ missingUpstreams: 1.7 }) > desiredAt({}))
  })

  it('returns to reclaimable upstreams although on-demand ones use most of the limit of each domain', () => {
    const fleet = new FleetModel(7)
    const demand = { promptTokensPerSecond: 300_000, outputTokensPerSecond: 0 }
    fleet.run(60_000, demand)
    assert.ok(fleet.serving(true) >= 12, `${fleet.serving(true)} reclaimable, ${fleet.serving(false)} on-demand`)
    assert.ok(fleet.serving(false) <= 2, `${fleet.serving(true)} reclaimable, ${fleet.serving(false)} on-demand`)
  })

  it('returns to reclaimable upstreams when the shortage is over', () => {
    const fleet = new FleetModel(0)
    fleet.run(8000)
    fleet.hasShortage = true
    for (const domain of ['east', 'north', 'west']) fleet.reclaim(domain)
    fleet.run(16_000)
    fleet.hasShortage = false
    fleet.run(20_000)
    assert.equal(fleet.serving(false), 0)
    assert.ok(fleet.serving(true) >= 6)
  })

  it('keeps the reclaimable upstreams that serve when the duty is taken over between the reclaims of a shortage', () => {
    const counts: FleetCount[] = ['east', 'north'].map(failureDomain => ({ failureDomain, reclaimable: true, serving: 6, leaving: 0 }))
    const demand = { promptTokensPerSecond: 60_000, outputTokensPerSecond: 0 }
    const planner = FleetPlanner.create(0)
    for (let now = 0; now < 4800; now += ROUND_MILLISECONDS) {
      const orders = planner.plan({ service: 'model', scaling: SCALING, demand, counts, observedTokensPerSecond: OBSERVED_TOKENS_PER_SECOND, ...IDLE }, now)
      assert.deepEqual(orders.filter(order => order.reclaimable && order.failureDomain !== 'west' && order.desired < 6), [])
      for (const order of orders) planner.recordAccepted(order, now)
    }
  })

  it('orders nothing for a burst that is over before an upstream has booted, and shrinks soon after a longer one', () => {
    const usual = { promptTokensPerSecond: 60_000, outputTokensPerSecond: 0 }
    const burst = { promptTokensPerSecond: 180_000, outputTokensPerSecond: 0 }
    const fleet = new FleetModel(0)
    fleet.run(20_000, usual)
    const ordered = fleet.orders.length
    fleet.run(800, burst)
    fleet.run(8000, usual)
    assert.equal(fleet.orders.length, ordered)
    const usualUpstreams = fleet.serving(true)
    fleet.run(12_000, burst)
    assert.ok(fleet.serving(true) > usualUpstreams)
    fleet.run(8000, usual)
    assert.equal(fleet.serving(true), usualUpstreams)
  })

  it('does not repeat an order whose upstreams may still be booting', () => {
    const fleet = new FleetModel(0)
    fleet.run(4000)
    const keys = fleet.orders.map(order => `${order.failureDomain} ${order.reclaimable} ${order.desired}`)
    assert.equal(new Set(keys).size, keys.length)
  })

  it('grows immediately with the load and stays within the scaling bounds', () => {
    const fleet = new FleetModel(0)
    fleet.run(8000)
    fleet.run(6000, { promptTokensPerSecond: 2_000_000, outputTokensPerSecond: 0 })
    assert.ok(fleet.counts.every(count => count.serving <= SCALING.maximum))
    assert.equal(fleet.countOf('east', true).serving, SCALING.maximum)
  })
})

describe('missing capacity', () => {
  it('is the part of each limited upstream that its limit does not reach', () => {
    assert.equal(countMissingUpstreams([], 1000, 40_000), 0)
    assert.equal(countMissingUpstreams([0], 1000, 40_000), 1)
    assert.equal(countMissingUpstreams([10, 20], 1000, 40_000), 1.25)
    assert.equal(countMissingUpstreams([1000], 1000, 40_000), 0)
  })
})
