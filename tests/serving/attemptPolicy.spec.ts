import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RouteRecord } from '@plumstage/records'
import { decideAfterFailure, mayRetryServerError } from '@plumstage/serving'
import type { AttemptFailure, AttemptDecision, RequestProgress } from '@plumstage/serving'

const ROUTE: RouteRecord = { kind: 'Route', name: 'page', service: 'front', priority: 'rank-1', idempotency: 'idempotent', methods: [], maximumAttempts: 2 }
const NON_IDEMPOTENT_ROUTE: RouteRecord = { ...ROUTE, idempotency: 'non-idempotent' }
const STREAM_ROUTE: RouteRecord = { ...NON_IDEMPOTENT_ROUTE, stream: { resumable: false, gapObjectiveMilliseconds: 300 } }
const RESUMABLE_STREAM_ROUTE: RouteRecord = { ...NON_IDEMPOTENT_ROUTE, stream: { resumable: true, gapObjectiveMilliseconds: 300 } }

function decide (failure: AttemptFailure, progress: Partial<RequestProgress>, retryLeft = true): AttemptDecision {
  return decideAfterFailure(failure, { route: ROUTE, attempts: 1, mayHaveRun: false, started: false, ...progress }, () => retryLeft)
}

function statusOf (decision: AttemptDecision): number | undefined {
  return decision.kind === 'reject' ? decision.rejection.status : undefined
}

describe('attempt policy', () => {
  it('does not retry a non-idempotent request that may have executed, and gives the caller no retry delay', () => {
    const decision = decide('broken', { route: NON_IDEMPOTENT_ROUTE, mayHaveRun: true })
    assert.equal(statusOf(decision), 502)
    assert.equal(decision.kind === 'reject' && decision.rejection.retryAfterMilliseconds, undefined)
  })

  it('retries a refused non-idempotent request, and reports that it was not executed when no attempt is left', () => {
    assert.equal(decide('not-run', { route: NON_IDEMPOTENT_ROUTE }).kind, 'retry')
    assert.equal(statusOf(decide('not-run', { route: NON_IDEMPOTENT_ROUTE, attempts: 2 })), 503)
  })

  it('retries an idempotent request within the route\'s maximum attempts and the retry budget', () => {
    assert.equal(decide('broken', { mayHaveRun: true }).kind, 'retry')
    assert.equal(decide('broken', { mayHaveRun: true, attempts: 2 }).kind, 'reject')
    assert.equal(decide('broken', { mayHaveRun: true }, false).kind, 'reject')
  })

  it('does not count an upstream that was not reached as an attempt', () => {
    assert.equal(decide('unreachable', { route: NON_IDEMPOTENT_ROUTE, attempts: 0 }).kind, 'retry')
    assert.equal(decide('other-instance', { route: { ...NON_IDEMPOTENT_ROUTE, maximumAttempts: 1 }, attempts: 1 }).kind, 'retry')
  })

  // Guards against: a request that may run once is sent through a peer although its first attempt may arrive later.
  it('repeats an attempt on lost links only if nothing was sent or the request may be repeated', () => {
    assert.equal(decide('links-lost', { mayHaveRun: true, attempts: 2 }).kind, 'retry')
    assert.equal(decide('links-lost', { route: NON_IDEMPOTENT_ROUTE, attempts: 0 }).kind, 'retry')
    assert.equal(statusOf(decide('links-lost', { route: NON_IDEMPOTENT_ROUTE, mayHaveRun: true })), 502)
  })

  it('does not count a peer that opened no tunnel as an attempt', () => {
    assert.equal(decide('peer-unavailable', { route: NON_IDEMPOTENT_ROUTE, attempts: 1 }).kind, 'retry')
    assert.equal(statusOf(decide('peer-unavailable', { route: NON_IDEMPOTENT_ROUTE, mayHaveRun: true })), 502)
  })

  it('continues a started stream only if it is resumable, and cuts it otherwise', () => {
    assert.equal(decide('broken', { route: RESUMABLE_STREAM_ROUTE, mayHaveRun: true, started: true }).kind, 'retry')
    assert.equal(decide('broken', { route: STREAM_ROUTE, mayHaveRun: true, started: true }).kind, 'cut')
  })

  it('retries after server errors only for idempotent requests without a stream', () => {
    const progress = { route: ROUTE, attempts: 1, mayHaveRun: false, started: false }
    assert.equal(mayRetryServerError(progress), true)
    assert.equal(mayRetryServerError({ ...progress, attempts: 2 }), false)
    assert.equal(mayRetryServerError({ ...progress, route: NON_IDEMPOTENT_ROUTE }), false)
    assert.equal(mayRetryServerError({ ...progress, route: RESUMABLE_STREAM_ROUTE }), false)
  })
})
