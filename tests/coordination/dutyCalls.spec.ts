import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { CallContext, Instrumentation, LeaseClock, VirtualClock } from '@plumstage/common'
import { DutyTask, KeyValueError } from '@plumstage/coordination'
import type { KeyValueService } from '@plumstage/coordination'
import { LeaseStore } from '../support/leaseStore.js'

const TIMING = { leaseMilliseconds: 3000, renewIntervalMilliseconds: 1000, retryIntervalMilliseconds: 1000, safetyMarginMilliseconds: 750 }
const ACTING_MILLISECONDS = TIMING.leaseMilliseconds - TIMING.safetyMarginMilliseconds
const LONG_CALL_MILLISECONDS = 20_000
const SHORT_CALL_MILLISECONDS = 100
const TICK_MILLISECONDS = 10

/** A holder of the duty, whose store can be cut off, and whose instance can be suspended. */
class Holder {
  readonly clock = VirtualClock.create(1000)
  private readonly _store = LeaseStore.create(this.clock)
  private readonly _context = CallContext.create(this.clock)
  private _suspended = 0
  private readonly _leaseClock = LeaseClock.create(this.clock, () => this.clock.now() + this._suspended)
  private readonly _duty: DutyTask

  private constructor () {
    const instrumentation = Instrumentation.create('edge-1', 'run-1', this.clock)
    this._duty = DutyTask.create(this._store as unknown as KeyValueService, 'duty', 'edge-1', () => true, this._leaseClock, instrumentation, TIMING)
  }

  static async create (): Promise<Holder> {
    const holder = new Holder()
    void holder._duty.run(holder._context)
    await holder.pass(TICK_MILLISECONDS)
    return holder
  }

  begin (timeoutMilliseconds: number): NonNullable<ReturnType<DutyTask['beginCall']>> {
    const call = this._duty.beginCall(this._context, timeoutMilliseconds)
    assert.ok(call)
    return call
  }

  get mayBegin (): boolean {
    return this._duty.beginCall(this._context, SHORT_CALL_MILLISECONDS) !== undefined
  }

  /** No renewal succeeds any more. */
  cutOff (): void {
    this._store.keepLeaseAlive = async () => await new Promise(() => {})
  }

  /** The clocks that stand still meanwhile go on as if nothing had been. */
  suspend (milliseconds: number): void {
    this._suspended += milliseconds
  }

  async pass (milliseconds: number): Promise<void> {
    const until = this.clock.now() + milliseconds
    while (this.clock.now() < until) {
      this.clock.advanceTo(this.clock.now() + TICK_MILLISECONDS)
      for (let turn = 0; turn < 5; turn++) await new Promise(resolve => setImmediate(resolve))
    }
  }
}

describe('calls that only the holder of a duty may make', () => {
  // Guards against: a call that is under way for longer than the lease lasts, and arrives after the calls of the next holder.
  it('are given up before the lease ends, however long their own time limit is', async () => {
    const holder = await Holder.create()
    holder.cutOff()
    const { context } = holder.begin(LONG_CALL_MILLISECONDS)
    await holder.pass(ACTING_MILLISECONDS - 2 * TICK_MILLISECONDS)
    assert.equal(context.cancelled, undefined)
    await holder.pass(4 * TICK_MILLISECONDS)
    assert.deepEqual([context.cancelled, holder.mayBegin], ['deadline', false])
  })

  it('keep their own time limit while the duty is held', async () => {
    const holder = await Holder.create()
    const { context } = holder.begin(SHORT_CALL_MILLISECONDS)
    await holder.pass(SHORT_CALL_MILLISECONDS + TICK_MILLISECONDS)
    assert.deepEqual([context.cancelled, holder.mayBegin], ['deadline', true])
  })

  // Guards against: a call that waits for its connection is written after the instance was suspended for longer than the lease.
  it('may not be written any more after a suspension that was longer than the lease', async () => {
    const holder = await Holder.create()
    const call = holder.begin(LONG_CALL_MILLISECONDS)
    assert.equal(call.mayAct(), true)
    holder.suspend(TIMING.leaseMilliseconds)
    assert.deepEqual([call.mayAct(), holder.mayBegin], [false, false])
  })
})

describe('the acquisition of a duty whose write is not answered', () => {
  // Guards against: the lease of a write without a response is revoked by a call that is over already, and blocks the duty.
  it('revokes the lease with a time limit of its own', async () => {
    const clock = VirtualClock.create(1000)
    const store = LeaseStore.create(clock)
    const context = CallContext.create(clock)
    const revoked: unknown[] = []
    store.transact = async call => await new Promise(resolve => { call.onCancel(() => resolve(err(KeyValueError.create('ambiguous', 'no response')))) })
    store.revokeLease = async call => {
      revoked.push(call.cancelled)
      return ok(undefined)
    }
    const duty = DutyTask.create(store as unknown as KeyValueService, 'duty', 'edge-1', () => true, clock, Instrumentation.create('edge-1', 'run-1', clock), TIMING)
    void duty.run(context)
    for (let step = 0; step < 30; step++) {
      for (let turn = 0; turn < 5; turn++) await new Promise(resolve => setImmediate(resolve))
      clock.advanceTo(clock.now() + 100)
    }
    context.cancel('shutdown')
    assert.equal(revoked[0], undefined)
    assert.ok(revoked.length > 0)
  })
})
