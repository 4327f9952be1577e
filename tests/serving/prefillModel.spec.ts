import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { PeerTable, PrefillModel, ServiceCapacities, isSufficient, mergeRates } from '@plumstage/serving'
import type { GatewayReport } from '@plumstage/serving'

const SEED = 11
const BASE_MILLISECONDS = 50

/** Records requests at an engine of the given speed whose other work delays each prompt by up to the base time. */
function observe (model: PrefillModel, tokensPerMillisecond: number, requests: number): void {
  const random = SeededRandom.create(SEED)
  for (let request = 0; request < requests; request++) {
    const tokens = Math.round(12_000 * random.nextFraction() ** 2)
    model.record(tokens, BASE_MILLISECONDS * (1 + random.nextFraction()) + tokens / tokensPerMillisecond)
  }
}

describe('prefill model', () => {
  for (const tokensPerMillisecond of [4, 30, 70, 400]) {
    it(`finds the rate of engines that prefill ${tokensPerMillisecond} tokens per millisecond from short prompts alone`, () => {
      const model = PrefillModel.create()
      observe(model, tokensPerMillisecond, 300)
      const { tokensPerMillisecond: measured } = model.measured
      assert.ok(measured > tokensPerMillisecond * 0.6 && measured < tokensPerMillisecond * 1.6, `${measured} tokens per millisecond`)
    })
  }

  it('assumes a rate until it has enough samples', () => {
    const model = PrefillModel.create()
    observe(model, 100, 5)
    assert.equal(isSufficient(model.measured), false)
    observe(model, 100, 120)
    assert.equal(isSufficient(model.measured), true)
  })

  it('is hardly changed by requests that a fault delays, and not at all by impossible values', () => {
    const model = PrefillModel.create()
    observe(model, 60, 300)
    const before = model.measured.tokensPerMillisecond
    for (const [tokens, milliseconds] of [[-1, 5], [5, -1], [Number.NaN, 5], [5, Number.NaN], [5, Number.POSITIVE_INFINITY], [1e12, 5]]) model.record(tokens, milliseconds)
    assert.equal(model.measured.tokensPerMillisecond, before)
    for (let request = 0; request < 4; request++) model.record(9000, 15_000)
    assert.ok(model.measured.tokensPerMillisecond > before * 0.6, `${model.measured.tokensPerMillisecond} after ${before}`)
  })
})

describe('service capacities', () => {
  const demand = { service: 'model', promptTokensPerSecond: 1, outputTokensPerSecond: 1 }
  const report: GatewayReport = { name: 'edge-2', incarnation: 'a', sequence: 1, failureDomain: 'east', leaving: false, configuration: undefined, upstreams: { era: 1, revision: 1 }, loads: [], uses: [], windows: [], suspicions: [], partSuspicions: [], demands: [], knownAddresses: [], limits: [], links: 'working' }

  it('are known to a gateway that has just started, from the reports of its peers', () => {
    const peers = PeerTable.create({ address: '10.0.0.1:1', processorCores: 1 })
    const capacities = ServiceCapacities.create(peers)
    assert.equal(capacities.capacityOf('model', 0).isKnown, false)
    peers.apply({ ...report, demands: [{ ...demand, prefillTokensPerSecond: 90_000, prefillSamples: 120 }] }, '10.0.0.2:1', 300)
    assert.deepEqual(capacities.capacityOf('model', 300), { tokensPerMillisecond: 90, isKnown: true })
  })

  it('leave out rates that are impossible', () => {
    const valid = { tokensPerMillisecond: 50, samples: 10 }
    for (const tokensPerMillisecond of [0, -3, Number.NaN, 1e9]) assert.equal(mergeRates([valid, { tokensPerMillisecond, samples: 100 }]).tokensPerMillisecond, 50)
    assert.equal(mergeRates([valid, { tokensPerMillisecond: 500, samples: -5 }]).tokensPerMillisecond, 50)
  })
})
