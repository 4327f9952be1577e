import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConfigurationState } from '@plumstage/gateway'
import { formatTombstone } from '@plumstage/records'

function priority (rank: number): string {
  return JSON.stringify({ apiVersion: 'plumstage/v1', kind: 'Priority', metadata: { name: 'p' }, spec: { rank, startWithinMilliseconds: 1000 } })
}

const KEY = '/plumstage/test/records/Priority/p'
const OTHER_KEY = '/plumstage/test/records/Priority/q'

describe('configuration state', () => {
  it('adopts a state with a higher revision', () => {
    const state = ConfigurationState.create()
    state.adoptState({ source: 'key-value-service', revision: 5, records: [{ key: KEY, value: priority(1), revision: 5 }] })
    assert.equal(state.revision, 5)
    state.adoptState({ source: 'peer', revision: 7, records: [{ key: KEY, value: priority(2), revision: 7 }] })
    assert.equal(state.configuration.priorities.get('p')?.rank, 2)
  })

  it('refuses the state of a service that was restored to an older revision', () => {
    const state = ConfigurationState.create()
    state.adoptState({ source: 'key-value-service', revision: 9, records: [{ key: KEY, value: priority(1), revision: 9 }] })
    const outcome = state.adoptState({ source: 'key-value-service', revision: 6, records: [{ key: KEY, value: priority(3), revision: 6 }] })
    assert.equal(outcome.kind, 'refused')
    assert.equal(state.configuration.priorities.get('p')?.rank, 1)
  })

  it('refuses the state of a restored service even if new writes have raised its revision above the one in force', () => {
    const state = ConfigurationState.create()
    state.adoptState({ source: 'key-value-service', revision: 9, records: [{ key: KEY, value: priority(1), revision: 9 }] })
    const outcome = state.adoptState({ source: 'key-value-service', revision: 12, records: [{ key: KEY, value: priority(3), revision: 6 }, { key: OTHER_KEY, value: priority(4), revision: 12 }] })
    assert.equal(outcome.kind, 'refused')
    assert.equal(state.revision, 9)
  })

  it('refuses a state in which a record is missing, and adopts one that has its tombstone', () => {
    const state = ConfigurationState.create()
    state.adoptState({ source: 'key-value-service', revision: 3, records: [{ key: KEY, value: priority(1), revision: 3 }] })
    assert.equal(state.adoptState({ source: 'key-value-service', revision: 8, records: [] }).kind, 'refused')
    assert.equal(state.adoptState({ source: 'key-value-service', revision: 8, records: [{ key: KEY, value: formatTombstone(), revision: 8 }] }).kind, 'adopted')
    assert.equal(state.configuration.priorities.size, 0)
    assert.equal(state.applyChanges([{ key: KEY, value: priority(1), revision: 3 }]).kind, 'unchanged')
    assert.equal(state.configuration.priorities.size, 0)
  })

  it('keeps the last valid version of a record that cannot be parsed, and reports the record', () => {
    const state = ConfigurationState.create()
    state.applyChanges([{ key: KEY, value: priority(1), revision: 2 }])
    const outcome = state.applyChanges([{ key: KEY, value: '{"apiVersion":"plumstage/v9"}', revision: 4 }])
    assert.equal(outcome.kind === 'adopted' && outcome.unreadable[0].key, KEY)
    assert.equal(state.configuration.priorities.get('p')?.rank, 1)
    assert.equal(state.revision, 4)
    state.applyChanges([{ key: KEY, value: priority(6), revision: 5 }])
    assert.deepEqual(state.listUnreadable(), [])
    assert.equal(state.configuration.priorities.get('p')?.rank, 6)
  })

  it('ignores changes that are older than the record in force', () => {
    const state = ConfigurationState.create()
    state.applyChanges([{ key: KEY, value: priority(2), revision: 6 }])
    assert.equal(state.applyChanges([{ key: KEY, value: priority(1), revision: 5 }]).kind, 'unchanged')
    assert.equal(state.configuration.priorities.get('p')?.rank, 2)
  })
})
