import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CallContext, Instrumentation, SeededRandom, VirtualClock } from '@plumstage/common'
import { KeyValueError } from '@plumstage/coordination'
import type { KeyValueService, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'
import { DeploymentAdapter } from '@plumstage/platform'
import { DeploymentTask, DeploymentView } from '@plumstage/serving'

const CHANGES = 200
const CHANGE_INTERVAL_MILLISECONDS = 10
const SECOND = 1000
const TICK_MILLISECONDS = 50
/** After an answer is overdue by this, its connection counts as lost. */
const SILENCE_MARGIN_MILLISECONDS = 800

/** A store in which entries below one prefix change continuously; counts the watch responses that a gateway requests for it. */
function createBusyStore (clock: VirtualClock, busyPrefix: string): { service: KeyValueService, calls: () => number } {
  let calls = 0
  async function * watch (context: CallContext, prefix: string, _start: StorePosition, waitMilliseconds: () => number): AsyncGenerator<Result<KeyValueWatchBatch, KeyValueError>> {
    for (let revision = 2; !context.cancelled; revision = Math.floor(clock.now() / CHANGE_INTERVAL_MILLISECONDS) + 2) {
      if (prefix === busyPrefix) calls++
      if (prefix !== busyPrefix) await context.sleepUntil(clock.now() + waitMilliseconds())
      yield ok({ era: 1, revision, changes: prefix === busyPrefix ? [{ kind: 'delete', key: `${prefix}${revision}`, modRevision: revision }] : [] })
    }
  }
  const service = { list: async () => ok({ era: 1, revision: 1, entries: [] }), watch } as unknown as KeyValueService
  return { service, calls: () => calls }
}

/** Returns the number of watch responses per second that one gateway requests while entries below a prefix change continuously. */
async function measureCallRate (gateways: number, busyPrefix: string): Promise<number> {
  const clock = VirtualClock.create()
  const store = createBusyStore(clock, busyPrefix)
  const context = CallContext.create(clock)
  const task = DeploymentTask.create({
    store: store.service,
    view: DeploymentView.create(DeploymentAdapter.create()),
    clock,
    random: SeededRandom.create(1),
    instrumentation: Instrumentation.create('edge-1', 'run', clock),
    observers: [],
    gatewaysPrefix: 'gateways/',
    countGateways: () => gateways,
    isLookout: () => true,
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

/** A store without changes that answers watches when their wait is over; `silentAfter` is when their connections go silent. */
function createCalmStore (clock: VirtualClock, silentAfter = Number.POSITIVE_INFINITY): { service: KeyValueService, calls: () => number, waits: number[] } {
  let calls = 0
  const waits: number[] = []
  async function * watch (context: CallContext, _prefix: string, start: StorePosition, waitMilliseconds: () => number): AsyncGenerator<Result<KeyValueWatchBatch, KeyValueError>> {
    while (!context.cancelled) {
      calls++
      const wait = waitMilliseconds()
      waits.push(wait)
      const isSilent = clock.now() + wait > silentAfter && clock.now() < silentAfter
      await context.sleepUntil(clock.now() + wait + (isSilent ? SILENCE_MARGIN_MILLISECONDS : 0))
      yield isSilent ? err(KeyValueError.create('ambiguous', 'silent')) : ok({ era: 1, revision: start.revision - 1, changes: [] })
      if (isSilent) return
    }
  }
  const service = { list: async () => ok({ era: 1, revision: 1, entries: [] }), watch } as unknown as KeyValueService
  return { service, calls: () => calls, waits }
}

/** Follows a store for a while; returns the task. */
async function follow (service: KeyValueService, clock: VirtualClock, isLookout: boolean, milliseconds: number, onTick: (task: DeploymentTask) => void = () => {}): Promise<DeploymentTask> {
  const context = CallContext.create(clock)
  const task = DeploymentTask.create({
    store: service,
    view: DeploymentView.create(DeploymentAdapter.create()),
    clock,
    random: SeededRandom.create(1),
    instrumentation: Instrumentation.create('edge-1', 'run', clock),
    observers: [],
    gatewaysPrefix: 'gateways/',
    countGateways: () => 85,
    isLookout: () => isLookout,
    onChange: () => {}
  })
  void task.run(context)
  for (const until = clock.now() + milliseconds; clock.now() < until;) {
    await new Promise(resolve => setImmediate(resolve))
    onTick(task)
    clock.advanceTo(clock.now() + TICK_MILLISECONDS)
  }
  context.cancel('shutdown')
  return task
}

describe('deployment task', () => {
  // Guards against: the calls of a calm day grow with the number of gateways as if each had to find out alone that the store is silent.
  it('of 85 gateways on a calm day, all but the lookouts call the store less than once in three seconds', async () => {
    const clock = VirtualClock.create()
    const store = createCalmStore(clock)
    await follow(store.service, clock, false, 60 * SECOND)
    assert.ok(store.calls() <= 20, `${store.calls()} calls in a minute`)
  })

  it('a lookout finds out that its connections are silent within the time for a configuration to be in force', async () => {
    const clock = VirtualClock.create()
    const store = createCalmStore(clock, 11 * SECOND)
    let lostAt = 0
    await follow(store.service, clock, true, 20 * SECOND, task => { if (!task.isFollowingStore && clock.now() > SECOND && lostAt === 0) lostAt = clock.now() })
    assert.ok(lostAt > 0 && lostAt <= 14.3 * SECOND, `found out at ${lostAt} ms`)
  })

  // Guards against: after an outage, a gateway takes itself for cut off until the store has answered a long wait.
  it('notices the return of the store soon although watches wait long', async () => {
    const clock = VirtualClock.create()
    const store = createCalmStore(clock, 11 * SECOND)
    let lostAt = 0
    let regainedAt = 0
    await follow(store.service, clock, false, 40 * SECOND, task => {
      if (!task.isFollowingStore && clock.now() > SECOND) lostAt = clock.now()
      else if (lostAt > 0 && regainedAt === 0) regainedAt = clock.now()
    })
    assert.ok(regainedAt - lostAt <= SECOND && regainedAt > 0, `lost until ${lostAt}, followed again from ${regainedAt}`)
    assert.ok(store.waits.includes(250))
  })

  it('batches changes for longer the more gateways there are, so that the total number of calls stays bounded', async () => {
    for (const prefix of ['op/', 'servers/', 'gateways/']) {
      assert.ok(await measureCallRate(9, prefix) <= 11)
      assert.ok(await measureCallRate(72, prefix) <= 2)
    }
  })

  // Guards against: entries that only few gateways read, such as the origins of streams, cost a call of each gateway.
  it('makes no calls for changes that it does not follow', async () => {
    assert.equal(await measureCallRate(72, 'elsewhere/'), 0)
  })
})
