import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StatedLimit } from '@plumstage/serving'

describe('stated limit', () => {
  it('begins with a response that states it and ends with the first later one that does not', () => {
    const limit = StatedLimit.create()
    assert.equal(limit.applyResponse({ kind: 'none' }, 0, 10), false)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 2 }, 20, 30), true)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 2 }, 30, 40), false)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 5 }, 40, 50), true)
    assert.equal(limit.requestsPerSecond, 5)
    assert.equal(limit.applyResponse({ kind: 'none' }, 60, 70), true)
    assert.equal(limit.requestsPerSecond, undefined)
  })

  it('does not end with a response to a request that was sent before the limit was stated', () => {
    const limit = StatedLimit.create()
    limit.applyResponse({ kind: 'limit', requestsPerSecond: 1 }, 100, 200)
    assert.equal(limit.applyResponse({ kind: 'none' }, 150, 300), false)
    assert.equal(limit.requestsPerSecond, 1)
  })

  it('is neither changed nor ended by a value that can\'t be read', () => {
    const limit = StatedLimit.create()
    assert.equal(limit.applyResponse({ kind: 'unreadable', text: 'many' }, 0, 10), false)
    assert.equal(limit.requestsPerSecond, undefined)
    limit.applyResponse({ kind: 'limit', requestsPerSecond: 1 }, 20, 30)
    limit.applyResponse({ kind: 'unreadable', text: '-1' }, 40, 50)
    assert.equal(limit.requestsPerSecond, 1)
  })
})
