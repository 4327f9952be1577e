import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StoreEra, UNKNOWN_ERA, isLater } from '@plumstage/coordination'

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

  it('comes before the revision when positions are compared', () => {
    assert.equal(isLater({ era: 2, revision: 1 }, { era: 1, revision: 9 }), true)
    assert.equal(isLater({ era: 1, revision: 9 }, { era: 2, revision: 1 }), false)
    assert.equal(isLater({ era: 2, revision: 2 }, { era: 2, revision: 1 }), true)
    assert.equal(isLater({ era: 2, revision: 2 }, { era: 2, revision: 2 }), false)
  })
})
