import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BackgroundTasks, CallContext, GuardedClock, Instrumentation, MonotonicClock, VirtualClock, setLogLevel } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { wait } from '../support/wait.js'

setLogLevel('silent')

function createTasks () {
  const clock = VirtualClock.create()
  const instrumentation = Instrumentation.create('edge-1', 'run', clock)
  const failures: ActionEvent[] = []
  instrumentation.addListener(event => failures.push(event))
  return { clock, failures, instrumentation, tasks: BackgroundTasks.create(clock, instrumentation) }
}

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

describe('background tasks', () => {
  // Guards against: the error of one task ends the process, or the task for good.
  it('start a task again after an error, and report it', async () => {
    const { clock, failures, tasks } = createTasks()
    const context = CallContext.create(clock)
    let runs = 0
    tasks.start('probes', context, async () => {
      runs++
      if (runs < 3) throw new Error(`run ${runs}`)
    })
    for (let second = 1; second <= 4; second++) {
      await settle()
      clock.advanceTo(second * 1000)
    }
    await settle()
    assert.equal(runs, 3)
    assert.deepEqual(failures.map(({ kind, attributes }) => [kind, attributes?.task, attributes?.error]), [['task-failed', 'probes', 'run 1'], ['task-failed', 'probes', 'run 2']])
  })

  it('do not start a task again after the context was cancelled', async () => {
    const { clock, tasks } = createTasks()
    const context = CallContext.create(clock)
    let runs = 0
    tasks.start('probes', context, async () => {
      runs++
      throw new Error('no')
    })
    await settle()
    context.cancel('shutdown')
    clock.advanceTo(60_000)
    await settle()
    assert.equal(runs, 1)
  })

  it('report the errors of handlers, timers and work that nothing waits for', async () => {
    const { clock, failures, tasks } = createTasks()
    const fail = (): never => { throw new Error('no') }
    assert.equal(tasks.guard('handler', fail), false)
    assert.equal(tasks.guard('handler', () => {}), true)
    GuardedClock.create(clock, tasks).schedule(10, fail)
    clock.advanceTo(10)
    tasks.watch('work', Promise.reject(new Error('no')))
    await settle()
    assert.deepEqual(failures.map(({ attributes }) => attributes?.task), ['handler', 'timer', 'work'])
  })

  it('go on when a listener of their events fails', () => {
    const { failures, instrumentation, tasks } = createTasks()
    instrumentation.addListener(() => { throw new Error('no') })
    tasks.report('handler', 'text')
    assert.equal(failures.length, 1)
  })
})

describe('timers', () => {
  // Guards against: a deadline that is more than 24 days away fires at once.
  it('do not fire before a deadline in the far future', async () => {
    const clock = MonotonicClock.create()
    let fired = 0
    const timers = [1e10, 1e300, Number.POSITIVE_INFINITY].map(milliseconds => clock.schedule(clock.now() + milliseconds, () => { fired++ }))
    await wait(30)
    for (const timer of timers) timer.cancel()
    assert.equal(fired, 0)
  })
})
