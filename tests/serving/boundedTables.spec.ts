import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { PrefixCacheIndex, RequestQuarantine, SoftwareHistory } from '@plumstage/serving'
import type { ListedUpstream } from '@plumstage/serving'

const RETENTION_MILLISECONDS = 9000
const HOUR_MILLISECONDS = 3600_000
const LONG_ID_CHARACTERS = 8000

function listed (service: string, softwareVersion: string): ListedUpstream {
  return { id: 'i-1', incarnation: '1', service, address: '10.0.0.1:80', failureDomain: 'east', softwareVersion, capacity: 1, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
}

/** Bytes of the heap that a function's result keeps. */
function measureHeap (create: () => unknown): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  const before = process.memoryUsage().heapUsed
  const kept = create()
  collect()
  const bytes = process.memoryUsage().heapUsed - before
  assert.ok(kept)
  return bytes
}

describe('tables that callers, upstreams and peers fill', () => {
  // Guards against: long ids of prompt parts fill the heap, as many of them as upstreams have room for times their length.
  it('keeps ids of prompt parts in a bounded number of bytes, and still finds long ones', () => {
    const index = PrefixCacheIndex.create(RETENTION_MILLISECONDS)
    const idOf = (number: number): string => Buffer.from(`${number}-${'x'.repeat(LONG_ID_CHARACTERS)}`).toString()
    const bytes = measureHeap(() => {
      for (let number = 0; number < 10_000; number++) index.recordSent('i-1', [{ id: idOf(number), tokens: 5 }], 0)
      return index
    })
    assert.ok(bytes < 10e6, `${bytes} bytes`)
    assert.equal(index.countCachedTokens('i-1', [{ id: idOf(9999), tokens: 5 }], 0), 5)
    assert.equal(index.countCachedTokens('i-1', [{ id: idOf(1), tokens: 5 }], 0), 0, 'the least recently used ones have made room')
  })

  // Guards against: an id that is a part of a head keeps all of that head in memory.
  it('keeps no heads of requests for the ids in them', () => {
    const index = PrefixCacheIndex.create(RETENTION_MILLISECONDS)
    const bytes = measureHeap(() => {
      for (let number = 0; number < 4000; number++) {
        const head = `${String(number).padStart(20, '0')}:5,${'y'.repeat(LONG_ID_CHARACTERS)}`
        index.recordSent('i-1', [{ id: head.split(':')[0], tokens: 5 }], 0)
      }
      return index
    })
    assert.ok(bytes < 10e6, `${bytes} bytes`)
  })

  it('forgets parts that are not cached any more, and shares its room among many upstreams', () => {
    const index = PrefixCacheIndex.create(RETENTION_MILLISECONDS)
    const bytes = measureHeap(() => {
      for (let upstream = 0; upstream < 500; upstream++) for (let number = 0; number < 1000; number++) index.recordSent(`i-${upstream}`, [{ id: `part-${number}`, tokens: 5 }], 0)
      return index
    })
    assert.ok(bytes < 40e6, `${bytes} bytes`)
    index.recordSent('i-0', [{ id: 'later', tokens: 5 }], 2 * RETENTION_MILLISECONDS)
    assert.equal(index.countCachedTokens('i-0', [{ id: 'part-999', tokens: 5 }], RETENTION_MILLISECONDS), 0)
  })

  // Guards against: the crashes that peers report of one request add up without a bound.
  it('bounds the crashes of one request, and counts those that are cleared as such', () => {
    const table = RequestQuarantine.create(() => 0)
    table.recordCrash('d', { crash: 'i-1', progress: 0, hasBegun: false, isTrial: false }, 0)
    for (let part = 0; part < 100; part++) {
      const crashes = Array.from({ length: 100 }, (_, index) => `i-${part}-${index}`)
      table.applyReport([{ digest: 'd', crashes, cleared: crashes }], 0)
    }
    const [{ crashes, cleared }] = table.createReport(0)
    assert.ok(crashes.length <= 100 && cleared.length <= 100)
    assert.equal(table.decide('d', 0).kind, 'accepted')
  })

  // Guards against: every version that another writer ever listed is kept, and written to the store.
  it('bounds the software of a service that is known, and what it writes of it', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    for (let number = 0; number < 20_000; number++) history.observe([listed('billing', `v${number}`), listed('front', 'v1')], number)
    assert.ok(history.planWrite(20_000)!.length <= 20)
    assert.equal(history.hasSeveral('billing', 20_000), true)
    assert.equal(history.onlySoftwareOf('front', 20_000), 'v1')
  })

  // Guards against: software for which there was no room counts as never listed, and a stream goes on at another one.
  it('names no software as the only one while there was no room for others, and names it again later', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    for (let number = 0; number < 2000; number++) history.observe([listed(`service-${number}`, 'v1')], 1)
    assert.equal(history.onlySoftwareOf('service-0', 2), undefined)
    const later = 24 * HOUR_MILLISECONDS
    history.observe([listed('front', 'v1')], later)
    assert.equal(history.onlySoftwareOf('front', later), 'v1')
  })
})
