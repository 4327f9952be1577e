import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UsageLedger } from '@plumstage/serving'

const WINDOW_MILLISECONDS = 5000

describe('usage ledger', () => {
  it('sums the counts of all runs of all gateways, whatever the order and number of reports', () => {
    const ledger = UsageLedger.create(WINDOW_MILLISECONDS)
    ledger.record('press', 12_000)
    ledger.applyReport('edge-1/a', [{ window: 2, workspace: 'press', requests: 4 }])
    ledger.applyReport('edge-1/a', [{ window: 2, workspace: 'press', requests: 3 }])
    ledger.applyReport('edge-1/b', [{ window: 2, workspace: 'press', requests: 2 }, { window: 2, workspace: 'bands', requests: 1 }])
    assert.deepEqual(Object.fromEntries(ledger.sum(2)), { press: 7, bands: 1 })
  })

  it('puts a request into the window of its time of day', () => {
    const ledger = UsageLedger.create(WINDOW_MILLISECONDS)
    ledger.record('press', 4999)
    ledger.record('press', 5000)
    assert.deepEqual(ledger.listLocal(1), [{ window: 1, workspace: 'press', requests: 1 }])
    assert.equal(ledger.endOf(0), 5000)
  })
})
