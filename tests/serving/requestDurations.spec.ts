import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestDurations } from '@plumstage/serving'
import type { GenerationDemand, RequestKind } from '@plumstage/serving'

const ENOUGH = 30

function kindOf (route: string, outputTokens?: number, isResumed = false): RequestKind {
  const generation: GenerationDemand | undefined = outputTokens === undefined ? undefined : { model: 'm', promptTokens: 10, maximumOutputTokens: outputTokens, segments: [] }
  return { route: { name: route } as RequestKind['route'], generation, isResumed }
}

describe('the durations of requests', () => {
  // Guards against: a stopping gateway refuses requests of which it knows nothing, or too little.
  it('are not known before some requests of the kind were served', () => {
    const durations = RequestDurations.create()
    assert.equal(durations.expect(kindOf('page')), undefined)
    durations.record(kindOf('page'), 9000)
    assert.equal(durations.expect(kindOf('page')), undefined)
    for (let count = 0; count < ENOUGH; count++) durations.record(kindOf('page'), 100)
    assert.ok(durations.expect(kindOf('page'))! < 1000)
    assert.equal(durations.expect(kindOf('search')), undefined)
  })

  // Guards against: a long stream is expected to take as long as the short ones of its route, and is cut.
  it('grow with the output that a generation asks for', () => {
    const durations = RequestDurations.create()
    for (let count = 0; count < ENOUGH; count++) durations.record(kindOf('summary', 50 + count), (50 + count) * 20)
    assert.equal(Math.round(durations.expect(kindOf('summary', 300))!), 6000)
    assert.equal(Math.round(durations.expect(kindOf('summary', 10))!), 200)
    assert.equal(durations.expect(kindOf('summary')), undefined)
  })

  // Guards against: a stopping gateway refuses long streams that fit, since short ones take long for each of their tokens.
  it('have a part that is the same for short and long outputs', () => {
    const durations = RequestDurations.create()
    for (let count = 0; count < ENOUGH; count++) durations.record(kindOf('summary', count % 2 === 0 ? 5 : 300), count % 2 === 0 ? 1050 : 4000)
    for (const [tokens, milliseconds] of [[5, 1050], [100, 2000], [300, 4000]]) assert.ok(Math.abs(durations.expect(kindOf('summary', tokens))! - milliseconds) < 1, `${tokens} tokens`)
  })

  // Guards against: the rest of a stream counts as a whole one, and is refused although it fits.
  it('say nothing of streams that were begun elsewhere, nor follow from them', () => {
    const durations = RequestDurations.create()
    for (let count = 0; count < ENOUGH; count++) durations.record(kindOf('summary', 100, true), 10)
    assert.equal(durations.expect(kindOf('summary', 100)), undefined)
    for (let count = 0; count < ENOUGH; count++) durations.record(kindOf('summary', 100), 2000)
    assert.equal(durations.expect(kindOf('summary', 100, true)), undefined)
  })

  // Guards against: routes that come and go all day fill the memory.
  it('are kept of a bounded number of kinds', () => {
    const durations = RequestDurations.create()
    for (let route = 0; route < 6000; route++) for (let count = 0; count < 5; count++) durations.record(kindOf(`route-${route}`), 100)
    assert.equal(durations.expect(kindOf('route-0')), undefined)
    assert.equal(durations.expect(kindOf('route-5999')), 100)
  })
})
