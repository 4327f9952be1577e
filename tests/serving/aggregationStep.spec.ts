import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AggregatedUsage, addAggregate, decodeStep, emptyAggregate, encodeStep, hashName, subtractAggregate } from '@plumstage/serving'
import type { Aggregate, AggregationStep } from '@plumstage/serving'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { gossip } from '@plumstage/protocol'

const ROUND = { root: '10.1.0.1:7600/run', number: 7 }

function createAggregate (requests: number): Aggregate {
  const aggregate = { ...emptyAggregate(), gateways: 1, fingerprint: hashName(String(requests)) }
  aggregate.loads.set(hashName('i-1'), { requests, waitingTokens: 10 * requests })
  aggregate.usage.set(hashName('press'), { admittedUnits: 1e12 + requests, admittedUnitsPerSecond: 5, offeredUnitsPerSecond: 9 })
  aggregate.demands.set(hashName('model'), { promptTokensPerSecond: 100, outputTokensPerSecond: 7, prefillSamples: 3, weightedPrefillRate: 3 * 42_800 })
  return aggregate
}

function transmit (step: ReturnType<typeof encodeStep>): AggregationStep | undefined {
  const bytes = toBinary(gossip.AggregationStepSchema, create(gossip.AggregationStepSchema, step))
  return decodeStep(fromBinary(gossip.AggregationStepSchema, bytes))
}

describe('aggregation step', () => {
  const steps: AggregationStep[] = [
    { kind: 'collect', round: ROUND, budgetMilliseconds: 240 },
    { kind: 'acknowledge', round: ROUND },
    { kind: 'decline', round: ROUND },
    { kind: 'partial', round: ROUND, aggregate: createAggregate(4) },
    { kind: 'total', round: ROUND, aggregate: createAggregate(4), includedNumber: 6 },
    { kind: 'total', round: ROUND, aggregate: createAggregate(4), includedNumber: undefined }
  ]
  for (const step of steps) it(`is unchanged by encoding and decoding: ${step.kind}`, () => assert.deepEqual(transmit(encodeStep(step)), step))

  it('is ignored when it is of an unknown kind, has no root, or has figures that do not belong to names', () => {
    const partial = encodeStep({ kind: 'partial', round: ROUND, aggregate: createAggregate(4) })
    assert.equal(transmit({ ...partial, kind: 99 as gossip.AggregationStepKind }), undefined)
    assert.equal(transmit({ ...partial, root: '' }), undefined)
    assert.equal(transmit({ ...partial, aggregate: undefined }), undefined)
    assert.equal(transmit({ ...partial, aggregate: { ...partial.aggregate!, requests: [] } }), undefined)
    assert.equal(transmit({ ...partial, aggregate: { ...partial.aggregate!, admittedUnits: [Number.NaN] } }), undefined)
    assert.equal(transmit({ ...partial, aggregate: { ...partial.aggregate!, admittedUnits: [-1] } }), undefined)
  })
})

describe('aggregate', () => {
  it('is what it was before when a part is added and subtracted', () => {
    const sum = createAggregate(4)
    addAggregate(sum, createAggregate(9))
    assert.equal(sum.gateways, 2)
    assert.deepEqual(sum.loads.get(hashName('i-1')), { requests: 13, waitingTokens: 130 })
    subtractAggregate(sum, createAggregate(9))
    assert.deepEqual(sum, createAggregate(4))
  })
})

describe('aggregated usage', () => {
  const sumOf = (admittedUnits: number): { admittedUnits: number, admittedUnitsPerSecond: number, offeredUnitsPerSecond: number } => ({ admittedUnits, admittedUnitsPerSecond: 1000, offeredUnitsPerSecond: 3000 })

  it('charges what the same gateways have admitted since the round before', () => {
    const usage = AggregatedUsage.create(undefined)
    assert.equal(usage.apply(sumOf(5000), 1, 0), 0)
    assert.equal(usage.apply(sumOf(5700), 1, 750), 700)
    assert.equal(usage.offeredUnitsPerSecond, 3000)
  })

  // Guards against: a gateway that comes or goes charges all that it ever admitted, or nothing.
  it('charges by the recent rate when gateways have come or gone', () => {
    const usage = AggregatedUsage.create(undefined)
    usage.apply(sumOf(5000), 1, 0)
    assert.equal(usage.apply(sumOf(900_000), 2, 500), 500)
    assert.equal(usage.apply(sumOf(100), 3, 1000), 500)
  })

  it('charges all that was admitted of a workspace that did not occur in the round before', () => {
    assert.equal(AggregatedUsage.create({ fingerprint: 1, observedAt: 0 }).apply(sumOf(600), 1, 750), 600)
  })

  it('charges nothing for a gap in which the refill was scaled down', () => {
    const usage = AggregatedUsage.create(undefined)
    usage.apply(sumOf(5000), 1, 0)
    assert.equal(usage.apply(sumOf(50_000), 1, 5000), 0)
  })
})
