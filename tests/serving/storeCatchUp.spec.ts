import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { CallContext, Instrumentation, VirtualClock } from '@plumstage/common'
import { KeyValueError } from '@plumstage/coordination'
import type { KeyValueService } from '@plumstage/coordination'
import { AppliedPosition, StoreCatchUp } from '@plumstage/serving'

/** A store whose position can be set, and which answers only on request. */
class SlowStore {
  revision = 5
  calls = 0
  private _pending: Array<(isAnswered: boolean) => void> = []

  list: KeyValueService['list'] = async context => {
    this.calls++
    const isAnswered = await new Promise<boolean>(resolve => {
      this._pending.push(resolve)
      context.onCancel(() => resolve(false))
    })
    return isAnswered ? ok({ era: 1, revision: this.revision, entries: [] }) : err(KeyValueError.create('ambiguous', 'The store did not respond.'))
  }

  answer (isAnswered = true): void {
    for (const resolve of this._pending.splice(0)) resolve(isAnswered)
  }
}

function create () {
  const clock = VirtualClock.create()
  const store = new SlowStore()
  const applied = AppliedPosition.create()
  const context = CallContext.create(clock)
  const catchUp = StoreCatchUp.create({ store, key: 'k', applied, context, clock, instrumentation: Instrumentation.create('edge-1', 'run', clock) })
  const advance = async (milliseconds: number): Promise<void> => {
    await settle()
    clock.advanceTo(clock.now() + milliseconds)
    await settle()
  }
  return { clock, store, applied, context, catchUp, advance }
}

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('catching up with the store', () => {
  it('is confirmed when everything was applied that the store held after the question', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 5 })
    const confirmed = catchUp.confirm()
    await advance(0)
    store.answer()
    assert.equal(await confirmed, true)
  })

  // Guards against: a gateway that stood still decides by what it knew before.
  it('waits until the changes that the store holds were applied', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 5 })
    store.revision = 9
    let isConfirmed: boolean | undefined
    void catchUp.confirm().then(result => { isConfirmed = result })
    await advance(0)
    store.answer()
    await advance(10)
    applied.advance({ era: 1, revision: 8 })
    await advance(10)
    assert.equal(isConfirmed, undefined)
    applied.advance({ era: 1, revision: 9 })
    await advance(0)
    assert.equal(isConfirmed, true)
  })

  it('is not confirmed when the store does not answer, refuses, or the changes do not arrive in time', async () => {
    for (const prepare of [() => {}, (store: SlowStore) => store.answer(false), (store: SlowStore) => { store.revision = 9; store.answer() }]) {
      const { store, applied, catchUp, advance } = create()
      applied.advance({ era: 1, revision: 5 })
      const confirmed = catchUp.confirm()
      await advance(0)
      prepare(store)
      await advance(2000)
      assert.equal(await confirmed, false)
    }
  })

  it('is not confirmed by positions of an earlier era of the store', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 0, revision: 900 })
    const confirmed = catchUp.confirm()
    await advance(0)
    store.answer()
    await advance(2000)
    assert.equal(await confirmed, false)
  })

  // Guards against: a gateway that has not noticed a return of the store infers a version from what the store has lost.
  it('is not confirmed when the store answers with a lower revision than was applied before the question', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 9 })
    const confirmed = catchUp.confirm()
    await advance(0)
    store.answer()
    await advance(10)
    assert.equal(await confirmed, false)
  })

  it('is confirmed when later changes were applied while the store answered', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 5 })
    const confirmed = catchUp.confirm()
    await advance(0)
    applied.advance({ era: 1, revision: 9 })
    store.answer()
    assert.equal(await confirmed, true)
  })

  it('takes one call for all who ask before it is sent, and a new one for those who ask later', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 5 })
    const first = [catchUp.confirm(), catchUp.confirm()]
    await advance(0)
    assert.equal(store.calls, 1)
    const later = [catchUp.confirm(), catchUp.confirm(), catchUp.confirm()]
    store.answer()
    assert.deepEqual(await Promise.all(first), [true, true])
    await advance(50)
    assert.equal(store.calls, 1)
    await advance(200)
    assert.equal(store.calls, 2)
    store.revision = 6
    applied.advance({ era: 1, revision: 6 })
    store.answer()
    assert.deepEqual(await Promise.all(later), [true, true, true])
  })

  // Guards against: after one call that failed unexpectedly, no version is ever inferred again.
  it('is tried again after a call that failed unexpectedly', async () => {
    const { store, applied, catchUp, advance } = create()
    applied.advance({ era: 1, revision: 5 })
    const { list } = store
    store.list = async () => { throw new Error('no') }
    const rejected = assert.rejects(catchUp.confirm(), /no/)
    await advance(0)
    await rejected
    store.list = list
    const confirmed = catchUp.confirm()
    await advance(200)
    store.answer()
    assert.equal(await confirmed, true)
  })

  it('ends with the gateway', async () => {
    const { context, catchUp, advance } = create()
    const confirmed = catchUp.confirm()
    await advance(0)
    context.cancel('shutdown')
    assert.equal(await confirmed, false)
  })
})
