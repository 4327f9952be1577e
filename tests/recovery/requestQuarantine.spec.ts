import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { RequestQuarantine, decodeReport, encodeReport } from '@plumstage/serving'
import type { GatewayReport, ReportedSuspicion } from '@plumstage/serving'

const SECOND = 1000
const STEP_MILLISECONDS = 50
const REPORT_MILLISECONDS = 500
const CONTACT_MILLISECONDS = 3000
/** Trials of a request that crashes upstreams, later than the gateways are in touch after its third crash. */
const MAXIMUM_LATE_ARRIVALS = 3
const RETENTION_MILLISECONDS = 30 * 60 * SECOND
const EMPTY_REPORT: GatewayReport = { name: 'edge-1', incarnation: 'a', sequence: 1, failureDomain: 'east', leaving: false, configuration: undefined, upstreams: { era: 1, revision: 1 }, loads: [], uses: [], windows: [], suspicions: [], partSuspicions: [], demands: [], knownAddresses: [], limits: [], links: 'working' }

/** Returns suspicions as a peer reads them. */
function overTheWire (suspicions: ReportedSuspicion[]): ReportedSuspicion[] {
  return decodeReport(encodeReport({ ...EMPTY_REPORT, suspicions }))._unsafeUnwrap().suspicions
}

function crash (name: string, progress = 0, isTrial = false): { crash: string, progress: number, hasBegun: boolean, isTrial: boolean } {
  return { crash: name, progress, hasBegun: progress > 0, isTrial }
}

/** Gateways that report to each other. */
class Gateways {
  readonly tables: RequestQuarantine[]
  private _nextReportAt = 0

  constructor (count: number) {
    this.tables = Array.from({ length: count }, (_table, rank) => RequestQuarantine.create(() => rank))
  }

  advance (now: number): void {
    if (now < this._nextReportAt && !this.tables.some(table => table.isReportUrgent)) return
    this._nextReportAt = now + REPORT_MILLISECONDS
    const reports = this.tables.map(table => overTheWire(table.createReport(now)))
    this.tables.forEach((table, recipient) => reports.forEach((report, sender) => { if (sender !== recipient) table.applyReport(report, now) }))
  }
}

/** A stream of one user. */
interface Run {
  upstream: number
  startedAt: number
  isTrial: boolean
  progress: number
}

interface Load {
  upstreams: number
  digests: number
  usersPerDigest: number
  /** Upstreams that crash together, and when. */
  crashes: Array<{ at: number, upstreams: number[] }>
}

const GATEWAYS = 4
const EVENTS = 60
const EVENT_MILLISECONDS = 110
const FIRST_EVENT_MILLISECONDS = 400
const PAUSE_MILLISECONDS = 500
const DOWN_MILLISECONDS = 1500

/** Counts the requests of users that are refused in the calm from 10 s to 30 s after the last crash. */
function playSoundRequests ({ upstreams, digests, usersPerDigest, crashes }: Load): { asked: number, refused: number } {
  const gateways = new Gateways(GATEWAYS)
  const random = SeededRandom.create(68)
  const users = Array.from({ length: digests * usersPerDigest }, (_user, index) => ({ digest: `digest-${index % digests}`, table: gateways.tables[Math.floor(index / digests) % GATEWAYS], nextAt: random.nextInteger(0, 6 * SECOND), run: undefined as Run | undefined }))
  const incarnations = Array.from({ length: upstreams }, () => 0)
  const upAgainAt = Array.from({ length: upstreams }, () => 0)
  const lastCrashAt = Math.max(...crashes.map(({ at }) => at))
  const counts = { asked: 0, refused: 0 }
  const waiting = [...crashes]
  for (let now = 0; now < lastCrashAt + 30 * SECOND; now += STEP_MILLISECONDS) {
    while (waiting.length > 0 && waiting[0].at <= now) {
      for (const upstream of waiting.shift()!.upstreams) {
        const name = `i-${upstream}-${incarnations[upstream]++}`
        upAgainAt[upstream] = now + DOWN_MILLISECONDS
        for (const user of users) {
          if (user.run?.upstream !== upstream) continue
          user.table.recordCrash(user.digest, crash(name, user.run.progress, user.run.isTrial), now)
          if (user.run.isTrial) user.table.endTrial(user.digest, now)
          user.run = undefined
          user.nextAt = now + PAUSE_MILLISECONDS
        }
      }
    }
    for (const user of users) {
      if (user.run) {
        const progress = Math.floor((now - user.run.startedAt - FIRST_EVENT_MILLISECONDS) / EVENT_MILLISECONDS) + 1
        if (progress > user.run.progress) user.table.recordProgress(user.digest, user.run.progress = progress, now)
        if (progress < EVENTS) continue
        user.table.recordFinished(user.digest, now)
        if (user.run.isTrial) user.table.endTrial(user.digest, now)
        user.run = undefined
        user.nextAt = now + PAUSE_MILLISECONDS
      } else if (now >= user.nextAt) {
        const { kind } = user.table.decide(user.digest, now)
        const isCounted = now >= lastCrashAt + 10 * SECOND
        if (isCounted) counts.asked++
        if (isCounted && kind === 'refused') counts.refused++
        user.nextAt = now + PAUSE_MILLISECONDS
        if (kind === 'refused') continue
        const up = incarnations.map((_run, upstream) => upstream).filter(upstream => upAgainAt[upstream] <= now)
        if (up.length === 0) continue
        if (kind === 'trial') user.table.beginTrial(user.digest)
        user.run = { upstream: random.pick(up)!, startedAt: now, isTrial: kind === 'trial', progress: 0 }
      }
    }
    gateways.advance(now)
  }
  return counts
}

function crashEach (milliseconds: number, count: number, upstreams: number, together = 1): Load['crashes'] {
  return Array.from({ length: count }, (_crash, index) => ({ at: 10 * SECOND + index * milliseconds, upstreams: Array.from({ length: together }, (_upstream, place) => (index * together + place) % upstreams) }))
}

describe('requests during which upstreams crash', () => {
  it('are refused after three crashes before they had begun, and accepted again once one finishes', () => {
    const table = RequestQuarantine.create(() => 0)
    for (const name of ['a', 'b']) table.recordCrash('d', crash(name), 0)
    assert.equal(table.decide('d', 0).kind, 'accepted')
    table.recordCrash('d', crash('c'), 0)
    assert.equal(table.decide('d', 0).kind, 'refused')
    table.recordFinished('d', 10)
    assert.equal(table.decide('d', 10).kind, 'accepted')
  })

  it('are cleared of the crashes beyond which one got elsewhere, and of no others', () => {
    const table = RequestQuarantine.create(() => 0)
    for (const name of ['a', 'b', 'c']) table.recordCrash('d', crash(name), 0)
    table.recordProgress('d', 1, 1)
    assert.equal(table.decide('d', 1).kind, 'accepted')
    for (const name of ['e', 'f', 'g', 'h', 'i', 'j']) table.recordCrash('d', crash(name, 20), 2)
    table.recordProgress('d', 20, 3)
    assert.equal(table.decide('d', 3).kind, 'refused', 'it crashes upstreams at its twentieth event')
  })

  it('are forgotten after half an hour without a crash', () => {
    const table = RequestQuarantine.create(() => 100_000)
    for (const name of ['a', 'b', 'c']) table.recordCrash('d', crash(name), 0)
    assert.equal(table.decide('d', RETENTION_MILLISECONDS - 1).kind, 'refused')
    assert.equal(table.decide('d', RETENTION_MILLISECONDS).kind, 'accepted')
  })

  // Guards against: trials that go on, or that several gateways send at the same time, take ever more upstreams.
  it('BUDGET: reach upstreams in few trials over all gateways, if they do crash them', () => {
    const gateways = new Gateways(GATEWAYS)
    let crashes = 0
    let thirdAt = Number.POSITIVE_INFINITY
    let lateArrivals = 0
    for (let now = 0; now < RETENTION_MILLISECONDS; now += STEP_MILLISECONDS) {
      if (now % (1500) === 0) {
        const table = gateways.tables[Math.floor(now / 1500) % GATEWAYS]
        const { kind } = table.decide('d', now)
        if (kind === 'trial') table.beginTrial('d')
        if (kind !== 'refused') {
          if (now > thirdAt + CONTACT_MILLISECONDS) lateArrivals++
          table.recordCrash('d', crash(`i-${crashes++}`, 0, kind === 'trial'), now)
          if (kind === 'trial') table.endTrial('d', now)
          if (crashes === 3) thirdAt = now
        }
      }
      gateways.advance(now)
    }
    assert.ok(lateArrivals <= MAXIMUM_LATE_ARRIVALS, `${lateArrivals} late arrivals`)
    assert.ok(crashes >= 4, 'it was tried at least once')
  })

  // Guards against: what many users ask in the same words stays refused long after the last crash.
  for (const [name, load] of Object.entries({
    '38 crashes one after the other': { upstreams: 6, digests: 40, usersPerDigest: 12, crashes: crashEach(1500, 38, 6) },
    '24 crashes, so fast that no upstream lives as long as a request takes': { upstreams: 6, digests: 40, usersPerDigest: 12, crashes: crashEach(800, 24, 6) },
    'two upstreams at the same moment, four times, under requests of two users each': { upstreams: 12, digests: 240, usersPerDigest: 2, crashes: crashEach(5000, 4, 12, 2) }
  })) {
    it(`are not refused 10 s after the last crash, if they are sound: ${name}`, () => {
      const { asked, refused } = playSoundRequests(load)
      assert.ok(asked > 1000, `${asked} asked`)
      assert.equal(refused, 0, `${refused} of ${asked}`)
    })
  }

  it('are known in the same way whatever the order in which reports arrive, and to a gateway of an earlier release', () => {
    const reporting = RequestQuarantine.create(() => 0)
    for (const name of ['a', 'b', 'c', 'd']) reporting.recordCrash('d', crash(name, name === 'd' ? 7 : 0), 0)
    const first = overTheWire(reporting.createReport(0))
    reporting.recordProgress('d', 3, 1)
    const second = overTheWire(reporting.createReport(1))
    for (const order of [[first, second], [second, first], [first, second, first]]) {
      const table = RequestQuarantine.create(() => 0)
      for (const report of order) table.applyReport(report, 2)
      const [{ crashes, progress, begun }] = table.createReport(2)
      assert.deepEqual([table.decide('d', 2).kind, crashes, progress, begun], ['accepted', ['d'], [7], [true]])
    }
    const earlier = RequestQuarantine.create(() => 0)
    earlier.applyReport([{ digest: 'd', crashes: ['a', 'b', 'c'], cleared: [] }], 0)
    assert.equal(earlier.decide('d', 0).kind, 'refused')
  })

  // Guards against: peers are not told of the newest crashes, because older ones fill the report.
  it('are reported in the order of their last changes, with no more crashes than needed', () => {
    const table = RequestQuarantine.create(() => 0)
    for (let index = 0; index < 30; index++) for (const digest of ['a', 'b', 'c']) table.recordCrash(digest, crash(`i-${index}`), index)
    table.recordCrash('a', crash('i-30'), 40)
    const [first] = table.createReport(40)
    assert.deepEqual([first.digest, first.crashes[0]], ['a', 'i-30'])
    assert.ok(first.crashes.length >= 3 && first.crashes.length <= 10)
  })

  // Guards against: a sound request counts as suspected of old crashes again, because it was cleared of many others since.
  it('stay cleared of a crash, however many others they are cleared of', () => {
    const table = RequestQuarantine.create(() => 0)
    for (const name of ['a', 'b', 'c']) table.recordCrash('d', crash(name), 0)
    table.recordFinished('d', 0)
    for (let index = 0; index < 100; index++) table.applyReport([{ digest: 'd', crashes: [], cleared: [`i-${index}`] }], 1)
    assert.deepEqual([table.decide('d', 1).kind, table.isSuspected('d')], ['accepted', false])
  })
})
