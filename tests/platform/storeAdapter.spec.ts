import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CallContext, MonotonicClock } from '@plumstage/common'
import type { KeyValueChange } from '@plumstage/coordination'
import { StoreAdapter } from '@plumstage/platform'
import { StoreStandin } from './support/storeStandin.js'

const CALL_MILLISECONDS = 300

describe('store adapter', () => {
  const clock = MonotonicClock.create()
  let standin: StoreStandin
  let store: StoreAdapter
  let context: CallContext
  beforeEach(async () => {
    standin = await StoreStandin.create()
    store = StoreAdapter.create(standin.address, clock)
    context = CallContext.create(clock)
  })
  afterEach(async () => {
    context.cancel('shutdown')
    await standin.stop()
  })

  async function create (key: string, value: string, lease?: bigint) {
    return (await store.transact(context, { conditions: [{ kind: 'create-revision', key, revision: 0 }], onSuccess: [{ kind: 'put', key, value, lease }], onFailure: [{ kind: 'get', key }] }))._unsafeUnwrap()
  }

  it('creates a key once, and tells who was first', async () => {
    assert.equal((await create('usage/1', 'mine')).succeeded, true)
    const second = await create('usage/1', 'yours')
    assert.deepEqual([second.succeeded, second.entries[0].value], [false, 'mine'])
  })

  it('reads all pages of a range', async () => {
    for (let index = 0; index < 8; index++) standin.put(`servers/${index}`, `value ${index}`)
    const snapshot = (await store.list(context, 'servers/'))._unsafeUnwrap()
    assert.deepEqual(snapshot.entries.map(entry => entry.value), Array.from({ length: 8 }, (_, index) => `value ${index}`))
    assert.equal(snapshot.revision, standin.revision)
  })

  it('follows changes from a revision, and says when they are no longer kept', async () => {
    const revision = standin.put('a', '1')
    standin.put('a', '2')
    standin.remove('a')
    const seen: KeyValueChange[] = []
    for await (const batch of store.watch(context, '', revision)) {
      if (batch.isErr()) {
        assert.equal(batch.error.kind, 'compacted')
        break
      }
      seen.push(...batch.value.changes)
      standin.put('b', '1')
      standin.compact()
    }
    assert.deepEqual(seen.map(change => change.kind), ['put', 'put', 'delete'])
  })

  it('attaches keys to leases and knows a lease that has ended', async () => {
    const lease = (await store.grantLease(context, 3))._unsafeUnwrap()
    await create('gateways/a', 'x', lease.id)
    assert.ok((await store.keepLeaseAlive(context, lease.id))._unsafeUnwrap())
    standin.endLease(Number(lease.id))
    assert.equal((await store.keepLeaseAlive(context, lease.id))._unsafeUnwrap(), undefined)
    assert.equal((await store.get(context, 'gateways/a'))._unsafeUnwrap(), undefined)
  })

  it('says that a write whose answer was lost may have taken effect', async () => {
    standin.fault = 'lose-answer'
    const written = await store.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: 'a', value: '1' }], onFailure: [] })
    assert.equal(written._unsafeUnwrapErr().kind, 'ambiguous')
    assert.equal(standin.read('a'), '1')
  })

  it('says that nothing was written when the store refuses', async () => {
    standin.fault = 'busy'
    const written = await store.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: 'a', value: '1' }], onFailure: [] })
    assert.equal(written._unsafeUnwrapErr().kind, 'refused')
  })

  it('gives a silent call up at its deadline', async () => {
    standin.fault = 'silent'
    const call = context.createChild(clock.now() + CALL_MILLISECONDS)
    assert.equal((await store.get(call, 'a')).isErr(), true)
  })
})
