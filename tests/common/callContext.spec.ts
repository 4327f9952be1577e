import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CallContext, VirtualClock } from '@plumstage/common'

describe('call context', () => {
  it('is cancelled at its deadline', () => {
    const clock = VirtualClock.create(1000)
    const context = CallContext.create(clock, 1500)
    clock.advanceTo(1499)
    assert.equal(context.cancelled, undefined)
    clock.advanceTo(1500)
    assert.equal(context.cancelled, 'deadline')
    assert.equal(context.signal.aborted, true)
  })

  it('cancels its children, but not its parent', () => {
    const parent = CallContext.create(VirtualClock.create())
    const first = parent.createChild()
    const second = parent.createChild()
    first.cancel('superseded')
    assert.equal(parent.cancelled, undefined)
    parent.cancel('shutdown')
    assert.equal(second.cancelled, 'shutdown')
    assert.equal(first.cancelled, 'superseded')
  })

  it('removes the listeners of finished children and completed sleeps', async () => {
    const clock = VirtualClock.create()
    const parent = CallContext.create(clock)
    for (let round = 1; round <= 20; round++) {
      parent.createChild().finish()
      const slept = parent.sleepUntil(round)
      clock.advanceTo(round)
      await slept
    }
    assert.equal((parent as unknown as { _listeners: Set<unknown> })._listeners.size, 0)
  })

  it('resolves a sleep when it is cancelled', async () => {
    const context = CallContext.create(VirtualClock.create())
    const slept = context.sleepUntil(1_000_000)
    context.cancel('shutdown')
    await slept
  })
})
