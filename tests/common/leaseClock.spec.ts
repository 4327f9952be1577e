import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeaseClock, VirtualClock } from '@plumstage/common'
import { DutyLease } from '@plumstage/coordination'

describe('lease clock', () => {
  function createClocks () {
    const steady = VirtualClock.create(1000)
    const timeOfDay = { now: 50_000 }
    return { steady, timeOfDay, clock: LeaseClock.create(steady, () => timeOfDay.now) }
  }

  it('counts a suspension that the steady clock does not', () => {
    const { timeOfDay, clock } = createClocks()
    const before = clock.now()
    timeOfDay.now += 4000
    assert.equal(clock.now() - before, 4000)
  })

  it('goes on when the time of day is set back', () => {
    const { steady, timeOfDay, clock } = createClocks()
    const before = clock.now()
    timeOfDay.now -= 3000
    steady.advanceTo(1500)
    assert.equal(clock.now() - before, 500)
  })

  it('never holds a duty longer than its lease, whichever clock stands still', () => {
    const { steady, timeOfDay, clock } = createClocks()
    const lease = DutyLease.create({ leaseMilliseconds: 3000, renewIntervalMilliseconds: 1000, retryIntervalMilliseconds: 1000, safetyMarginMilliseconds: 750 })
    lease.recordAcquired(1n, 7, clock.now())
    timeOfDay.now += 2000
    assert.ok(lease.getHeldDuty(clock.now()))
    steady.advanceTo(1000 + 2300)
    assert.equal(lease.getHeldDuty(clock.now()), undefined)
  })
})
