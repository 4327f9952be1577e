import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BackgroundTasks, CallContext, Instrumentation, SeededRandom, VirtualClock, setLogLevel } from '@plumstage/common'
import { KeyValueError, WholeEntries } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueEntry, KeyValueService, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'
import { Configuration } from '@plumstage/records'
import { AppliedPosition, DeploymentTask, DeploymentView, StoreContact } from '@plumstage/serving'
import type { DeploymentDecoder } from '@plumstage/serving'

setLogLevel('silent')

const STEP_MILLISECONDS = 300
const ERA = 0

const DECODER = {
  classify: (key: string) => key === 'configuration' ? { kind: 'configuration' } : key.startsWith('other/') ? { kind: 'other' } : { kind: 'upstream', id: key },
  decodeConfiguration: (value: string, revision: number) => ok({ configuration: Configuration.create(revision, []), version: Number(value) }),
  decodeUpstream: (id: string, value: string) => ok({ id, incarnation: '1', service: 'front', address: '10.0.0.1:80', failureDomain: 'east', capacity: 1, state: value === 'leaving' ? 'leaving' : 'ready', reclaimable: false, warmupMilliseconds: 0 })
} as unknown as DeploymentDecoder

/** A store that states no era, whose history can be cut back and whose watches can be cut. */
class HistoryStore {
  revision = 0
  lists = 0
  leaseInvalidations = 0
  /** Whether a watch from a revision that was not given out yet is refused; it waits otherwise. */
  refusesLaterWatches = true
  private _changes: KeyValueChange[] = []
  private _cuts = 0
  private _endedWaits = 0
  private readonly _waiting = new Set<() => void>()

  put (key: string, value: string): void {
    this._append({ kind: 'put', entry: { key, value, createRevision: this.revision + 1, modRevision: this.revision + 1 } })
  }

  remove (key: string): void {
    this._append({ kind: 'delete', key, modRevision: this.revision + 1 })
  }

  /** Comes back from a copy as it was at a revision; connections are lost unless `keepsConnections` is set. */
  restore (revision: number, keepsConnections = false): void {
    this._changes = this._changes.slice(0, revision)
    this.revision = revision
    if (!keepsConnections) this.cut()
  }

  invalidateLeases (): void {
    this.leaseInvalidations++
  }

  cut (): void {
    this._cuts++
    this._wake()
  }

  list: KeyValueService['list'] = async () => {
    this.lists++
    const entries = new Map<string, KeyValueEntry>()
    for (const change of this._changes) {
      if (change.kind === 'put') entries.set(change.entry.key, change.entry)
      else entries.delete(change.key)
    }
    return ok({ era: ERA, revision: this.revision, entries: [...entries.values()] })
  }

  async * watch (context: CallContext, _prefix: string, start: StorePosition): AsyncGenerator<Result<KeyValueWatchBatch, KeyValueError>> {
    const cuts = this._cuts
    let endedWaits = this._endedWaits
    let after = start.revision - 1
    while (!context.cancelled) {
      if (cuts !== this._cuts) return void (yield err(KeyValueError.create('ambiguous', 'The connection was closed.')))
      if (after > this.revision && this.refusesLaterWatches) return void (yield err(KeyValueError.create('compacted', 'The history is gone.')))
      const changes = this._changes.slice(after)
      if (changes.length === 0 && endedWaits === this._endedWaits) {
        await new Promise<void>(resolve => this._waiting.add(resolve))
        continue
      }
      endedWaits = this._endedWaits
      yield ok({ era: ERA, revision: this.revision, changes })
      after = this.revision
    }
  }

  /** Ends the wait of all watches, as after their time. */
  endWaits (): void {
    this._endedWaits++
    this._wake()
  }

  private _append (change: KeyValueChange): void {
    this.revision++
    this._changes.push(change)
    this._wake()
  }

  private _wake (): void {
    for (const resolve of this._waiting) resolve()
    this._waiting.clear()
  }
}

function create () {
  const clock = VirtualClock.create()
  const store = new HistoryStore()
  const view = DeploymentView.create(DECODER)
  const context = CallContext.create(clock)
  const instrumentation = Instrumentation.create('edge-1', 'run', clock)
  const task = DeploymentTask.create({
    store: store as unknown as KeyValueService,
    view,
    clock,
    random: SeededRandom.create(1),
    instrumentation,
    tasks: BackgroundTasks.create(clock, instrumentation),
    applied: AppliedPosition.create(),
    contact: StoreContact.create(),
    createSelection: () => WholeEntries.create(),
    observers: [],
    countGateways: () => 4,
    onChange: () => {}
  })
  /** Lets all calls end that are due within some steps of time. */
  const settle = async (steps = 4): Promise<void> => {
    for (let step = 0; step < steps; step++) {
      for (let turn = 0; turn < 10; turn++) await new Promise(resolve => setImmediate(resolve))
      clock.advanceTo(clock.now() + STEP_MILLISECONDS)
    }
  }
  const start = async (): Promise<void> => {
    void task.run(context)
    await settle()
  }
  return { store, view, clock, settle, start, stop: () => context.cancel('shutdown') }
}

/** Starts with version 10 and two upstreams, and some more changes; returns the revision before those. */
async function createFollower () {
  const follower = create()
  const { store } = follower
  store.put('configuration', '10')
  store.put('a', 'ready')
  store.put('b', 'ready')
  const copied = store.revision
  for (let change = 0; change < 5; change++) store.put('other/key', String(change))
  await follower.start()
  store.put('configuration', '12')
  await follower.settle()
  return { ...follower, copied }
}

function stateOf (view: DeploymentView, id: string): string | undefined {
  return view.listUpstreams().find(upstream => upstream.id === id)?.state
}

describe('following a store that states no era', () => {
  // Guards against: versions and upstreams' states written after the return are ignored because the revisions have gone back.
  it('CONFIG: a version written after an unstated return is in force at a lower revision', async () => {
    const { store, view, settle, copied, stop } = await createFollower()
    store.restore(copied)
    await settle()
    assert.equal(view.configurationPosition?.version, 12, 'the copy holds an older version')
    assert.equal(store.leaseInvalidations, 1)
    store.put('a', 'leaving')
    store.put('configuration', '13')
    await settle()
    stop()
    assert.equal(view.configurationPosition?.version, 13)
    assert.equal(stateOf(view, 'a'), 'leaving')
  })

  // Guards against: a watch goes on from a revision that the store has passed again, and what was written before it is never read.
  it('CONFIG: what is written under revisions that were given out again is read after an interruption', async () => {
    const { store, view, settle, copied, stop } = await createFollower()
    const known = store.revision
    store.restore(copied)
    store.put('configuration', '13')
    store.put('a', 'leaving')
    while (store.revision < known + 3) store.put('other/key', 'again')
    await settle()
    stop()
    assert.equal(view.configurationPosition?.version, 13)
    assert.equal(stateOf(view, 'a'), 'leaving')
  })

  // Guards against: a watch waits at a revision that the store has lost, on a connection that still works.
  it('CONFIG: a return is noticed at the end of a wait when neither a call nor a connection fails', async () => {
    const { store, view, settle, copied, stop } = await createFollower()
    store.refusesLaterWatches = false
    store.restore(copied, true)
    store.put('configuration', '13')
    await settle()
    store.endWaits()
    await settle()
    stop()
    assert.equal(view.configurationPosition?.version, 13)
  })

  // Guards against: a lost version that is written again at a higher revision replaces a later one that is in force.
  it('CONFIG: versions that are written again in order after an unstated return do not revert the one in force', async () => {
    const { store, view, settle, copied, stop } = await createFollower()
    store.restore(copied)
    await settle()
    while (store.revision < 20) store.put('other/key', 'again')
    store.put('configuration', '11')
    await settle()
    stop()
    assert.equal(view.configurationPosition?.version, 12)
  })

  // Guards against: a harmless interruption is taken for a return, and all entries are read over and over.
  it('CONFIG: interrupted watches are continued without a snapshot while nothing was lost', async () => {
    const { store, view, settle, stop } = await createFollower()
    for (let round = 0; round < 6; round++) {
      store.cut()
      await settle()
      if (round % 3 === 0) store.put('configuration', String(20 + round))
      if (round % 3 === 1) store.remove('b')
      if (round % 3 === 2) store.put('b', 'ready')
      store.cut()
      await settle()
    }
    stop()
    assert.equal(store.lists, 1)
    assert.equal(store.leaseInvalidations, 0)
    assert.equal(view.configurationPosition?.version, 23)
    assert.equal(stateOf(view, 'b'), 'ready')
  })
})
