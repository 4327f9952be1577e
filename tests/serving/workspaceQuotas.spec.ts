import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { WorkspaceQuota } from '@plumstage/records'
import { WorkspaceQuotas } from '@plumstage/serving'
import type { WorkspaceUsage } from '@plumstage/serving'

const QUOTA: WorkspaceQuota = { unit: 'tokens', unitsPerSecond: 1000, burstUnits: 1000, defaultUnits: 200 }
const ALONE = { reachableShare: 1, gateways: 1 }
const REQUEST_UNITS = 50
const REPORT_MILLISECONDS = 1000
const STEP_MILLISECONDS = 10

function use (admittedUnits: number): WorkspaceUsage {
  return { workspace: 'press', admittedUnits, offeredUnitsPerSecond: 0 }
}

/** Gateways of which each asks for a multiple of the quota; returns the units admitted in all. */
function offerLoad (gateways: number, milliseconds: number, hears: boolean): number {
  const quotas = Array.from({ length: gateways }, () => WorkspaceQuotas.create())
  let admitted = 0
  for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
    quotas.forEach(own => { if (own.consume('press', QUOTA, REQUEST_UNITS, { reachableShare: hears ? 1 : 1 / gateways, gateways: hears ? gateways : 1 }, now).kind === 'admitted') admitted += REQUEST_UNITS })
    if (!hears || (now % REPORT_MILLISECONDS !== 0 && !quotas.some(own => own.isReportUrgent))) continue
    quotas.forEach((own, index) => quotas.forEach((other, sender) => {
      if (sender !== index) own.applyReport(`gateway-${sender}`, other.createReport(now), true)
    }))
  }
  return admitted
}

describe('workspace quotas', () => {
  it('binds the sum over gateways that hear each other', () => {
    const admitted = offerLoad(9, 8000, true)
    const allowed = QUOTA.unitsPerSecond * 8 + QUOTA.burstUnits
    assert.ok(admitted <= allowed * 1.1, `${admitted} units`)
    assert.ok(admitted >= QUOTA.unitsPerSecond * 8 * 0.9, `${admitted} units`)
  })

  it('binds the sum over gateways that do not hear each other', () => {
    const admitted = offerLoad(9, 8000, false)
    assert.ok(admitted <= QUOTA.unitsPerSecond * 8 + QUOTA.burstUnits + 9 * REQUEST_UNITS, `${admitted} units`)
  })

  it('gives back the units of a request that did not run, and says when to come back', () => {
    const quotas = WorkspaceQuotas.create()
    quotas.consume('press', QUOTA, 2000, ALONE, 0)
    const refused = quotas.consume('press', QUOTA, 100, ALONE, 0)
    assert.ok(refused.kind === 'exceeded' && refused.retryAfterMilliseconds > 0)
    quotas.refund('press', 2000)
    assert.equal(quotas.consume('press', QUOTA, 100, ALONE, 0).kind, 'admitted')
  })

  it('does not charge a gateway that starts late for what the others used before', () => {
    const quotas = WorkspaceQuotas.create()
    quotas.consume('press', QUOTA, 0, ALONE, 0)
    quotas.applyReport('edge-1/first', [use(500_000)], false)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 100).kind, 'admitted')
    quotas.applyReport('edge-1/first', [use(501_000)], true)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 200).kind, 'exceeded')
  })

  it('counts a gateway that starts again from its new start', () => {
    const quotas = WorkspaceQuotas.create()
    quotas.consume('press', QUOTA, 0, ALONE, 0)
    quotas.applyReport('edge-1/first', [use(400)], true)
    quotas.applyReport('edge-1/second', [use(300)], true)
    assert.equal(quotas.consume('press', QUOTA, 1, ALONE, 0).kind, 'exceeded')
  })
})
