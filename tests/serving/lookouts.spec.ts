import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isLookout } from '@plumstage/serving'

describe('lookouts', () => {
  // Guards against: nobody finds out that the store is silent, or everybody pays for it.
  for (const gateways of [1, 3, 9, 85, 2600]) {
    it(`of ${gateways} gateways, three at the most look closely, and at least one`, () => {
      const addresses = Array.from({ length: gateways }, (_, index) => `10.1.${index >> 8}.${index & 255}:7600`)
      const lookouts = addresses.filter(self => isLookout({ self, list: () => addresses }))
      assert.equal(lookouts.length, Math.min(3, gateways))
    })
  }

  it('a gateway that knows no other one is a lookout', () => {
    assert.equal(isLookout({ self: '10.1.0.1:7600', list: () => [] }), true)
  })
})
