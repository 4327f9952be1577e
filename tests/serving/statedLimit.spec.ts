import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StatedLimit } from '@plumstage/serving'

const ORIGIN = 7
const OTHER_ORIGIN = 8

describe('stated limit', () => {
  it('begins with a response that states it and ends with the first later one that does not', () => {
    const limit = StatedLimit.create()
    assert.equal(limit.applyResponse({ kind: 'none' }, ORIGIN, 0, 10), false)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 2 }, ORIGIN, 20, 30), true)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 2 }, ORIGIN, 30, 40), false)
    assert.equal(limit.applyResponse({ kind: 'limit', requestsPerSecond: 5 }, ORIGIN, 40, 50), true)
    assert.equal(limit.requestsPerSecond, 5)
    assert.equal(limit.applyResponse({ kind: 'none' }, ORIGIN, 60, 70), true)
    assert.equal(limit.requestsPerSecond, undefined)
  })

  it('does not end with a response to a request that was sent before the limit was stated', () => {
    const limit = StatedLimit.create()
    limit.applyResponse({ kind: 'limit', requestsPerSecond: 1 }, ORIGIN, 100, 200)
    assert.equal(limit.applyResponse({ kind: 'none' }, ORIGIN, 150, 300), false)
    assert.equal(limit.requestsPerSecond, 1)
  })

  it('is neither changed nor ended by a value that can\'t be read', () => {
    const limit = StatedLimit.create()
    assert.equal(limit.applyResponse({ kind: 'unreadable', text: 'many' }, ORIGIN, 0, 10), false)
    assert.equal(limit.requestsPerSecond, undefined)
    limit.applyResponse({ kind: 'limit', requestsPerSecond: 1 }, ORIGIN, 20, 30)
    limit.applyResponse({ kind: 'unreadable', text: '-1' }, ORIGIN, 40, 50)
    assert.equal(limit.requestsPerSecond, 1)
  })

  it('is not renewed by a statement that arrives again, however late', () => {
    const limit = StatedLimit.create()
    const statement = { requestsPerSecond: 1, origin: OTHER_ORIGIN, number: 4 }
    assert.equal(limit.applyReport({ ...statement, statedAt: 100 }, 200), true)
    assert.equal(limit.applyReport({ requestsPerSecond: undefined, origin: OTHER_ORIGIN, number: 5, statedAt: 300 }, 400), true)
    assert.equal(limit.applyReport({ ...statement, statedAt: 5000 }, 5000), false)
    assert.equal(limit.requestsPerSecond, undefined)
  })

  it('does not end by a report shortly after a response to this gateway has stated it', () => {
    const limit = StatedLimit.create()
    limit.applyResponse({ kind: 'limit', requestsPerSecond: 1 }, ORIGIN, 0, 100)
    assert.equal(limit.applyReport({ requestsPerSecond: undefined, origin: OTHER_ORIGIN, number: 1, statedAt: 3000 }, 3100), false)
    assert.equal(limit.applyReport({ requestsPerSecond: undefined, origin: OTHER_ORIGIN, number: 2, statedAt: 10_000 }, 10_100), true)
  })
})
