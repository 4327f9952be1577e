import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SnapshotPull } from '@plumstage/serving'
import type { DeploymentPositions } from '@plumstage/serving'

const WATCH_MILLISECONDS = 1000

function positionsOf (revision: number): DeploymentPositions {
  return { configuration: { version: 1, era: 1, revision: 5 }, upstreams: { era: 1, revision } }
}

describe('pulling a snapshot from a peer', () => {
  it('happens when the own watch has not caught up in its time', () => {
    const pull = SnapshotPull.create()
    assert.equal(pull.decide(positionsOf(8), positionsOf(7), WATCH_MILLISECONDS, 0), false)
    assert.equal(pull.decide(positionsOf(8), positionsOf(7), WATCH_MILLISECONDS, 900), false)
    assert.equal(pull.decide(positionsOf(8), positionsOf(7), WATCH_MILLISECONDS, 1000), true)
    assert.equal(pull.decide(positionsOf(8), positionsOf(7), WATCH_MILLISECONDS, 1100), false, 'the next one waits again')
  })

  // Guards against: a gateway that was behind once pulls at once at each later change.
  it('does not happen for a change that the watch brings in its time, however often the list changes', () => {
    const pull = SnapshotPull.create()
    for (let revision = 8; revision < 60; revision++) {
      const now = revision * 1000
      assert.equal(pull.decide(positionsOf(revision), positionsOf(revision - 1), WATCH_MILLISECONDS, now), false)
      assert.equal(pull.decide(positionsOf(revision), positionsOf(revision - 1), WATCH_MILLISECONDS, now + 900), false)
    }
  })

  it('happens for a gateway that stays behind a list that goes on changing', () => {
    const pull = SnapshotPull.create()
    const pulls = Array.from({ length: 30 }, (_, step) => pull.decide(positionsOf(8 + step), positionsOf(7), WATCH_MILLISECONDS, step * 100))
    assert.equal(pulls.filter(Boolean).length, 2)
  })

  // Guards against: a gateway that follows a store which has come back pulls the list of a peer that has not noticed it.
  it('does not happen for a list of a lost history, but for a later list, or after a while', () => {
    const pull = SnapshotPull.create()
    pull.disregard(positionsOf(50).upstreams, 0)
    assert.equal(pull.decide(positionsOf(50), positionsOf(43), 0, 4999), false)
    assert.equal(pull.decide(positionsOf(51), positionsOf(43), 0, 4999), true)
    assert.equal(pull.decide(positionsOf(50), positionsOf(43), 0, 5000), true)
    assert.equal(pull.decide({ ...positionsOf(50), configuration: { version: 2, era: 1, revision: 50 } }, positionsOf(43), 0, 4999), true)
  })

  it('happens for a newer configuration, and not for an older one', () => {
    const [older, newer] = [4, 6].map(revision => ({ configuration: { version: revision, era: 1, revision }, upstreams: { era: 1, revision: 7 } }))
    const own = { ...older, configuration: { version: 5, era: 1, revision: 5 } }
    assert.equal(SnapshotPull.create().decide(newer, own, 0, 0), true)
    assert.equal(SnapshotPull.create().decide(older, own, 0, 0), false)
    assert.equal(SnapshotPull.create().decide(older, { ...own, configuration: undefined }, 0, 0), true)
  })
})
