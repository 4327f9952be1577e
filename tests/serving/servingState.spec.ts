import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { DeploymentAdapter } from '@plumstage/platform'
import { ServingState } from '@plumstage/serving'
import type { ServingSettings } from '@plumstage/serving'
import { SERVING_SETTINGS } from '../support/reportNetwork.js'

const SETTINGS: ServingSettings = { ...SERVING_SETTINGS, retryBound: { ratio: 0, slack: 1, windowMilliseconds: 10_000 } }

describe('serving state', () => {
  it('takes changed bounds into force without a new start', () => {
    const state = ServingState.create(SETTINGS, DeploymentAdapter.create(), SeededRandom.create(1))
    assert.equal(state.tryTakeRetry('front', 0), true)
    assert.equal(state.tryTakeRetry('front', 1), false)
    state.applySettings({ ...SETTINGS, retryBound: { ratio: 0, slack: 3, windowMilliseconds: 10_000 }, prefixReuseMilliseconds: 100 })
    assert.equal(state.tryTakeRetry('front', 2), true)
    state.prefixCache.recordSent('i-1', [{ id: 'a', tokens: 10 }], 0)
    assert.equal(state.prefixCache.countCachedTokens('i-1', [{ id: 'a', tokens: 10 }], 101), 0)
  })
})
