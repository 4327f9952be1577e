import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { CallContext, VirtualClock } from '@plumstage/common'
import { KeyValueError } from '@plumstage/coordination'
import { LostHistoryCheck } from '@plumstage/serving'

/** Asks about a peer's revision while the gateway knows revision 43; also returns whether the store was asked. */
async function check (peer: number, store: { revision?: number, era?: number, isFollowed?: boolean, known?: number }) {
  const { revision, era = 0, isFollowed = true, known = 43 } = store
  const clock = VirtualClock.create()
  let calls = 0
  const list = async () => {
    calls++
    return revision === undefined ? err(KeyValueError.create('ambiguous', 'no response')) : ok({ era, revision, entries: [] })
  }
  const lostHistory = LostHistoryCheck.create({ store: { era, list }, key: 'k', isFollowingStore: () => isFollowed, ownPosition: () => ({ era, revision: known }), clock })
  return { isLost: await lostHistory.isLost({ era, revision: peer }, CallContext.create(clock)), calls }
}

describe('check of a peer\'s position', () => {
  // Guards against: a gateway takes the list of a peer that remembers what the store has lost.
  it('finds that the store has not reached it', async () => {
    assert.deepEqual(await check(50, { revision: 45 }), { isLost: true, calls: 1 })
  })

  it('accepts what the store has reached, or when the store does not answer', async () => {
    assert.deepEqual(await check(50, { revision: 50 }), { isLost: false, calls: 1 })
    assert.deepEqual(await check(50, {}), { isLost: false, calls: 1 })
  })

  it('does not ask when the store states its era, can\'t be reached, or there is nothing to lose', async () => {
    assert.deepEqual(await check(50, { revision: 45, era: 2 }), { isLost: false, calls: 0 })
    assert.deepEqual(await check(50, { revision: 45, isFollowed: false }), { isLost: false, calls: 0 })
    assert.deepEqual(await check(50, { revision: 45, known: 0 }), { isLost: false, calls: 0 })
    assert.deepEqual(await check(43, { revision: 45 }), { isLost: false, calls: 0 })
  })
})
