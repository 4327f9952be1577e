import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { OverloadGuard } from '@plumstage/serving'

describe('overload guard', () => {
  it('admits a request that starts well before its caller times out', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    for (let wait = 0; wait <= 3500; wait += 500) assert.equal(guard.decide(wait, 4000).kind, 'admitted')
  })

  it('rejects a request that would start too late for its caller, and randomizes the retry delay', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    const delays = Array.from({ length: 50 }, () => guard.decide(3800, 4000)).map(decision => decision.kind === 'rejected' ? decision.retryAfterMilliseconds : 0)
    assert.ok(delays.every(delay => delay >= 200 && delay <= 4000 / 3), delays.join(' '))
    assert.ok(Math.max(...delays) - Math.min(...delays) > 300, delays.join(' '))
  })
})
