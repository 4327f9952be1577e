import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UpstreamTable } from '@plumstage/serving'
import type { ListedUpstream } from '@plumstage/serving'

const LISTED: ListedUpstream = { id: 'i-1', incarnation: '100', service: 'model', address: '10.2.0.1:90', failureDomain: 'east', capacity: 64, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
const OTHER: ListedUpstream = { ...LISTED, id: 'i-2', address: '10.2.0.2:90' }

function createTable (): UpstreamTable {
  const table = UpstreamTable.create()
  table.apply([LISTED, OTHER], 0)
  return table
}

function listAvailable (table: UpstreamTable): string[] {
  return table.listAvailable('model', 0).map(({ listed }) => listed.id)
}

describe('an upstream that states that it is leaving', () => {
  it('gets no new requests, although its entry says that it is ready', () => {
    const table = createTable()
    table.recordLeaving(table.get('i-1')!)
    assert.deepEqual(listAvailable(table), ['i-2'])
    table.apply([{ ...LISTED, capacity: 32 }, OTHER], 1)
    assert.deepEqual(listAvailable(table), ['i-2'])
  })

  // Guards against: its entry lapses and is written again while the store is unstable.
  it('gets none either when its entry was gone for a while', () => {
    const table = createTable()
    table.recordLeaving(table.get('i-1')!)
    table.apply([OTHER], 1)
    table.apply([LISTED, OTHER], 2)
    assert.deepEqual(listAvailable(table), ['i-2'])
  })

  it('gets requests again after it has started again under the same id', () => {
    const table = createTable()
    table.recordLeaving(table.get('i-1')!)
    table.apply([{ ...LISTED, incarnation: '200' }, OTHER], 1)
    assert.deepEqual(listAvailable(table), ['i-1', 'i-2'])
  })

  it('says nothing about its next run by a late response of the run before', () => {
    const table = createTable()
    const before = table.get('i-1')!
    table.apply([{ ...LISTED, incarnation: '200' }, OTHER], 1)
    table.recordLeaving(before)
    assert.deepEqual(listAvailable(table), ['i-1', 'i-2'])
  })
})
