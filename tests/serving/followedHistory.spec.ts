import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { KeyValueChange, KeyValueEntry, KeyValueSnapshot, KeyValueWatchBatch } from '@plumstage/coordination'
import { FollowedHistory } from '@plumstage/serving'

const UNSTATED = 0
const STATED = 3
const NOTHING = { era: UNSTATED, revision: 0 }

function entry (key: string, modRevision: number, value = 'x'): KeyValueEntry {
  return { key, value, modRevision, createRevision: modRevision }
}

function put (key: string, modRevision: number, value = 'x'): KeyValueChange {
  return { kind: 'put', entry: entry(key, modRevision, value) }
}

function snapshot (revision: number, entries: KeyValueEntry[], era = UNSTATED): KeyValueSnapshot {
  return { era, revision, entries }
}

function batch (revision: number, changes: KeyValueChange[], era = UNSTATED): KeyValueWatchBatch {
  return { era, revision, changes }
}

/** Has read a snapshot at revision 10 and then a change. */
function createFollower (change: KeyValueChange = put('a', 12), era = UNSTATED): FollowedHistory {
  const history = FollowedHistory.create()
  history.recordCall(NOTHING)
  history.recordSnapshot(snapshot(10, [entry('a', 4), entry('b', 9)], era))
  history.recordCall(NOTHING)
  history.recordBatch(batch(12, [change], era))
  return history
}

describe('history that a gateway follows', () => {
  // Guards against: what a store gives out again is taken for old.
  it('is replaced when an answer shows a lower revision than was known when the call was sent', () => {
    const history = createFollower()
    history.recordCall(NOTHING)
    assert.equal(history.recordBatch(batch(11, [])), undefined)
    history.recordCall(NOTHING)
    assert.equal(history.recordSnapshot(snapshot(11, []))?.evidence, 'revision-fell')
    history.recordCall(NOTHING)
    assert.equal(history.recordSnapshot(snapshot(11, [])), undefined, 'only once')
  })

  it('is compared with what peers had stated before the call, not with what they state while it waits', () => {
    const history = createFollower()
    history.recordCall({ era: UNSTATED, revision: 20 })
    assert.equal(history.recordBatch(batch(15, [])), undefined)
    const patient = createFollower()
    patient.recordCall({ era: UNSTATED, revision: 12 })
    assert.ok(patient.recordBatch(batch(15, [put('b', 15)])))
    assert.ok(patient.recordBatch(batch(15, [])))
  })

  it('goes on after an interruption when the newest change is still there, and gives it out only once', () => {
    for (const newest of [put('a', 12), { kind: 'delete', key: 'a', modRevision: 12 } as const]) {
      const history = createFollower(newest)
      history.recordInterruption()
      assert.equal(history.recordCall(NOTHING), 12)
      assert.deepEqual(history.recordBatch(batch(14, [newest, put('b', 14)]))?.changes, [put('b', 14)])
      assert.equal(history.recordCall(NOTHING), 15, 'a call that is not after an interruption')
    }
  })

  // Guards against: a gateway watches on from a revision that the store has passed again.
  it('is replaced when the newest change is not there after an interruption', () => {
    for (const changes of [[], [put('c', 12)], [put('a', 12, 'other')], [put('a', 13)]]) {
      const history = createFollower()
      history.recordInterruption()
      history.recordCall(NOTHING)
      assert.equal(history.recordBatch(batch(14, changes)), undefined)
      assert.equal(history.inferredReturn?.evidence, 'change-replaced')
    }
  })

  it('finds the newest change among several of one revision', () => {
    const history = createFollower()
    history.recordInterruption()
    history.recordCall(NOTHING)
    assert.deepEqual(history.recordBatch(batch(12, [put('c', 12), put('a', 12)]))?.changes, [])
  })

  it('is replaced when a snapshot holds an older change of the newest key, and not when it lacks the key', () => {
    const cases = [{ entries: [entry('a', 4)], isReplaced: true }, { entries: [entry('a', 12, 'other')], isReplaced: true }, { entries: [entry('b', 9)], isReplaced: false }, { entries: [entry('a', 12)], isReplaced: false }, { entries: [entry('a', 17)], isReplaced: false }]
    for (const { entries, isReplaced } of cases) {
      const history = createFollower()
      history.recordCall(NOTHING)
      assert.equal(history.recordSnapshot(snapshot(20, entries)) !== undefined, isReplaced)
    }
  })

  it('is not judged when the store states its era', () => {
    const history = createFollower(put('a', 12), STATED)
    history.recordInterruption()
    assert.equal(history.recordCall({ era: STATED, revision: 40 }), 13)
    assert.ok(history.recordBatch(batch(12, [], STATED)))
    history.recordCall(NOTHING)
    assert.equal(history.recordSnapshot(snapshot(11, [entry('a', 4)], STATED)), undefined)
  })
})
