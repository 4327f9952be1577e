import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DutyLease, MAXIMUM_ERA, StoreEra, UNKNOWN_ERA, isLater, toNumber } from '@plumstage/coordination'

describe('era of the store', () => {
  it('rises with what responses state, by any number', () => {
    const era = StoreEra.create()
    assert.equal(era.current, UNKNOWN_ERA)
    assert.equal(era.observe({ kind: 'stated', era: 3 }, UNKNOWN_ERA), 'new')
    assert.equal(era.observe({ kind: 'stated', era: 3 }, 3), 'same')
    assert.equal(era.observe({ kind: 'stated', era: 7 }, 3), 'new')
    assert.equal(era.current, 7)
  })

  it('tells a late response of an earlier era from an era that has fallen', () => {
    const era = StoreEra.create()
    era.observe({ kind: 'stated', era: 4 }, UNKNOWN_ERA)
    era.observe({ kind: 'stated', era: 5 }, 4)
    assert.equal(era.observe({ kind: 'stated', era: 4 }, 4), 'outdated')
    assert.equal(era.observe({ kind: 'stated', era: 4 }, 5), 'fallen')
    assert.equal(era.current, 5)
  })

  it('is not changed by a statement that is missing or can\'t be read', () => {
    const era = StoreEra.create()
    era.observe({ kind: 'stated', era: 4 }, UNKNOWN_ERA)
    assert.equal(era.observe({ kind: 'missing' }, 4), 'missing')
    assert.equal(era.observe({ kind: 'unreadable', text: 'x' }, 4), 'unreadable')
    assert.equal(era.current, 4)
  })

  it('makes every fencing number of an era larger than those of all earlier ones', () => {
    const positions = [{ era: 0, revision: 900 }, { era: 1, revision: 1 }, { era: 1, revision: 2 ** 39 }, { era: 2, revision: 3 }, { era: MAXIMUM_ERA, revision: 2 ** 39 }, { era: MAXIMUM_ERA, revision: 2 ** 39 + 1 }]
    const numbers = positions.map(toNumber)
    assert.deepEqual(numbers, [...numbers].sort((left, right) => left - right))
    assert.equal(new Set(numbers).size, numbers.length)
    assert.ok(numbers.every(Number.isSafeInteger))
  })

  it('ends a duty that was acquired in an earlier one', () => {
    const lease = DutyLease.create()
    lease.recordAcquired(1n, { era: 1, revision: 7 }, 0)
    assert.ok(lease.getHeldDuty(100, 1))
    assert.equal(lease.getHeldDuty(100, 2), undefined)
  })

  it('comes before the revision when positions are compared', () => {
    assert.equal(isLater({ era: 2, revision: 1 }, { era: 1, revision: 9 }), true)
    assert.equal(isLater({ era: 1, revision: 9 }, { era: 2, revision: 1 }), false)
    assert.equal(isLater({ era: 2, revision: 2 }, { era: 2, revision: 1 }), true)
    assert.equal(isLater({ era: 2, revision: 2 }, { era: 2, revision: 2 }), false)
  })
})
