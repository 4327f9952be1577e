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
  for (const known of suspicions) table.merge([known], 0)
  return table
}

describe('quarantine table', () => {
  it('suspects after one crash, quarantines after two, and clears what has finished', () => {
    const table = QuarantineTable.create()
    assert.equal(table.recordCrash('d', 'one', 0), 'suspect')
    assert.equal(table.recordCrash('d', 'one', 0), 'suspect', 'the same crash, told twice')
    table.recordFinished('d', 0)
    assert.equal(table.stateOf('d', 0), 'clear')
    table.recordCrash('d', 'two', 0)
    assert.equal(table.recordCrash('d', 'three', 0), 'quarantined')
  })

  it('forgets after its deadline', () => {
    const table = QuarantineTable.create()
    table.merge([{ digest: 'd', crashes: ['one', 'two'], cleared: [], deadline: 50 }], 0)
    assert.equal(table.stateOf('d', 49), 'quarantined')
    assert.equal(table.stateOf('d', 50), 'clear')
  })

  it('comes to the same knowledge in whatever order it is told, and however often', () => {
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
