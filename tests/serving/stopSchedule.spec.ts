import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StopSchedule } from '@plumstage/serving'

const STARTED_AT = 1000
const GRACE_MILLISECONDS = 8000

describe('the schedule of a planned stop', () => {
  // Guards against: new connections are refused while the load balancer has not noticed the stop, or requests are taken that can't end.
  it('accepts requests while the load balancer may still choose this gateway, and none later', () => {
    const schedule = StopSchedule.create(STARTED_AT, GRACE_MILLISECONDS)
    assert.equal(schedule.decide(STARTED_AT, undefined), 'accepted')
    assert.equal(schedule.decide(STARTED_AT + 2500, undefined), 'accepted')
    assert.equal(schedule.decide(STARTED_AT + 2600, undefined), 'too-late')
    assert.equal(schedule.decide(STARTED_AT + 7000, undefined), 'too-late')
  })

  // Guards against: a request that is known to take longer than the rest of the grace period is passed on and cut, or one that fits is refused.
  it('accepts what will end in time, and what is not known to end too late', () => {
    const schedule = StopSchedule.create(STARTED_AT, GRACE_MILLISECONDS)
    assert.equal(schedule.decide(STARTED_AT, schedule.drainsUntil), 'accepted')
    assert.equal(schedule.decide(STARTED_AT, schedule.drainsUntil + 1), 'too-long')
    assert.equal(schedule.decide(STARTED_AT, undefined), 'accepted')
    assert.equal(schedule.decide(schedule.acceptsUntil, schedule.drainsUntil), 'too-late')
  })

  // Guards against: the process is killed before it has ended its requests itself.
  it('ends before the process is killed, also with a short grace period', () => {
    assert.ok(StopSchedule.create(STARTED_AT, GRACE_MILLISECONDS).writesUntil < STARTED_AT + GRACE_MILLISECONDS)
    const short = StopSchedule.create(STARTED_AT, 2000)
    assert.ok(short.acceptsUntil <= short.drainsUntil)
    assert.ok(short.drainsUntil < short.writesUntil && short.writesUntil < STARTED_AT + 2000)
    assert.equal(StopSchedule.create(STARTED_AT, 100).drainsUntil, STARTED_AT)
  })
})
