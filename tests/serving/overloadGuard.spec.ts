import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { OverloadGuard, PrefillRate } from '@plumstage/serving'

describe('overload guard', () => {
  it('admits what begins before its caller leaves', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    for (let wait = 0; wait <= 3500; wait += 500) assert.equal(guard.decide(wait, 4000).kind, 'admitted')
  })

  it('rejects at once what would only begin when the caller has left, and spreads when callers come back', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    const times = Array.from({ length: 50 }, () => guard.decide(3800, 4000)).map(verdict => verdict.kind === 'rejected' ? verdict.retryAfterMilliseconds : 0)
    assert.ok(times.every(time => time >= 200 && time <= 4000 / 3), times.join(' '))
    assert.ok(Math.max(...times) - Math.min(...times) > 300, times.join(' '))
  })
})

describe('read speed', () => {
  it('follows what first events show, but not those with little before them', () => {
    const speed = PrefillRate.create()
    for (let sample = 0; sample < 300; sample++) {
      speed.record(1000, 500)
      speed.record(70_000, 1000)
    }
    assert.ok(Math.abs(speed.tokensPerMillisecond - 70) < 2, `${speed.tokensPerMillisecond} tokens a millisecond`)
  })
})
