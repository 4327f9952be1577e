import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeaseClock, VirtualClock } from '@plumstage/common'
import { DutyLease } from '@plumstage/coordination'

describe('lease clock', () => {
  function createClocks () {
    const monotonic = VirtualClock.create(1000)
    const timeOfDay = { now: 50_000 }
    return { monotonic, timeOfDay, clock: LeaseClock.create(monotonic, () => timeOfDay.now) }
  }

  it('counts a suspension during which the monotonic clock stops', () => {
    const { timeOfDay, clock } = createClocks()
    const before = clock.now()
    timeOfDay.now += 4000
    assert.equal(clock.now() - before, 4000)
  })

  it('advances when the time of day is set back', () => {
    const { monotonic, timeOfDay, clock } = createClocks()
    const before = clock.now()
    timeOfDay.now -= 3000
    monotonic.advanceTo(1500)
    assert.equal(clock.now() - before, 500)
  })

  it('never holds a duty longer than its lease, even if one of the clocks stops', () => {
    const { monotonic, timeOfDay, clock } = createClocks()
    const lease = DutyLease.create({ leaseMilliseconds: 3000, renewIntervalMilliseconds: 1000, retryIntervalMilliseconds: 1000, safetyMarginMilliseconds: 750 })
    lease.recordAcquired(1n, { era: 2, revision: 7 }, clock.now())
    timeOfDay.now += 2000
    assert.ok(lease.getHeldDuty(clock.now(), 2))
    monotonic.advanceTo(1000 + 2300)
    assert.equal(lease.getHeldDuty(clock.now(), 2), undefined)
  })
})
