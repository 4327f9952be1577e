import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ok } from 'neverthrow'
import { CallContext, Instrumentation, SeededRandom, VirtualClock } from '@plumstage/common'
import type { DutyTask } from '@plumstage/coordination'
import { StoreKeys, UsageLedger, UsageReportTask } from '@plumstage/serving'
import type { Cloud } from '@plumstage/serving'
import { MemoryStore, MemoryStoreClient } from '../support/memoryStore.js'

const WINDOW_MILLISECONDS = 5000
const STEP_MILLISECONDS = 100
const START = 100_000
const SEEDS = 150
const GATEWAYS = 4
const RANDOM_STEPS = 900
/** Clocks of two gateways differ by less than this. */
const MAXIMUM_CLOCK_DIFFERENCE = 4900

type Reports = Map<number, Set<string>>

/** One gateway, which may hold the duty. */
class Reporter {
  readonly client: MemoryStoreClient
  readonly ledger = UsageLedger.create(WINDOW_MILLISECONDS)
  readonly skipped: Array<[number, string]> = []
  holds = false
  private readonly _clock: VirtualClock
  private readonly _context: CallContext
  private readonly _clockError: number
  private readonly _task: UsageReportTask

  constructor (store: MemoryStore, clock: VirtualClock, reports: Reports, clockError = 0) {
    this.client = MemoryStoreClient.create(store)
    this._clock = clock
    this._clockError = clockError
    this._context = CallContext.create(clock)
    const instrumentation = Instrumentation.create('edge', 'run', clock)
    instrumentation.addListener(({ kind, attributes }) => { if (kind === 'usage-skipped') this.skipped.push([Number(attributes?.window), String(attributes?.reason)]) })
    const cloud = {
      reportUsage: async (_context: CallContext, _holder: unknown, { window, counts }: { window: number, counts: Map<string, number> }) => {
        reports.set(window, (reports.get(window) ?? new Set()).add(JSON.stringify(Object.fromEntries(counts))))
        return ok('accepted')
      }
    } as unknown as Cloud
    const getHeldDuty = (): unknown => this.holds ? { lease: 1n, fencingNumber: 1, era: this.client.era, deadline: 0, actingDeadline: 0 } : undefined
    const beginCall = (context: CallContext): unknown => getHeldDuty() && { fencingNumber: 1, era: this.client.era, context: context.createChild(), mayAct: () => this.holds }
    const duty = { getHeldDuty, beginCall, abandon: () => {} } as unknown as DutyTask
    this._task = UsageReportTask.create({ duty, holder: 'edge', cloud, store: this.client.service, keys: StoreKeys.create(), ledger: this.ledger, delayMilliseconds: () => 20_000, isFirstStart: false, clock, timeOfDay: () => this.timeOfDay, instrumentation })
    void this._task.run(this._context)
  }

  get timeOfDay (): number {
    return this._clock.now() + this._clockError
  }

  get task (): UsageReportTask {
    return this._task
  }

  /** Counts a request; gateways count differently, so that their sums differ. */
  count (): void {
    this.ledger.record('press', this.timeOfDay)
  }

  follow (): void {
    this.client.follow(this._task)
  }

  stop (): void {
    this._context.cancel('shutdown')
  }
}

async function advance (clock: VirtualClock, reporters: readonly Reporter[], milliseconds: number): Promise<void> {
  for (const until = clock.now() + milliseconds; clock.now() < until;) {
    for (const reporter of reporters) reporter.follow()
    await new Promise(resolve => setImmediate(resolve))
    clock.advanceTo(clock.now() + STEP_MILLISECONDS)
  }
}

function createWorld (): { store: MemoryStore, clock: VirtualClock, reports: Reports } {
  const clock = VirtualClock.create()
  clock.advanceTo(START)
  return { store: MemoryStore.create(), clock, reports: new Map() }
}

function windowsOf (reports: Reports): number[] {
  return [...reports.keys()].sort((left, right) => left - right)
}

describe('usage reports', () => {
  /**
   * A holder that has reported window 21 with counts of its own, two successors, a third one that has not reached the
   * store yet, and a copy of the store without the counts.
   */
  async function reportWindow21 (): Promise<ReturnType<typeof createWorld> & { holder: Reporter, successors: Reporter[], newcomer: Reporter, copy: ReturnType<MemoryStore['copy']> }> {
    const world = createWorld()
    const [holder, newcomer, ...successors] = [1, 2, 3, 4].map(() => new Reporter(world.store, world.clock, world.reports))
    const all = [holder, newcomer, ...successors]
    newcomer.client.isCut = true
    holder.holds = true
    await advance(world.clock, all, 7000)
    holder.count()
    await advance(world.clock, all, 1500)
    const copy = world.store.copy()
    await advance(world.clock, all, 4000)
    assert.deepEqual(world.reports.get(21), new Set(['{"press":1}']))
    for (let count = 0; count < 5; count++) newcomer.ledger.record('press', 21 * WINDOW_MILLISECONDS)
    return { ...world, holder, successors, newcomer, copy }
  }

  // Guards against: a gateway that knows of no report takes the window for unreported.
  it('leaves out a window that may have been reported before the return of the store, at a gateway that first reads the store after it', async () => {
    const { store, clock, reports, holder, newcomer, copy } = await reportWindow21()
    holder.stop()
    store.restore(copy)
    newcomer.client.isCut = false
    newcomer.holds = true
    await advance(clock, [newcomer], 20_000)
    newcomer.stop()
    assert.deepEqual(reports.get(21), new Set(['{"press":1}']))
    assert.deepEqual(newcomer.skipped.map(([, reason]) => reason), newcomer.skipped.map(() => 'possibly-reported'))
    assert.deepEqual(windowsOf(reports).slice(-2), [24, 25])
  })

  // Guards against: two reports of one window with different counts, because the store lost those that were sent.
  it('reports the counts of a window that the store has lost as it held them before', async () => {
    const { store, clock, reports, holder, successors: [successor], copy } = await reportWindow21()
    holder.stop()
    store.restore(copy)
    successor.holds = true
    for (let count = 0; count < 5; count++) successor.ledger.record('press', 21 * WINDOW_MILLISECONDS)
    reports.clear()
    await advance(clock, [successor], 3000)
    successor.stop()
    assert.deepEqual(reports.get(21), new Set(['{"press":1}']))
  })

  // Guards against: an entry that is gone with its lease looks like one that was never written.
  it('writes no entry under a lease', async () => {
    const { store, holder } = await reportWindow21()
    holder.stop()
    assert.equal(store.hasLeasedPuts, false)
  })

  // Guards against: counts that a gateway wrote after the return, without knowing of it, are taken for those of before.
  it('leaves out a window whose counts the store has only got since its return', async () => {
    const { store, clock, reports, holder, newcomer, copy } = await reportWindow21()
    holder.stop()
    store.restore(copy)
    store.put(StoreKeys.create().usageKey(21), '{"press":9}')
    newcomer.client.isCut = false
    newcomer.holds = true
    await advance(clock, [newcomer], 10_000)
    newcomer.stop()
    assert.deepEqual(reports.get(21), new Set(['{"press":1}']))
  })

  // Guards against: a takeover without a loss leaves windows out.
  it('reports every window across kills of the holder, and after the store could not be reached', async () => {
    const { clock, reports, holder, successors: [first, second] } = await reportWindow21()
    holder.stop()
    first.holds = true
    await advance(clock, [first, second], 12_000)
    first.client.isCut = true
    await advance(clock, [first, second], 4000)
    first.stop()
    second.holds = true
    await advance(clock, [second], 20_000)
    second.stop()
    const windows = windowsOf(reports)
    assert.deepEqual(windows, Array.from({ length: windows.length }, (_, index) => windows[0] + index))
    assert.ok(windows.length >= 7, windows.join(', '))
    assert.deepEqual([...first.skipped, ...second.skipped].filter(([window]) => window > 20), [])
  })

  it('starts the era anew when its entry can\'t be read', async () => {
    const { store, clock, reports, holder, newcomer } = await reportWindow21()
    holder.stop()
    store.put(StoreKeys.create().usageEraKey, 'no entry')
    newcomer.client.isCut = false
    newcomer.holds = true
    await advance(clock, [newcomer], 20_000)
    newcomer.stop()
    assert.deepEqual(reports.get(21), new Set(['{"press":1}']))
    assert.deepEqual(windowsOf(reports).slice(-2), [24, 25])
  })

  it('removes counts long after they were due, and then starts the era after them', async () => {
    const world = createWorld()
    const holder = new Reporter(world.store, world.clock, world.reports)
    holder.holds = true
    await advance(world.clock, [holder], 400_000)
    holder.stop()
    const kept = world.store.entries.filter(({ key }) => StoreKeys.create().usageWindowOf(key) !== undefined).length
    assert.ok(kept < 75, `${kept} entries`)
    const { firstWindow } = JSON.parse(world.store.find(StoreKeys.create().usageEraKey)!.value) as { firstWindow: number }
    assert.ok(firstWindow > 25, `first window ${firstWindow}`)
  })

  // Guards against: a store that comes back without a higher era makes the gateway that reported a window write new counts.
  it('reports the counts of a window as before when the store loses them and states no new era, at the gateway that reported them', async () => {
    const { store, clock, reports, holder, successors: [successor], copy } = await reportWindow21()
    holder.stop()
    store.restore(copy)
    store.era--
    successor.holds = true
    for (let count = 0; count < 5; count++) successor.ledger.record('press', 21 * WINDOW_MILLISECONDS)
    await advance(clock, [successor], 3000)
    successor.stop()
    assert.deepEqual(reports.get(21), new Set(['{"press":1}']))
  })

  // Guards against: a holder that is frozen over a return starts the era with a window of the time before it was frozen.
  it('starts the era with a window of the time at which it is known, at a holder that was frozen while its first read was on the way', async () => {
    const world = createWorld()
    const frozen = new Reporter(world.store, world.clock, world.reports)
    const other = new Reporter(world.store, world.clock, world.reports)
    const third = new Reporter(world.store, world.clock, world.reports)
    third.client.isCut = true
    const beginning = world.store.copy()
    const read = frozen.client.get.bind(frozen.client)
    let thaw = (): void => {}
    const thawed = new Promise<void>(resolve => { thaw = resolve })
    frozen.client.get = async (context, key) => {
      await thawed
      return await read(context, key)
    }
    frozen.holds = true
    await advance(world.clock, [frozen], 1000)
    frozen.holds = false
    other.holds = true
    for (let step = 0; step < 200; step++) {
      other.count()
      await advance(world.clock, [other], 100)
    }
    other.stop()
    const window = windowsOf(world.reports).at(-1)!
    for (let count = 0; count < 3; count++) third.ledger.record('press', window * WINDOW_MILLISECONDS)
    world.store.restore(beginning)
    frozen.follow()
    thaw()
    await advance(world.clock, [], 200)
    frozen.stop()
    third.client.isCut = false
    third.holds = true
    await advance(world.clock, [third], 5000)
    third.stop()
    assert.equal(world.reports.get(window)?.size, 1, JSON.stringify([...world.reports].map(([key, counts]) => [key, ...counts])))
  })

  // Guards against: any order of returns, kills, cuts, lost and late writes, and holders at the same time, that reports a window twice.
  it(`never reports two counts of one window, whatever happens (${SEEDS} seeds)`, async () => {
    let reported = 0
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { store, clock, reports } = createWorld()
      const random = SeededRandom.create(seed)
      const createReporter = (): Reporter => new Reporter(store, clock, reports, random.nextFraction() * MAXIMUM_CLOCK_DIFFERENCE)
      const reporters = Array.from({ length: GATEWAYS }, createReporter)
      let copy = store.copy()
      for (let step = 0; step < RANDOM_STEPS; step++) {
        const reporter = random.pick(reporters)!
        const draw = random.nextFraction()
        if (draw < 0.3) reporter.count()
        else if (draw < 0.36) reporter.holds = !reporter.holds
        else if (draw < 0.4) reporter.client.isCut = !reporter.client.isCut
        else if (draw < 0.43) reporter.client.nextWrite = random.pick(['lost-response', 'late'] as const)!
        else if (draw < 0.45) store.carryOutLate()
        else if (draw < 0.46) copy = store.copy()
        else if (draw < 0.464) store.restore(copy)
        else if (draw < 0.48) {
          reporter.stop()
          reporters[reporters.indexOf(reporter)] = createReporter()
        }
        await advance(clock, reporters.filter(() => random.nextFraction() < 0.6), STEP_MILLISECONDS)
      }
      for (const reporter of reporters) reporter.stop()
      reported += reports.size
      const contradictory = [...reports].filter(([, counts]) => counts.size > 1)
      assert.deepEqual(contradictory, [], `seed ${seed}`)
    }
    assert.ok(reported > SEEDS * 5, `${reported} windows in all`)
  })
})
