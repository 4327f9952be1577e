import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MAXIMUM_REPORT_BYTES, ReportFitter, RotatingSelection, decodeReport, emptyAggregate } from '@plumstage/serving'
import type { GatewayReport } from '@plumstage/serving'

/** The longest datagram of IPv4. */
const MAXIMUM_DATAGRAM_BYTES = 65_507
const LONG_NAME = 'x'.repeat(500)
const UPSTREAMS = 600
const WORKSPACES = 400
/** Reports within which all that takes turns was told, although each of them holds only some names of this length. */
const REPORTS = 200

function rows<Row> (count: number, create: (index: number) => Row): Row[] {
  return Array.from({ length: count }, (_row, index) => create(index))
}

/** A report in which everything is as long as it can be. */
function createLargeReport (fields: Partial<GatewayReport> = {}): GatewayReport {
  return {
    name: 'edge-1',
    incarnation: 'a1',
    sequence: 5,
    failureDomain: 'east',
    leaving: false,
    configuration: { version: 12, era: 2, revision: 44 },
    upstreams: { era: 3, revision: 68 },
    loads: rows(UPSTREAMS, index => ({ upstream: `${index}-${LONG_NAME}`, requests: index, waitingTokens: 90_000 })),
    uses: rows(WORKSPACES, index => ({ workspace: `${index}-${LONG_NAME}`, admittedUnits: 123_456_789, offeredUnitsPerSecond: 900_000 })),
    windows: rows(2 * WORKSPACES, index => ({ window: 354_409_920 + index % 2, workspace: `${index}-${LONG_NAME}`, requests: 12 })),
    suspicions: rows(40, index => ({ digest: `digest-${index}`, crashes: rows(6, crash => `${crash}-${LONG_NAME}`), cleared: rows(6, crash => `${crash}-${LONG_NAME}`) })),
    partSuspicions: rows(16, part => ({ part, crashes: rows(12, crash => ({ crash, companions: rows(15, index => 4_000_000_000 + index), isTrial: true })), cleared: rows(24, crash => 4_000_000_000 + crash), ageMilliseconds: 1200 })),
    demands: rows(60, index => ({ service: `${index}-${LONG_NAME}`, promptTokensPerSecond: 4000, outputTokensPerSecond: 200, prefillTokensPerSecond: 61_000, prefillSamples: 90 })),
    answers: rows(500, name => ({ name: 4_000_000_000 + name, answers: 1e6, bad: 1e6 })),
    knownAddresses: rows(8, index => `10.1.0.${index}:7600`),
    limits: rows(200, index => ({ upstream: `${index}-${LONG_NAME}`, incarnation: LONG_NAME, requestsPerSecond: 2.5, ageMilliseconds: 300, origin: 2_000_000_000, number: 9 })),
    links: 'working',
    relayed: { gateways: 88, loads: rows(UPSTREAMS, index => ({ upstream: `${index}-${LONG_NAME}`, requests: 20, waitingTokens: 100 })), uses: rows(WORKSPACES, index => ({ workspace: `${index}-${LONG_NAME}`, admittedUnits: 1e9, offeredUnitsPerSecond: 7000 })) },
    ...fields
  }
}

describe('reports of a gateway', () => {
  // Guards against: a report that has grown beyond a datagram is never sent, so that gateways do not hear each other any more.
  it('fit into a datagram, with some of every list and what is needed most', () => {
    const { bytes, leftOut } = ReportFitter.create().encode(createLargeReport())
    assert.ok(bytes.length <= MAXIMUM_REPORT_BYTES && bytes.length < MAXIMUM_DATAGRAM_BYTES, `${bytes.length} bytes`)
    assert.ok(leftOut > 0)
    const report = decodeReport(bytes)._unsafeUnwrap()
    const { loads, uses, windows, suspicions, partSuspicions, demands, answers, limits, relayed } = report
    for (const [name, list] of Object.entries({ loads, uses, windows, suspicions, partSuspicions, demands, answers, limits, relayedLoads: relayed!.loads, relayedUses: relayed!.uses })) assert.ok(list!.length > 0, name)
    assert.equal(suspicions[0].digest, 'digest-0')
    assert.equal(loads[0].requests, UPSTREAMS - 1)
  })

  it('tell all that peers add to what they know within a few messages', () => {
    const fitter = ReportFitter.create()
    const told = { uses: new Set<string>(), windows: new Set<string>(), limits: new Set<string>(), suspicions: new Set<string>() }
    for (let sequence = 0; sequence < REPORTS; sequence++) {
      const report = decodeReport(fitter.encode(createLargeReport({ sequence })).bytes)._unsafeUnwrap()
      for (const { workspace } of report.uses) told.uses.add(workspace)
      for (const { workspace } of report.windows) told.windows.add(workspace)
      for (const { upstream } of report.limits) told.limits.add(upstream)
      for (const { digest } of report.suspicions) told.suspicions.add(digest)
    }
    assert.deepEqual([told.uses.size, told.windows.size, told.limits.size, told.suspicions.size], [WORKSPACES, 2 * WORKSPACES, 200, 40])
  })

  it('are unchanged while they fit', () => {
    const report = createLargeReport({ loads: [], uses: [], windows: [], suspicions: [], demands: [], limits: [], relayed: undefined })
    const { leftOut, bytes } = ReportFitter.create().encode(report)
    assert.deepEqual([leftOut, decodeReport(bytes)._unsafeUnwrap().partSuspicions.length], [0, 16])
  })

  // Guards against: a name that alone is longer than a datagram keeps everything else from being told.
  it('leave out what alone is longer than a datagram', () => {
    const endless = 'y'.repeat(2 * MAXIMUM_DATAGRAM_BYTES)
    const report = createLargeReport({ loads: [{ upstream: endless, requests: 3, waitingTokens: 0 }, { upstream: 'i-1', requests: 1, waitingTokens: 0 }], uses: [{ workspace: endless, admittedUnits: 1, offeredUnitsPerSecond: 1 }, { workspace: 'press', admittedUnits: 1, offeredUnitsPerSecond: 1 }] })
    const decoded = decodeReport(ReportFitter.create().encode(report).bytes)._unsafeUnwrap()
    assert.deepEqual([decoded.loads.map(({ upstream }) => upstream), decoded.uses.map(({ workspace }) => workspace)], [['i-1'], ['press']])
  })

  // Guards against: the sums over many upstreams are not sent at the largest deployments.
  it('fit into a datagram with the sums over 20,000 upstreams, and keep the same workspaces each time', () => {
    const aggregate = emptyAggregate()
    for (let name = 0; name < 20_000; name++) aggregate.loads.set(4_000_000_000 + name, { requests: name, waitingTokens: 4_000_000_000 })
    for (let name = 0; name < 5000; name++) aggregate.usage.set(4_000_000_000 + name, { admittedUnits: 1e12, admittedUnitsPerSecond: 1e9, offeredUnitsPerSecond: 1e9 })
    const round = { root: 'edge-1', number: 3 }
    const fitter = ReportFitter.create()
    const { bytes } = fitter.encode(createLargeReport({ aggregation: { kind: 'total', round, aggregate } }))
    assert.ok(bytes.length <= MAXIMUM_REPORT_BYTES, `${bytes.length} bytes`)
    const step = decodeReport(bytes)._unsafeUnwrap().aggregation
    assert.ok(step?.kind === 'total')
    assert.ok(step.aggregate.loads.has(4_000_019_999) && !step.aggregate.loads.has(4_000_000_000))
    const usage = [...step.aggregate.usage.keys()]
    aggregate.usage.set(4_100_000_000, { admittedUnits: 1e14, admittedUnitsPerSecond: 1, offeredUnitsPerSecond: 1 })
    const next = decodeReport(fitter.encode(createLargeReport({ aggregation: { kind: 'total', round, aggregate } })).bytes)._unsafeUnwrap().aggregation
    assert.ok(next?.kind === 'total')
    assert.deepEqual([...next.aggregate.usage.keys()], usage)
  })
})

describe('a rotating selection', () => {
  it('selects the first items each time and the others in turn', () => {
    const selection = RotatingSelection.create<number>(() => 10)
    const items = rows(10, index => index)
    const selected = rows(4, turn => selection.select(items, 40, turn))
    for (const numbers of selected) assert.deepEqual(numbers.slice(0, 2), [0, 1])
    assert.deepEqual(new Set(selected.flat()), new Set(items))
  })

  // Guards against: a peer always gets the same part of a list, because the other peers get the next parts of it.
  it('selects the same items for all recipients of one message', () => {
    const selection = RotatingSelection.create<number>(() => 10)
    const items = rows(10, index => index)
    const told = rows(4, () => new Set<number>())
    for (let turn = 0; turn < 4; turn++) for (const recipient of told) for (const item of selection.select(items, 40, turn)) recipient.add(item)
    for (const recipient of told) assert.equal(recipient.size, items.length)
  })
})
