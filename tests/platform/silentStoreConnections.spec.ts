import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CallContext, MonotonicClock } from '@plumstage/common'
import { StoreAdapter } from '@plumstage/platform'
import { wait } from '../support/wait.js'
import { StoreStandin } from './support/storeStandin.js'

/** A connection counts as silent 400 ms after its answer was due, and a new one answers at once. */
const NOTICED_MILLISECONDS = 700
const SLOW_MILLISECONDS = 700
const SLOW_CALLS = 5
/** Longer than any watch waits, so that the next one waits shortly. */
const WATCH_PAUSE_MILLISECONDS = 2200
const LONG_ANSWER_MILLISECONDS = 1500

describe('calls on connections to the store that have gone silent', () => {
  const clock = MonotonicClock.create()
  let standin: StoreStandin
  let silences: string[]
  let store: StoreAdapter
  let context: CallContext
  beforeEach(async () => {
    standin = await StoreStandin.create()
    silences = []
    store = StoreAdapter.create(standin.address, clock, { onSilence: call => silences.push(call) })
    context = CallContext.create(clock)
  })
  afterEach(async () => {
    context.cancel('shutdown')
    await standin.stop()
  })

  /** Leaves several connections open, none of which has a call. */
  async function openConnections (): Promise<void> {
    await Promise.all(Array.from({ length: 4 }, async () => await store.get(context, 'a')))
  }

  async function measure (call: () => Promise<unknown>): Promise<number> {
    const startedAt = clock.now()
    await call()
    return clock.now() - startedAt
  }

  // Guards against: each idle connection that has gone silent costs a call its whole time limit.
  it('are answered on a new connection: reads', async () => {
    standin.put('a', '1')
    await openConnections()
    standin.silenceConnections()
    const milliseconds = await measure(async () => assert.equal((await store.get(context, 'a'))._unsafeUnwrap()?.value, '1'))
    assert.ok(milliseconds < NOTICED_MILLISECONDS, `${milliseconds} ms`)
    assert.ok(await measure(async () => (await store.list(context, ''))._unsafeUnwrap()) < 200, 'the others are not used any more')
    assert.deepEqual(silences, ['GET /v1/kv-key'])
  })

  // Guards against: a lease runs out because its renewals are sent on one silent connection after another.
  it('are answered on a new connection: renewals of leases', async () => {
    const { id } = (await store.grantLease(context, 3))._unsafeUnwrap()
    await openConnections()
    standin.silenceConnections()
    const milliseconds = await measure(async () => assert.ok((await store.keepLeaseAlive(context, id))._unsafeUnwrap()))
    assert.ok(milliseconds < NOTICED_MILLISECONDS, `${milliseconds} ms`)
  })

  // Guards against: a write is sent twice because its first connection was taken for silent.
  it('are sent once: writes, after which others do not wait', async () => {
    await openConnections()
    standin.silenceConnections()
    const sent = standin.requests.length
    const written = store.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: 'a', value: '1' }], onFailure: [] })
    await wait(NOTICED_MILLISECONDS)
    assert.ok(await measure(async () => (await store.list(context, ''))._unsafeUnwrap()) < 200)
    assert.equal((await written)._unsafeUnwrapErr().kind, 'ambiguous')
    assert.deepEqual(standin.requests.slice(sent).filter(request => request.startsWith('POST')), ['POST /v1/kv-txn'])
  })

  // Guards against: a watch waits on although another call has shown that the connections are silent.
  it('tell a watch that it has to begin again', async () => {
    const revision = standin.put('a', '1')
    await openConnections()
    const watch = store.watch(context, '', { era: 1, revision: revision + 1 })[Symbol.asyncIterator]()
    const next = watch.next()
    await wait(50)
    standin.silenceConnections()
    await store.get(context, 'a')
    const milliseconds = await measure(async () => assert.equal((await next).value._unsafeUnwrapErr().kind, 'interrupted'))
    assert.ok(milliseconds < 100, `${milliseconds} ms`)
  })

  // Guards against: a watch that waits shortly is given up before a store that is slow, or has much to send, has begun to answer.
  it('are told from a watch whose answer takes long', async () => {
    const revision = standin.put('a', '1')
    const watch = store.watch(context, '', { era: 1, revision })[Symbol.asyncIterator]()
    await watch.next()
    await wait(WATCH_PAUSE_MILLISECONDS)
    standin.delayMilliseconds = LONG_ANSWER_MILLISECONDS
    standin.put('b', '2')
    assert.deepEqual((await watch.next()).value._unsafeUnwrap().changes.length, 1)
  })

  // Guards against: a store that is slow because it has much to do gets every call twice.
  it('are told from calls to a store that has become slow', async () => {
    await openConnections()
    standin.delayMilliseconds = SLOW_MILLISECONDS
    for (let call = 0; call < SLOW_CALLS; call++) assert.equal((await store.get(context, 'a')).isOk(), true)
    assert.deepEqual([silences, standin.requests.filter(request => request === 'GET /v1/kv-key').length], [[], SLOW_CALLS + 4])
  })
})
