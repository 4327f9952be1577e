import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DemandMeter } from '@plumstage/serving'

const STEP_MILLISECONDS = 100

function measureAfter (milliseconds: number): number {
  const meter = DemandMeter.create()
  for (let now = 0; now <= milliseconds; now += STEP_MILLISECONDS) meter.record('model', 1000, 10, now)
  return meter.demandOf('model', milliseconds).promptTokensPerSecond
}

describe('demand meter', () => {
  it('measures the rate of requests that have only just started to arrive', () => {
    assert.ok(measureAfter(1500) > 9000, `${measureAfter(1500)} tokens per second`)
  })

  it('averages the rate over the last seconds', () => {
    assert.ok(Math.abs(measureAfter(20_000) - 10_000) < 1500, `${measureAfter(20_000)} tokens per second`)
  })

  it('averages the prompt tokens of recent requests', () => {
    const meter = DemandMeter.create()
    assert.equal(meter.promptTokensPerRequest('model', 0), undefined)
    meter.record('model', 1000, 10, 0)
    meter.record('model', 3000, 10, 100)
    assert.equal(meter.promptTokensPerRequest('model', 200), 2000)
    assert.equal(meter.promptTokensPerRequest('model', 10_000), undefined)
  })

  it('reports no demand after several seconds without requests', () => {
    const meter = DemandMeter.create()
    meter.record('model', 1000, 10, 0)
    assert.equal(meter.demandOf('model', 10_000).promptTokensPerSecond, 0)
  })
})
