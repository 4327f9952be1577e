import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RetryBudget } from '@plumstage/serving'

const BOUND = { ratio: 0.2, slack: 50, windowMilliseconds: 10_000 }

function consumeAll (budget: RetryBudget, gateways: number, now: number): number {
  let taken = 0
  while (budget.tryTake(BOUND, gateways, now)) taken++
  return taken
}

describe('retry budget', () => {
  it('shares the slack between the gateways and adds a share of the own requests', () => {
    const budget = RetryBudget.create()
    for (let index = 0; index < 100; index++) budget.recordRequest(BOUND, 0)
    assert.equal(consumeAll(budget, 5, 0), 30)
  })

  it('gives retries back when they leave the window', () => {
    const budget = RetryBudget.create()
    assert.equal(consumeAll(budget, 5, 0), 10)
    assert.equal(consumeAll(budget, 5, 9000), 0)
    assert.equal(consumeAll(budget, 5, 11_000), 10)
  })
})
