import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { CallContext, SystemClock } from '@plumstage/common'
import { ConditionalWriter, EtcdKeyValueService } from '@plumstage/coordination'
import type { KeyValueWatchBatch } from '@plumstage/coordination'
import { KeyValueStandin } from '@plumstage/standins'
import { ANY_PORT } from '../support/deployment.js'
import { knownRed } from '../support/knownRed.js'

const MEBIBYTE = 1024 * 1024

describe('etcd key-value service', () => {
  const clock = SystemClock.create()
  let standin: KeyValueStandin
  let service: EtcdKeyValueService
  let context: CallContext
  before(async () => {
    standin = await KeyValueStandin.create(clock, ANY_PORT)
    service = EtcdKeyValueService.create([standin.url], clock)
    context = CallContext.create(clock)
  })
  after(async () => {
    context.cancel('shutdown')
    await standin.stop()
  })

  async function put (key: string, value: string): Promise<number> {
    return (await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key, value }], onFailure: [] }))._unsafeUnwrap().revision
  }

  it('swaps a value only if its revision is the expected one', async () => {
    const revision = await put('/swap', 'one')
    const swap = { conditions: [{ kind: 'mod-revision' as const, key: '/swap', revision }], onSuccess: [{ kind: 'put' as const, key: '/swap', value: 'two' }], onFailure: [{ kind: 'get' as const, key: '/swap' }] }
    assert.equal((await service.transact(context, swap))._unsafeUnwrap().succeeded, true)
    const second = (await service.transact(context, swap))._unsafeUnwrap()
    assert.equal(second.succeeded, false)
    assert.equal(second.entries[0].value, 'two')
  })

  it('lists a prefix at one revision', async () => {
    await put('/list/a', '1')
    const revision = await put('/list/b', '2')
    await put('/listing', 'not below the prefix')
    const snapshot = (await service.list(context, '/list/'))._unsafeUnwrap()
    assert.deepEqual(snapshot.entries.map(entry => entry.key), ['/list/a', '/list/b'])
    assert.ok(snapshot.revision >= revision)
  })

  it('watches from a revision and reports compaction', async () => {
    const revision = await put('/watch/a', '1')
    const watching = context.createChild()
    const seen: string[] = []
    for await (const batch of service.watch(watching, '/watch/', { era: 0, revision })) {
      const { changes } = batch._unsafeUnwrap() as KeyValueWatchBatch
      for (const change of changes) if (change.kind === 'put') seen.push(change.entry.value)
      if (seen.length === 1 && changes.length > 0) await put('/watch/b', '2')
      if (seen.length === 2) break
    }
    watching.cancel('superseded')
    assert.deepEqual(seen, ['1', '2'])
    standin.store.compact(standin.store.revision)
    for await (const batch of service.watch(context, '/watch/', { era: 0, revision })) {
      if (batch.isOk()) continue
      assert.equal(batch.error.kind, 'compacted')
      break
    }
  })

  it('ends a watch with an error when the service goes down', async () => {
    const batches = service.watch(context, '/watch/', { era: 0, revision: standin.store.revision + 1 })[Symbol.asyncIterator]()
    await batches.next()
    standin.faults.change({ down: true })
    let last = await batches.next()
    while (last.value?.isOk()) last = await batches.next()
    assert.equal(last.value.error.kind, 'refused')
    standin.faults.change({ down: false })
  })

  it('distinguishes a refusal from a lost response', knownRed('distinguishes a refusal from a lost response'), async () => {
    standin.faults.change({ loseAnswers: 1 })
    const lost = await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: '/lost', value: 'x' }], onFailure: [] })
    assert.equal(lost._unsafeUnwrapErr().kind, 'ambiguous')
    assert.equal((await service.get(context, '/lost'))._unsafeUnwrap()?.value, 'x')
    const large = await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: '/large', value: 'x'.repeat(MEBIBYTE + 1) }], onFailure: [] })
    assert.equal(large._unsafeUnwrapErr().kind, 'refused')
    standin.faults.change({ writesPerSecond: 1 })
    await put('/rate', '1').catch(() => {})
    const limited = await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: '/rate', value: '2' }], onFailure: [] })
    assert.equal(limited._unsafeUnwrapErr().kind, 'refused')
    standin.faults.change({ writesPerSecond: 500 })
  })

  it('reports conditional writes as applied or conflicting, even if a response is lost', knownRed('reports conditional writes as applied or conflicting, even if a response is lost'), async () => {
    const writer = ConditionalWriter.create(service, clock)
    const writeOnce = async (token: string, expected: number) => (await writer.write(context, { tokenKey: `/tokens/${token}`, conditions: [{ kind: 'mod-revision', key: '/settled', revision: expected }], operations: [{ kind: 'put', key: '/settled', value: token }] }))._unsafeUnwrap()
    standin.faults.change({ loseAnswers: 1 })
    assert.equal((await writeOnce('one', 0)).kind, 'applied')
    assert.equal((await writeOnce('two', 0)).kind, 'conflict')
    assert.equal((await service.get(context, '/settled'))._unsafeUnwrap()?.value, 'one')
  })

  it('deletes the keys of a revoked lease', knownRed('deletes the keys of a revoked lease'), async () => {
    const lease = (await service.grantLease(context, 60))._unsafeUnwrap()
    await service.transact(context, { conditions: [], onSuccess: [{ kind: 'put', key: '/leased', value: 'x', lease: lease.id }], onFailure: [] })
    assert.equal((await service.keepLeaseAlive(context, lease.id))._unsafeUnwrap()?.timeToLiveSeconds, 60)
    await service.revokeLease(context, lease.id)
    assert.equal((await service.get(context, '/leased'))._unsafeUnwrap(), undefined)
    assert.equal((await service.keepLeaseAlive(context, lease.id))._unsafeUnwrap(), undefined)
  })
})
