import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MembershipTable } from '@plumstage/gateway'
import type { Member } from '@plumstage/gateway'

function member (name: string, changes: Partial<Member> = {}): Member {
  return { name, address: `${name}:1`, failureDomain: 'a', incarnation: 100, state: 'alive', heartbeat: 1, configurationRevision: 0, ...changes }
}

describe('membership table', () => {
  it('suspects a silent member, calls it dead, and forgets it', () => {
    const table = MembershipTable.create(member('self'), [])
    table.merge([member('other')], 0)
    assert.equal(table.listPresent(2000)[0].suspect, false)
    assert.equal(table.listPresent(4000)[0].suspect, true)
    assert.deepEqual(table.beginRound(11_000).map(change => change.kind), ['died'])
    assert.equal(table.listPresent(11_000).length, 0)
    table.beginRound(80_000)
    assert.equal(table.listPeers(80_000).length, 0)
  })

  it('lets no state go back within an incarnation', () => {
    const table = MembershipTable.create(member('self'), [])
    table.merge([member('other', { state: 'leaving', heartbeat: 2 })], 0)
    table.merge([member('other', { state: 'alive', heartbeat: 9 })], 1)
    assert.equal(table.listPresent(1)[0].member.state, 'leaving')
    table.merge([member('other', { state: 'dead', heartbeat: 1 })], 2)
    table.merge([member('other', { state: 'leaving', heartbeat: 10 })], 3)
    assert.equal(table.listPresent(3).length, 0)
  })

  it('takes a restart under the same name and address as a new life', () => {
    const table = MembershipTable.create(member('self'), [])
    table.merge([member('other', { state: 'dead', heartbeat: 50 })], 0)
    table.merge([member('other', { state: 'leaving', heartbeat: 50 })], 0)
    const changes = table.merge([member('other', { incarnation: 200, heartbeat: 1 })], 1)
    assert.deepEqual(changes.map(change => change.kind), ['joined'])
    table.merge([member('other', { incarnation: 100, state: 'dead', heartbeat: 99 })], 2)
    assert.equal(table.listPresent(2)[0].member.incarnation, 200)
  })

  it('takes the next incarnation when it hears that it is dead, or of an older life of its own', () => {
    const table = MembershipTable.create(member('self'), [])
    table.merge([member('self', { state: 'dead' })], 0)
    assert.equal(table.self.incarnation, 101)
    table.merge([member('self', { incarnation: 300 })], 0)
    assert.equal(table.self.incarnation, 301)
    table.merge([member('self', { incarnation: 101, state: 'dead' })], 0)
    assert.equal(table.self.incarnation, 301)
  })
})
