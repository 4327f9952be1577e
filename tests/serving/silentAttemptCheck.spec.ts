import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { AcceptedRequest, Upstream } from '@plumstage/serving'
import { SilentAttemptCheck } from '../../packages/serving/src/attempts/silentAttemptCheck.js'
import type { RunningAttempt } from '../../packages/serving/src/attempts/silentAttemptCheck.js'
import { RetryAllowance } from '../../packages/serving/src/attempts/retryAllowance.js'

const ALLOWED_MILLISECONDS = 2000

/** A request that has waited on a silent connection since time 0; `budget` is how many repetitions its service may make. */
function createCheck ({ idempotency = 'idempotent', budget = 1, isSilent = true, attempts = 0 } = {}): { check: SilentAttemptCheck, attempt: RunningAttempt, budget: () => number } {
  let left = budget
  const route = { name: 'r', idempotency, maximumAttempts: 2 }
  const state = { tryTakeRetry: () => left > 0 && left-- > 0 }
  const request = { route, service: { name: 'front' }, acceptedAt: 0, deadline: ALLOWED_MILLISECONDS } as unknown as AcceptedRequest
  const retries = RetryAllowance.create({ clock: { now: () => 0 }, state } as never, request)
  const access = { isPathLost: () => false, isConnectionSilent: () => isSilent }
  const attempt = { path: { silentSince: 0 }, upstream: {} as Upstream, isDispatched: true, isStarted: false, progress: { route, attempts, mayHaveRun: false, started: false } }
  return { check: SilentAttemptCheck.create(access as never, retries, request), attempt: attempt as unknown as RunningAttempt, budget: () => left }
}

describe('an attempt that hears nothing', () => {
  it('is given up on a silent connection after a share of the time of its request', () => {
    const { check, attempt, budget } = createCheck()
    assert.equal(check.check(attempt, 790), undefined)
    assert.equal(budget(), 1)
    assert.equal(check.check(attempt, 800)?.failure, 'silent')
    assert.equal(budget(), 0)
  })

  // Guards against: requests that may run once are sent twice, since the upstream may have received the first one.
  it('waits on if the request must not run twice', () => {
    const { check, attempt } = createCheck({ idempotency: 'non-idempotent' })
    assert.equal(check.check(attempt, 1900), undefined)
  })

  // Guards against: an attempt is given up that nothing follows, so that its caller gets an error in place of a late answer.
  it('waits on if the route allows no further attempt, or the budget has none', () => {
    for (const options of [{ attempts: 1 }, { budget: 0 }]) {
      const { check, attempt } = createCheck(options)
      assert.equal(check.check(attempt, 1900), undefined)
    }
  })

  it('waits on while its connection may work', () => {
    const { check, attempt } = createCheck({ isSilent: false })
    assert.equal(check.check(attempt, 1900), undefined)
  })
})
