import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ok } from 'neverthrow'
import { CallContext, Instrumentation, VirtualClock } from '@plumstage/common'
import type { DutyTask, KeyValueService, KeyValueTransaction } from '@plumstage/coordination'
import { UsageLedger, UsageReportTask } from '@plumstage/serving'
import type { Cloud } from '@plumstage/serving'

const WINDOW_MILLISECONDS = 1000
const STEP_MILLISECONDS = 100

/** A task of the holder before a store that has no counts, and the reports that it sent, by window. */
function createTask (): { task: UsageReportTask, clock: VirtualClock, ledger: UsageLedger, reports: Map<number, Record<string, number>> } {
  const clock = VirtualClock.create()
  const ledger = UsageLedger.create(WINDOW_MILLISECONDS)
  const reports = new Map<number, Record<string, number>>()
  const store = {
    era: 2,
    grantLease: async () => ok({ id: 1n, timeToLiveSeconds: 300 }),
    keepLeaseAlive: async () => ok({ id: 1n, timeToLiveSeconds: 300 }),
    transact: async (_context: CallContext, _transaction: KeyValueTransaction) => ok({ succeeded: true, era: 2, revision: 1, entries: [] })
  } as unknown as KeyValueService
  const cloud = { reportUsage: async (_context: CallContext, _holder: unknown, { window, counts }: { window: number, counts: Map<string, number> }) => { reports.set(window, Object.fromEntries(counts)); return ok('accepted') } } as unknown as Cloud
  const duty = { getHeldDuty: () => ({ lease: 1n, fencingNumber: 1, deadline: 0 }), abandon: () => {} } as unknown as DutyTask
  const task = UsageReportTask.create({ duty, holder: 'edge-1', cloud, store, ledger, keyOf: window => `usage/${window}`, windowOf: key => Number(key.split('/')[1]), delayMilliseconds: () => 60_000, clock, timeOfDay: () => clock.now(), instrumentation: Instrumentation.create('edge-1', 'run', clock) })
  return { task, clock, ledger, reports }
}

async function run (task: UsageReportTask, clock: VirtualClock, until: number): Promise<void> {
  const context = CallContext.create(clock)
  void task.run(context)
  while (clock.now() < until) {
    await new Promise(resolve => setImmediate(resolve))
    clock.advanceTo(clock.now() + STEP_MILLISECONDS)
  }
  context.cancel('shutdown')
}

describe('usage reports after the store came back from a copy', () => {
  // Guards against: two reports of one window with different counts, because the store lost those that were sent.
  it('reports the counts of a window that the store has lost as they were written before', async () => {
    const { task, clock, ledger, reports } = createTask()
    ledger.record('press', 100)
    task.onSnapshot([], { era: 1, revision: 5 })
    task.onChanges([{ kind: 'put', entry: { key: 'usage/0', value: '{"press":7}', createRevision: 6, modRevision: 6 } }])
    task.onSnapshot([], { era: 2, revision: 4 })
    await run(task, clock, 4000)
    assert.deepEqual(reports.get(0), { press: 7 })
  })

  it('leaves out a window that may have been reported before the return with counts that are not known here', async () => {
    const { task, clock, ledger, reports } = createTask()
    ledger.record('press', 100)
    task.onSnapshot([], { era: 1, revision: 5 })
    clock.advanceTo(2600)
    task.onSnapshot([], { era: 2, revision: 4 })
    ledger.record('press', 2700)
    await run(task, clock, 6000)
    assert.equal(reports.has(0), false)
    assert.deepEqual(reports.get(2), { press: 1 })
  })
})
