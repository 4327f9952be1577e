import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RouteRecord } from '@plumstage/records'
import { decideAfterFailure, mayRetryServerError } from '@plumstage/serving'
import type { AttemptFailure, AttemptDecision, RequestProgress } from '@plumstage/serving'

const ROUTE: RouteRecord = { kind: 'Route', name: 'page', service: 'front', priority: 'rank-1', idempotency: 'idempotent', methods: [], maximumAttempts: 2 }
const BOOKING: RouteRecord = { ...ROUTE, idempotency: 'non-idempotent' }
const STREAM: RouteRecord = { ...BOOKING, stream: { resumable: false, gapObjectiveMilliseconds: 300 } }
const RESUMABLE: RouteRecord = { ...BOOKING, stream: { resumable: true, gapObjectiveMilliseconds: 300 } }

function decide (failure: AttemptFailure, progress: Partial<RequestProgress>, retryLeft = true): AttemptDecision {
  return decideAfterFailure(failure, { route: ROUTE, attempts: 1, mayHaveRun: false, started: false, ...progress }, () => retryLeft)
}

function statusOf (verdict: AttemptDecision): number | undefined {
  return verdict.kind === 'reject' ? verdict.rejection.status : undefined
}

describe('attempt policy', () => {
  it('never sends a non-idempotent request again that may have run, and promises nothing', () => {
    const verdict = decide('broken', { route: BOOKING, mayHaveRun: true })
    assert.equal(statusOf(verdict), 502)
    assert.equal(verdict.kind === 'reject' && verdict.rejection.retryAfterMilliseconds, undefined)
  })

  it('sends a refused non-idempotent request to another upstream, and says truly that it has not run', () => {
    assert.equal(decide('not-run', { route: BOOKING }).kind, 'retry')
    assert.equal(statusOf(decide('not-run', { route: BOOKING, attempts: 2 })), 503)
  })

  it('repeats an idempotent request within the route\'s attempts and the retry budget', () => {
    assert.equal(decide('broken', { mayHaveRun: true }).kind, 'retry')
    assert.equal(decide('broken', { mayHaveRun: true, attempts: 2 }).kind, 'reject')
    assert.equal(decide('broken', { mayHaveRun: true }, false).kind, 'reject')
  })

  it('does not count an upstream that could not be reached as an attempt', () => {
    assert.equal(decide('unreachable', { route: BOOKING, attempts: 0 }).kind, 'retry')
    assert.equal(decide('other-instance', { route: { ...BOOKING, maximumAttempts: 1 }, attempts: 1 }).kind, 'retry')
  })

  it('continues a started stream only where it is resumable, and cuts it otherwise', () => {
    assert.equal(decide('broken', { route: RESUMABLE, mayHaveRun: true, started: true }).kind, 'retry')
    assert.equal(decide('broken', { route: STREAM, mayHaveRun: true, started: true }).kind, 'cut')
  })

  it('repeats server errors of plain idempotent calls only', () => {
    const progress = { route: ROUTE, attempts: 1, mayHaveRun: false, started: false }
    assert.equal(mayRetryServerError(progress), true)
    assert.equal(mayRetryServerError({ ...progress, attempts: 2 }), false)
    assert.equal(mayRetryServerError({ ...progress, route: BOOKING }), false)
    assert.equal(mayRetryServerError({ ...progress, route: RESUMABLE }), false)
  })
})
