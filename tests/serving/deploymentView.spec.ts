import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { setLogLevel } from '@plumstage/common'
import type { KeyValueEntry } from '@plumstage/coordination'
import { Configuration } from '@plumstage/records'
import { DeploymentView } from '@plumstage/serving'
import type { DeploymentDecoder } from '@plumstage/serving'

setLogLevel('silent')

const DECODER: DeploymentDecoder = {
  classify: key => key === 'configuration' ? { kind: 'configuration' } : { kind: 'upstream', id: key },
  decodeConfiguration: (value, revision) => value === 'bad' ? err(new Error('bad')) : ok(Configuration.create(revision, [])),
  decodeUpstream: (id, value) => value === 'bad' ? err(new Error('bad')) : ok({ id, incarnation: '1', service: value, address: '10.0.0.1:80', failureDomain: 'east', capacity: 1, state: 'ready', reclaimable: false, warmupMilliseconds: 0 })
}

function entry (key: string, modRevision: number, value = 'front'): KeyValueEntry {
  return { key, value, modRevision, createRevision: modRevision }
}

function idsOf (view: DeploymentView): string[] {
  return view.listUpstreams().map(listed => listed.id).sort()
}

describe('deployment view', () => {
  it('never reverts to an older configuration, from the store or from a peer', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('configuration', 9)], 0)
    view.applyPeerSnapshot({ configuration: { key: 'configuration', value: 'x', revision: 7 }, upstreams: { revision: 0, entries: [] } })
    assert.equal(view.configurationRevision, 9)
    view.applyPeerSnapshot({ configuration: { key: 'configuration', value: 'x', revision: 11 }, upstreams: { revision: 0, entries: [] } })
    view.applyStoreChanges([{ kind: 'put', entry: entry('configuration', 10) }], 0)
    assert.equal(view.configurationRevision, 11)
  })

  it('keeps the last valid configuration in force when an invalid one is written', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('configuration', 3)], 0)
    view.applyStoreChanges([{ kind: 'put', entry: entry('configuration', 4, 'bad') }], 0)
    assert.equal(view.configuration?.revision, 3)
  })

  it('reports a configuration that it ignores with the reason, but not the one in force', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('configuration', 5)], 0)
    assert.deepEqual(view.applyStoreChanges([{ kind: 'put', entry: entry('configuration', 4, 'other') }], 0).ignoredConfiguration, { reason: 'older', revision: 4 })
    assert.deepEqual(view.applyStoreChanges([{ kind: 'put', entry: entry('configuration', 6, 'bad') }], 0).ignoredConfiguration, { reason: 'unreadable', revision: 6 })
    assert.equal(view.applyStoreSnapshot([entry('configuration', 5)], 0).ignoredConfiguration, undefined)
  })

  it('ignores an invalid upstream entry and keeps the others', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('a', 1), entry('b', 2, 'bad')], 0)
    assert.deepEqual(idsOf(view), ['a'])
  })

  it('removes a deleted upstream immediately while the store is available', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('a', 1)], 0)
    view.applyStoreChanges([{ kind: 'delete', key: 'a', modRevision: 2 }], 100)
    assert.deepEqual(idsOf(view), [])
  })

  it('retains entries that expired during an outage of the store until they had time to be written again', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('a', 1), entry('b', 2)], 0)
    view.recordStoreRecovery(10_000)
    view.applyStoreChanges([{ kind: 'delete', key: 'a', modRevision: 3 }, { kind: 'delete', key: 'b', modRevision: 4 }], 10_001)
    assert.deepEqual(idsOf(view), ['a', 'b'])
    view.applyStoreChanges([{ kind: 'put', entry: entry('a', 5) }], 11_000)
    view.expire(12_400)
    assert.deepEqual(idsOf(view), ['a'])
  })

  it('removes an upstream that leaves after the store was reached again soon enough that it gets no new work', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('a', 1), entry('b', 2), entry('c', 3)], 0)
    view.recordStoreRecovery(13_700)
    view.applyStoreChanges([{ kind: 'delete', key: 'a', modRevision: 4 }], 13_700)
    view.applyStoreChanges([{ kind: 'delete', key: 'b', modRevision: 5 }], 14_000)
    assert.deepEqual(idsOf(view), ['a', 'b', 'c'])
    assert.equal(view.nextExpiryAt, 15_200)
    view.expire(15_200)
    assert.deepEqual(idsOf(view), ['a', 'c'])
    view.expire(15_600)
    assert.deepEqual(idsOf(view), ['c'])
    assert.equal(view.nextExpiryAt, undefined)
  })

  it('applies a newer list of upstreams from a peer, and ignores older changes from its own watch', () => {
    const view = DeploymentView.create(DECODER)
    view.applyStoreSnapshot([entry('a', 1)], 0)
    view.applyPeerSnapshot({ upstreams: { revision: 8, entries: [{ key: 'b', value: 'front', revision: 8 }] } })
    view.applyStoreChanges([{ kind: 'put', entry: entry('a', 6) }], 0)
    assert.deepEqual(idsOf(view), ['b'])
    view.applyStoreChanges([{ kind: 'put', entry: entry('c', 9) }], 0)
    assert.deepEqual(idsOf(view), ['b', 'c'])
  })
})
