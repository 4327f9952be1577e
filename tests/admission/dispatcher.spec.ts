import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Dispatcher, PrefixIndex, RetryBudget, ScoreRouter, UpstreamTable } from '@plumstage/gateway'
import type { DispatchAction, DispatchRequest } from '@plumstage/gateway'
import { Configuration, parseRecordFile } from '@plumstage/records'

const REQUEST_DURATION_MILLISECONDS = 100
const START = 1_000_000

/** A dispatcher over upstreams with two slots each, and the requests that it has started. */
class DispatcherHarness {
  readonly dispatcher: Dispatcher
  readonly table = UpstreamTable.create()
  readonly started: DispatchRequest[] = []
  readonly refused: DispatchAction[] = []
  now = START
  private readonly _running: Array<{ requestId: string, endsAt: number }> = []
  private readonly _requests = new Map<string, DispatchRequest>()
  private _next = 1

  constructor (upstreams: number, reservedShare = 0) {
    const addresses = Array.from({ length: upstreams }, (_, index) => `{ address: "10.0.0.${index + 1}:9000", failureDomain: a }`).join(', ')
    const { declarations } = parseRecordFile('bench.yaml', `
{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: high }, spec: { rank: 0, startWithinMilliseconds: 1000, reservedShare: ${reservedShare} } }
---
{ apiVersion: plumstage/v1, kind: Priority, metadata: { name: low }, spec: { rank: 5, startWithinMilliseconds: 60000 } }
---
{ apiVersion: plumstage/v1, kind: Service, metadata: { name: s }, spec: { type: plain, concurrencyPerUpstream: 2, upstreams: [${addresses}] } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: high }, spec: { pathPrefix: /high/, service: s, priority: high, idempotency: idempotent } }
---
{ apiVersion: plumstage/v1, kind: Route, metadata: { name: low }, spec: { pathPrefix: /low/, service: s, priority: low, idempotency: idempotent } }
`)
    const configuration = Configuration.create(1, declarations.map(declaration => declaration.record))
    const prefixes = PrefixIndex.create()
    this.dispatcher = Dispatcher.create('gateway', this.table, ScoreRouter.create('a', prefixes), prefixes, configuration)
    this.table.applyConfiguration(configuration, this.now)
  }

  submit (workspace: string, rank: number, startWithin: number, weight = 1): string {
    const requestId = `${workspace}-${this._next++}`
    const request = { requestId, workspace, weight, rank, cost: 1, startDeadline: this.now + startWithin, service: 's', promptTokens: 0, prefixBlocks: [], excludedUpstreams: [], resumed: false, isolated: false }
    this._requests.set(requestId, request)
    this._execute(this.dispatcher.submit(request, this.now))
    return requestId
  }

  /** Lets time pass; every started request ends after the same time. */
  runFor (milliseconds: number): void {
    const until = this.now + milliseconds
    for (;;) {
      this._running.sort((left, right) => left.endsAt - right.endsAt)
      const next = this._running[0]
      if (!next || next.endsAt > until) break
      this._running.shift()
      this.now = next.endsAt
      this._execute(this.dispatcher.release(next.requestId, this.now))
    }
    this.now = until
    this._execute(this.dispatcher.dispatchWaiting(this.now))
  }

  countStarted (workspace: string): number {
    return this.started.filter(request => request.workspace === workspace).length
  }

  private _execute (actions: readonly DispatchAction[]): void {
    for (const action of actions) {
      if (action.kind === 'refuse') {
        this.refused.push(action)
        continue
      }
      this.started.push(this._requests.get(action.requestId)!)
      this._running.push({ requestId: action.requestId, endsAt: this.now + REQUEST_DURATION_MILLISECONDS })
    }
  }
}

describe('dispatcher', () => {
  it('shares slots by weight, however many requests a workspace sends', () => {
    const bench = new DispatcherHarness(2)
    for (let index = 0; index < 400; index++) bench.submit('large', 5, 60_000)
    for (let index = 0; index < 40; index++) bench.submit('small', 5, 60_000)
    for (let index = 0; index < 80; index++) bench.submit('weighty', 5, 60_000, 2)
    bench.runFor(2000)
    const share = bench.countStarted('small') / bench.countStarted('large')
    assert.ok(share > 0.8 && share < 1.25, `small to large: ${share}`)
    const weighted = bench.countStarted('weighty') / bench.countStarted('small')
    assert.ok(weighted > 1.6 && weighted < 2.4, `weighty to small: ${weighted}`)
  })

  it('starts a higher class first', () => {
    const bench = new DispatcherHarness(1)
    for (let index = 0; index < 10; index++) bench.submit('patient', 5, 60_000)
    const urgent = bench.submit('urgent', 0, 1000)
    bench.runFor(REQUEST_DURATION_MILLISECONDS)
    assert.equal(bench.started[2].requestId, urgent)
  })

  it('keeps slots free for a class that has them reserved', () => {
    const bench = new DispatcherHarness(2, 0.5)
    for (let index = 0; index < 20; index++) bench.submit('patient', 5, 60_000)
    assert.equal(bench.countStarted('patient'), 2)
    bench.submit('urgent', 0, 1000)
    assert.equal(bench.countStarted('urgent'), 1)
  })

  it('refuses at once what can not start in time, and says when to come back', () => {
    const bench = new DispatcherHarness(1)
    for (let index = 0; index < 4; index++) bench.submit('a', 5, 60_000)
    bench.runFor(500)
    for (let index = 0; index < 100; index++) bench.submit('a', 5, 60_000)
    bench.submit('a', 5, 1000)
    assert.deepEqual(bench.refused.map(action => action.kind === 'refuse' && action.reason), ['overloaded'])
    assert.ok(bench.refused.every(action => action.kind === 'refuse' && action.retryAfterSeconds >= 4))
  })

  it('does not refuse a small workspace for the queue of a large one', () => {
    const bench = new DispatcherHarness(1)
    for (let index = 0; index < 4; index++) bench.submit('large', 5, 60_000)
    bench.runFor(500)
    for (let index = 0; index < 200; index++) bench.submit('large', 5, 60_000)
    const small = bench.submit('small', 5, 1000)
    assert.deepEqual(bench.refused, [])
    bench.runFor(1000)
    assert.ok(bench.started.some(request => request.requestId === small))
  })

  it('refuses a waiting request when its time is over', () => {
    const bench = new DispatcherHarness(1)
    for (let index = 0; index < 2; index++) bench.submit('a', 5, 60_000)
    const late = bench.submit('a', 5, 50)
    bench.runFor(60)
    assert.deepEqual(bench.refused.map(action => [action.requestId, action.kind === 'refuse' && action.reason]), [[late, 'start-deadline']])
  })

  it('lets no wave of failures multiply the load', () => {
    const budget = RetryBudget.create()
    let retries = 0
    for (let request = 0; request < 1000; request++) {
      budget.recordRequest()
      if (budget.tryTake()) retries++
    }
    assert.ok(retries <= 100 + 1000 * 0.2, `${retries} retries for 1000 requests`)
  })
})
