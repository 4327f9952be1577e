import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BackgroundTasks, CallContext, Instrumentation, SeededRandom, VirtualClock } from '@plumstage/common'
import { KeyValueError, WholeEntries } from '@plumstage/coordination'
import type { KeyValueService, KeyValueWatchBatch } from '@plumstage/coordination'
import { DeploymentAdapter } from '@plumstage/platform'
import { AppliedPosition, DeploymentTask, DeploymentView, StoreContact } from '@plumstage/serving'

const CHANGES = 200
const CHANGE_INTERVAL_MILLISECONDS = 10
const SECOND = 1000

/** A store whose entries change continuously; counts the watch responses that a gateway requests. */
function createBusyStore (clock: VirtualClock, isKept = true): { service: KeyValueService, calls: () => number } {
  let calls = 0
  async function * watch (context: CallContext): AsyncGenerator<Result<KeyValueWatchBatch, KeyValueError>> {
    for (let revision = 2; !context.cancelled; revision = Math.floor(clock.now() / CHANGE_INTERVAL_MILLISECONDS) + 2) {
      calls++
      yield ok({ era: 1, revision, changes: isKept ? [{ kind: 'delete', key: `other/${revision}`, modRevision: revision }] : [] })
    }
  }
  const service = { list: async () => ok({ era: 1, revision: 1, entries: [] }), watch } as unknown as KeyValueService
  return { service, calls: () => calls }
}

/** Returns the number of watch responses per second that one gateway requests while entries change continuously; `isKept` says whether it keeps anything of them. */
async function measureCallRate (gateways: number, isKept = true): Promise<number> {
  const clock = VirtualClock.create()
  const store = createBusyStore(clock, isKept)
  const context = CallContext.create(clock)
  const instrumentation = Instrumentation.create('edge-1', 'run', clock)
  const task = DeploymentTask.create({
    store: store.service,
    view: DeploymentView.create(DeploymentAdapter.create()),
    clock,
    random: SeededRandom.create(1),
    instrumentation,
    tasks: BackgroundTasks.create(clock, instrumentation),
    applied: AppliedPosition.create(),
    contact: StoreContact.create(),
    createSelection: () => WholeEntries.create(),
    observers: [],
    countGateways: () => gateways,
    onChange: () => {}
  })
  void task.run(context)
  for (let change = 0; change < CHANGES; change++) {
    await new Promise(resolve => setImmediate(resolve))
    clock.advanceTo(clock.now() + CHANGE_INTERVAL_MILLISECONDS)
  }
  context.cancel('shutdown')
  return store.calls() / (CHANGES * CHANGE_INTERVAL_MILLISECONDS / SECOND)
}

describe('deployment task', () => {
  // Guards against: an entry that one observer can't handle keeps the gateway from following the store.
  it('informs all observers, and goes on, when one of them fails', async () => {
    const clock = VirtualClock.create()
    const store = createBusyStore(clock)
    const context = CallContext.create(clock)
    const instrumentation = Instrumentation.create('edge-1', 'run', clock)
    let informed = 0
    const fail = (): never => { throw new Error('no') }
    const count = (): void => { informed++ }
    const task = DeploymentTask.create({
      store: store.service,
      view: DeploymentView.create(DeploymentAdapter.create()),
      clock,
      random: SeededRandom.create(1),
      instrumentation,
      tasks: BackgroundTasks.create(clock, instrumentation),
      applied: AppliedPosition.create(),
      contact: StoreContact.create(),
      createSelection: () => WholeEntries.create(),
      observers: [{ onSnapshot: fail, onChanges: fail }, { onSnapshot: count, onChanges: count }],
      countGateways: () => 1,
      onChange: () => {}
    })
    void task.run(context)
    for (let change = 0; change < 10; change++) {
      await new Promise(resolve => setImmediate(resolve))
      clock.advanceTo(clock.now() + CHANGE_INTERVAL_MILLISECONDS * 2)
    }
    context.cancel('shutdown')
    assert.ok(informed > 5, `${informed} times`)
    assert.equal(task.isFollowingStore, true)
  })

  // Guards against: a gateway counts as cut off from the store, and pauses, although no call has failed.
  it('goes on at once after a watch that was interrupted without a failed call', async () => {
    const clock = VirtualClock.create()
    const { service } = createBusyStore(clock)
    const context = CallContext.create(clock)
    const instrumentation = Instrumentation.create('edge-1', 'run', clock)
    const kinds: string[] = []
    instrumentation.addListener(({ kind }) => kinds.push(kind))
    let watches = 0
    const interrupted = async function * (...parameters: Parameters<KeyValueService['watch']>): AsyncGenerator<Result<KeyValueWatchBatch, KeyValueError>> {
      watches++
      if (watches <= 3) yield err(KeyValueError.create('interrupted', 'A connection has ended.'))
      else yield * service.watch(...parameters)
    }
    const task = DeploymentTask.create({
      store: { ...service, watch: interrupted },
      view: DeploymentView.create(DeploymentAdapter.create()),
      clock,
      random: SeededRandom.create(1),
      instrumentation,
      tasks: BackgroundTasks.create(clock, instrumentation),
      applied: AppliedPosition.create(),
      contact: StoreContact.create(),
      createSelection: () => WholeEntries.create(),
      observers: [],
      countGateways: () => 1,
      onChange: () => {}
    })
    void task.run(context)
    for (let turn = 0; turn < 10; turn++) {
      await new Promise(resolve => setImmediate(resolve))
      clock.advanceTo(clock.now())
    }
    context.cancel('shutdown')
    assert.ok(watches > 3, `${watches} watches`)
    assert.deepEqual(kinds.filter(kind => kind === 'store-lost'), [])
  })

  it('batches changes for longer the more gateways there are, so that the total number of calls stays bounded', async () => {
    assert.ok(await measureCallRate(9) <= 11)
    assert.ok(await measureCallRate(72) <= 2)
  })

  // Guards against: changes of which a gateway keeps nothing, such as archives of streams, make all gateways call the store for each of them.
  it('batches changes of which nothing is kept as well', async () => {
    assert.ok(await measureCallRate(72, false) <= 2)
  })
})
