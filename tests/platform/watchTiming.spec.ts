import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { WatchTiming } from '../../platform/src/watchTiming.js'

const CONTACT_MILLISECONDS = 3000
const GATEWAYS = 12

describe('how long a watch waits', () => {
  const create = (seed = 1): WatchTiming => WatchTiming.create(CONTACT_MILLISECONDS, SeededRandom.create(seed))

  it('leaves time for a late answer before the gateway has to be in touch again', () => {
    const timing = create()
    timing.recordAnswer(false, 0)
    assert.equal(timing.waitMilliseconds(0), 2100)
  })

  // Guards against: a pause between two watches lengthens the time for which a silence is not noticed.
  it('is shorter after a pause, and shortest after a silence', () => {
    const timing = create()
    timing.recordAnswer(false, 0)
    assert.deepEqual([timing.waitMilliseconds(900), timing.waitMilliseconds(10_000)], [1200, 250])
  })

  // Guards against: one change wakes all gateways, whose watches then begin and go silent at the same instants, so that none knows better.
  it('differs between gateways after a change that all received', () => {
    const waits = Array.from({ length: GATEWAYS }, (_, index) => {
      const timing = create(index)
      timing.recordAnswer(true, 0)
      return timing.waitMilliseconds(0)
    }).sort((left, right) => left - right)
    assert.ok(waits[0] >= 1680 && waits[GATEWAYS - 1] <= 2100, String(waits))
    assert.ok(waits[GATEWAYS - 1] - waits[0] > 150, String(waits))
  })
})
