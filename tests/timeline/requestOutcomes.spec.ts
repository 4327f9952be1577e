import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ActionEvent, EventAttributes } from '@plumstage/common'
import { formatOutcomeLines, formatOutcomeTable, groupOutcomes } from '@plumstage/timeline'

let sequence = 0

function event (process: string, kind: string, time: number, attributes: EventAttributes): ActionEvent {
  return { process, incarnation: 'i', sequence: ++sequence, time, kind, attributes: { workspace: 'press', ...attributes } }
}

function ended (process: string, time: number, attributes: EventAttributes = {}): ActionEvent {
  return event(process, 'request-ended', time, { route: 'chat', outcome: 'complete', status: 200, attempts: 1, milliseconds: 100, quotaUnits: 400, ...attributes })
}

function refused (process: string, time: number, quotaUnits: number): ActionEvent {
  return event(process, 'request-rejected', time, { route: 'chat', reason: 'quota-exceeded', status: 429, quotaUnits, quotaUnitsPerSecond: 100, quotaBurstUnits: 1000 })
}

describe('request outcomes', () => {
  it('groups requests by window, route and outcome, with the time until their first event', () => {
    const groups = groupOutcomes([
      ended('a', 1000, { firstEventMilliseconds: 40 }),
      ended('b', 2000, { firstEventMilliseconds: 60, attempts: 2 }),
      ended('a', 3000, { outcome: 'cut-after-failure' }),
      ended('a', 11_000)
    ], 10_000)
    assert.deepEqual(groups.map(group => [group.windowStart, group.outcome, group.requests, group.attempts, group.medianWaitMilliseconds]), [
      [0, 'complete', 2, 1.5, 60],
      [0, 'cut-after-failure', 1, 1, 100],
      [10_000, 'complete', 1, 1, 100]
    ])
  })

  it('counts the requests that were refused although their workspace was within its quota at all gateways', () => {
    const [, group] = groupOutcomes([ended('a', 1000), ended('b', 1100), refused('b', 1200, 150), refused('a', 1300, 600)], 10_000)
    assert.equal(group.requests, 2)
    assert.equal(group.refusedWithinQuota, 1)
  })

  it('prints a table and JSON lines, and counts requests without a route', () => {
    const groups = groupOutcomes([event('a', 'request-rejected', 0, { reason: 'no-route', status: 404 })], 10_000)
    assert.match(formatOutcomeTable(groups), /^from .*route .*\n1970-01-01T00:00:00.000Z {2}\(none\) +no-route +404 +1 /)
    assert.equal(JSON.parse(formatOutcomeLines(groups)).outcome, 'no-route')
  })
})
