import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { QuarantineTable } from '@plumstage/serving'
import type { CrashSuspicion } from '@plumstage/serving'

const suspicion = fc.record({
  digest: fc.constantFrom('a', 'b', 'c'),
  crashes: fc.subarray(['one', 'two', 'three']),
  cleared: fc.subarray(['one', 'two']),
  deadline: fc.integer({ min: 10, max: 100 })
})

function createTable (suspicions: readonly CrashSuspicion[]): QuarantineTable {
  const table = QuarantineTable.create()
  for (const entry of suspicions) table.merge([entry], 0)
  return table
}

describe('quarantine table', () => {
  it('suspects a request after one crash, quarantines it after two, and clears it when it finishes', () => {
    const table = QuarantineTable.create()
    assert.equal(table.recordCrash('d', 'one', 0), 'suspect')
    assert.equal(table.recordCrash('d', 'one', 0), 'suspect', 'the same crash, reported twice')
    table.recordFinished('d', 0)
    assert.equal(table.stateOf('d', 0), 'clear')
    table.recordCrash('d', 'two', 0)
    assert.equal(table.recordCrash('d', 'three', 0), 'quarantined')
  })

  // Guards against: crashes that a request is cleared of fill its room, so that it is never seen to crash anything again.
  it('still quarantines a request that was cleared of many crashes', () => {
    const table = QuarantineTable.create()
    for (let crash = 0; crash < 200; crash++) {
      table.recordCrash('d', `a-${String(crash).padStart(3, '0')}`, 0)
      table.recordFinished('d', 0)
    }
    assert.equal(table.stateOf('d', 0), 'clear', 'it finished after each of them')
    table.recordCrash('d', 'z-1', 0)
    assert.equal(table.recordCrash('d', 'z-2', 0), 'quarantined')
  })

  it('clears a suspicion at its deadline', () => {
    const table = QuarantineTable.create()
    table.merge([{ digest: 'd', crashes: ['one', 'two'], cleared: [], deadline: 50 }], 0)
    assert.equal(table.stateOf('d', 49), 'quarantined')
    assert.equal(table.stateOf('d', 50), 'clear')
  })

  it('reaches the same state regardless of the order and number of merges', () => {
    fc.assert(fc.property(fc.array(suspicion, { maxLength: 8 }), suspicions => {
      const forward = createTable(suspicions)
      const backward = createTable([...suspicions].reverse())
      const twice = createTable([...suspicions, ...suspicions])
      for (const digest of ['a', 'b', 'c']) {
        assert.equal(backward.stateOf(digest, 5), forward.stateOf(digest, 5))
        assert.equal(twice.stateOf(digest, 5), forward.stateOf(digest, 5))
      }
    }), { seed: 7, numRuns: 300 })
  })
})
