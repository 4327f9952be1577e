import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { DeploymentAdapter } from '@plumstage/platform'
import { NO_QUOTA_TOLERANCE, RequestAdmission, ServingState } from '@plumstage/serving'
import type { CallerHead, GenerationDemand, ServingSettings } from '@plumstage/serving'

const MEMORY_TOKENS = 300_000
const SETTINGS = { peerAddress: '10.0.0.1:7600', processorCores: 1, failureDomain: 'east', retryBound: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }, quotaTolerance: NO_QUOTA_TOLERANCE, usageWindowMilliseconds: 5000, prefixReuseMilliseconds: 9000 } as unknown as ServingSettings
const FAR_OFF: GenerationDemand = { model: 'm', promptTokens: 1_000_000_000, maximumOutputTokens: 1_000_000_000, expectedOutputTokens: 20_000_000, segments: [{ id: 'a', tokens: 900_000_000 }, { id: 'b', tokens: 5 }] }

function admit (engine: object | undefined): GenerationDemand | undefined {
  const state = ServingState.create(SETTINGS, DeploymentAdapter.create(), SeededRandom.create(1))
  const value = JSON.stringify({ version: 1, routes: [{ name: 'r', host: 'wiki.example', prefix: '/a/', route_type: 'streaming', service: 'model' }], services: [{ name: 'model', engine }] })
  state.view.applyStoreSnapshot({ era: 1, revision: 1, entries: [{ key: 'op/config', value, createRevision: 1, modRevision: 1 }] }, 0)
  const head = { host: 'wiki.example', path: '/a/b', requestId: 'r-1', headBytes: 10, generation: FAR_OFF } as unknown as CallerHead
  return RequestAdmission.create(state).admit(head, 0, 0)._unsafeUnwrap().generation
}

describe('request admission', () => {
  // Guards against: a request that states impossible sizes makes upstreams look busy to all others, and orders further ones.
  it('counts no more work than fits into an engine', () => {
    assert.deepEqual(admit({ capacity: 64, kv_capacity: MEMORY_TOKENS }), { model: 'm', promptTokens: MEMORY_TOKENS, maximumOutputTokens: MEMORY_TOKENS, expectedOutputTokens: MEMORY_TOKENS, segments: [{ id: 'a', tokens: MEMORY_TOKENS }, { id: 'b', tokens: 5 }] })
  })

  it('counts the work as it is stated when the memory of the engines is not known', () => {
    for (const engine of [undefined, { capacity: 64 }]) assert.deepEqual(admit(engine), FAR_OFF)
  })
})
