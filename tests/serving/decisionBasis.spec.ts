import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { DeploymentAdapter } from '@plumstage/platform'
import { NO_QUOTA_TOLERANCE, RequestAdmission, ServingState, describeBasis } from '@plumstage/serving'
import type { CallerHead, GatewayReport, ServingSettings } from '@plumstage/serving'

const SETTINGS = { peerAddress: '10.0.0.1:7600', processorCores: 1, failureDomain: 'east', retryBound: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }, quotaTolerance: NO_QUOTA_TOLERANCE, usageWindowMilliseconds: 5000, prefixReuseMilliseconds: 9000 } as unknown as ServingSettings
const HEAD = { host: 'wiki.example', path: '/a/b', requestId: 'r-1', headBytes: 10 } as unknown as CallerHead
const HEARD_AT = 1000

describe('what the log tells of a decision', () => {
  function createState (): ServingState {
    const state = ServingState.create(SETTINGS, DeploymentAdapter.create(), SeededRandom.create(1))
    const value = JSON.stringify({ version: 7, routes: [{ name: 'r', host: 'wiki.example', prefix: '/a/', route_type: 'idempotent', service: 'front', anonymous: true }], services: [{ name: 'front' }] })
    state.view.applyStoreSnapshot({ era: 1, revision: 30, entries: [{ key: 'op/config', value, createRevision: 9, modRevision: 21 }] }, HEARD_AT)
    state.storeContact.recordHeard({ era: 1, revision: 30 }, HEARD_AT)
    return state
  }

  // Guards against: a request that an old version decided can't be told from one that the gateway could not know better about.
  it('names version, revision, the last answer of the store, and what peers had reported', () => {
    const state = createState()
    const report = { name: 'edge-2', incarnation: 'run', sequence: 1, configuration: { version: 8, era: 1, revision: 41 } } as unknown as GatewayReport
    state.peers.apply(report, '10.0.0.2:7600', HEARD_AT)
    state.peers.apply({ ...report, sequence: 2, configuration: { version: 6, era: 1, revision: 12 } }, '10.0.0.2:7600', HEARD_AT)
    const { basis } = RequestAdmission.create(state).admit(HEAD, HEARD_AT - 100, HEARD_AT + 2400)._unsafeUnwrap()
    assert.deepEqual(describeBasis(basis), { decidedByVersion: 7, decidedByRevision: 21, storeRevision: 30, storeSilentMilliseconds: 2400, peersVersion: 8, peersRevision: 41 })
  })

  it('leaves out what is not known yet', () => {
    const state = ServingState.create(SETTINGS, DeploymentAdapter.create(), SeededRandom.create(1))
    assert.deepEqual(Object.values(describeBasis(state.decisionBasis(HEARD_AT))).filter(value => value !== undefined), [])
  })
})
