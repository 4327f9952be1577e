import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { WorkspaceQuota } from '@plumstage/records'
import { NO_QUOTA_TOLERANCE, WorkspaceQuotas } from '@plumstage/serving'
import type { QuotaTolerance, WorkspaceUsage } from '@plumstage/serving'

const QUOTA: WorkspaceQuota = { unit: 'tokens', unitsPerSecond: 1000, burstUnits: 1000, defaultUnits: 200 }
const ALONE = { reachableShare: 1, gateways: 1 }
const REQUEST_UNITS = 50
const REPORT_MILLISECONDS = 1000
const STEP_MILLISECONDS = 10
const TOLERANCE: QuotaTolerance = { windowMilliseconds: 8000, overrunShare: 0.1, slackUnits: 4000 }

function usage (admittedUnits: number): WorkspaceUsage {
  return { workspace: 'press', admittedUnits, offeredUnitsPerSecond: 0 }
}

/** Simulates gateways that each request a multiple of the quota; returns the total of admitted units. */
function offerLoad (gateways: number, milliseconds: number, connected: boolean, tolerance = NO_QUOTA_TOLERANCE): number {
  const quotas = Array.from({ length: gateways }, () => WorkspaceQuotas.create(tolerance))
  let admitted = 0
  for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
    quotas.forEach(local => { if (local.consume('press', QUOTA, REQUEST_UNITS, { reachableShare: connected ? 1 : 1 / gateways, gateways: connected ? gateways : 1 }, now).kind === 'admitted') admitted += REQUEST_UNITS })
    if (!connected || (now % REPORT_MILLISECONDS !== 0 && !quotas.some(gateway => gateway.isReportUrgent))) continue
    quotas.forEach((recipient, index) => quotas.forEach((peer, sender) => {
      if (sender !== index) recipient.applyReport(`gateway-${sender}`, peer.createReport(now), true)
    }))
  }
  return admitted
}

describe('workspace quotas', () => {
  it('limits the total over gateways that receive the reports of each other', () => {
    const admitted = offerLoad(9, 8000, true)
    const allowed = QUOTA.unitsPerSecond * 8 + QUOTA.burstUnits
    assert.ok(admitted <= allowed * 1.1, `${admitted} units`)
    assert.ok(admitted >= QUOTA.unitsPerSecond * 8 * 0.9, `${admitted} units`)
  })

  it('limits the total over gateways that receive no reports from each other', () => {
    const admitted = offerLoad(9, 8000, false)
    assert.ok(admitted <= QUOTA.unitsPerSecond * 8 + QUOTA.burstUnits + 9 * REQUEST_UNITS, `${admitted} units`)
  })

  for (const connected of [true, false]) {
    it(`uses a part of the tolerance in any window when gateways ${connected ? 'receive' : 'do not receive'} the reports of each other`, () => {
      const strict = offerLoad(9, TOLERANCE.windowMilliseconds, connected)
      const admitted = offerLoad(9, TOLERANCE.windowMilliseconds, connected, TOLERANCE)
      const allowed = QUOTA.unitsPerSecond * 8 + QUOTA.burstUnits
      assert.ok(admitted > strict + TOLERANCE.slackUnits * 0.3, `${admitted} and ${strict} units`)
      assert.ok(admitted <= allowed * (1 + TOLERANCE.overrunShare) + TOLERANCE.slackUnits, `${admitted} units`)
    })
  }

  it('admits small requests while a workspace that is over its quota has its large ones refused', () => {
    const quotas = WorkspaceQuotas.create(TOLERANCE)
    let now = 0
    while (quotas.consume('press', QUOTA, 200, ALONE, now).kind === 'admitted') now += STEP_MILLISECONDS
    for (let request = 0; request < 20; request++) {
      assert.equal(quotas.consume('press', QUOTA, 2, ALONE, now).kind, 'admitted')
      assert.equal(quotas.consume('press', QUOTA, 200, ALONE, now).kind, 'exceeded')
    }
  })

  it('refunds the units of a request that was not executed, and states a retry delay', () => {
    const quotas = WorkspaceQuotas.create(NO_QUOTA_TOLERANCE)
    quotas.consume('press', QUOTA, 2000, ALONE, 0)
    const refused = quotas.consume('press', QUOTA, 100, ALONE, 0)
    assert.ok(refused.kind === 'exceeded' && refused.retryAfterMilliseconds > 0)
    quotas.refund('press', 2000)
    assert.equal(quotas.consume('press', QUOTA, 100, ALONE, 0).kind, 'admitted')
  })

  it('does not charge a gateway that starts later for units that its peers used before', () => {
    const quotas = WorkspaceQuotas.create(NO_QUOTA_TOLERANCE)
    quotas.consume('press', QUOTA, 0, ALONE, 0)
    quotas.applyReport('edge-1/first', [usage(500_000)], false)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 100).kind, 'admitted')
    quotas.applyReport('edge-1/first', [usage(501_000)], true)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 200).kind, 'exceeded')
  })

  it('charges a restarted gateway from the start of its new incarnation', () => {
    const quotas = WorkspaceQuotas.create(NO_QUOTA_TOLERANCE)
    quotas.consume('press', QUOTA, 0, ALONE, 0)
    quotas.applyReport('edge-1/first', [usage(400)], true)
    quotas.applyReport('edge-1/second', [usage(300)], true)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 0).kind, 'exceeded')
  })
})
