import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CommittedCounts } from '@plumstage/serving'

const SEVEN = new Map([['press', 7]])
const NINE = new Map([['press', 9]])

describe('committed counts', () => {
  it('lets the windows of the current era be committed', () => {
    const committed = CommittedCounts.create()
    assert.deepEqual(committed.decide(10, { era: 1, firstWindow: 10 }), { kind: 'commit', remembered: undefined })
  })

  // Guards against: not known is taken for not reported.
  it('skips a window before the first one of the era when nothing is known of it', () => {
    const committed = CommittedCounts.create()
    assert.deepEqual(committed.decide(9, { era: 1, firstWindow: 10 }), { kind: 'skip' })
  })

  it('repeats counts that the store held in an earlier era', () => {
    const committed = CommittedCounts.create()
    committed.observeEraStart({ era: 1, firstWindow: 5 })
    committed.observe(9, SEVEN, 1)
    committed.observe(9, NINE, 2)
    assert.deepEqual(committed.decide(9, { era: 2, firstWindow: 12 }), { kind: 'repeat', counts: SEVEN })
    assert.deepEqual(committed.decide(9, { era: 3, firstWindow: 14 }), { kind: 'repeat', counts: SEVEN })
  })

  it('commits only remembered counts of a window that an earlier era held', () => {
    const committed = CommittedCounts.create()
    committed.observeEraStart({ era: 1, firstWindow: 5 })
    committed.observe(9, SEVEN, 1)
    assert.deepEqual(committed.decide(9, { era: 2, firstWindow: 9 }), { kind: 'commit', remembered: SEVEN })
  })

  // Guards against: counts that were written after a return, by a gateway that did not know of it, are trusted later.
  it('does not trust counts of windows before the first one of the era in which they were seen', () => {
    const committed = CommittedCounts.create()
    committed.observeEraStart({ era: 2, firstWindow: 12 })
    committed.observe(9, NINE, 2)
    assert.deepEqual(committed.decide(9, { era: 2, firstWindow: 12 }), { kind: 'skip' })
    assert.deepEqual(committed.decide(9, { era: 3, firstWindow: 14 }), { kind: 'skip' })
  })

  it('does not trust counts of an era whose first window is not known', () => {
    const committed = CommittedCounts.create()
    committed.observe(9, SEVEN, 1)
    assert.deepEqual(committed.decide(9, { era: 2, firstWindow: 12 }), { kind: 'skip' })
  })
})
