import assert from 'node:assert/strict'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { EntryBundle, EntrySite, holdsWithin } from './support/entryProcess.js'
import type { EntryProcess } from './support/entryProcess.js'

const START_MILLISECONDS = 20_000
const SERIES_MILLISECONDS = 10
const LATER_SIGNALS = 40
const RESTARTS = 3
/** Long enough for a signal to arrive while a process loads, also on a busy machine. */
const LOADING_MILLISECONDS = 1000
/** The longest grace period of a process, and the time that a busy machine takes to notice its end. */
const STOP_MILLISECONDS = 12_000

describe('an entry process that receives signals', () => {
  let bundle: EntryBundle
  let site: EntrySite
  before(async () => { bundle = await EntryBundle.create() })
  after(() => bundle.remove())
  beforeEach(() => { site = EntrySite.create(bundle) })
  afterEach(async () => { await site.stop() })

  /** Sends a signal at short intervals until the process has started. */
  async function signalUntilStarted (process: EntryProcess, signal: NodeJS.Signals): Promise<void> {
    const sent = await holdsWithin(START_MILLISECONDS, () => {
      if (process.isLoading) process.signal(signal)
      return process.hasStarted || process.end !== undefined
    })
    assert.ok(sent, 'neither started nor ended')
  }

  // Guards against: a process that is told of changed settings before it is ready ends by the signal.
  it('FAULT: goes on when it is told of changed settings from its first statement on', async () => {
    const process = site.start()
    await signalUntilStarted(process, 'SIGHUP')
    for (let count = 0; count < LATER_SIGNALS; count++) {
      process.signal('SIGHUP')
      await new Promise(resolve => setTimeout(resolve, SERIES_MILLISECONDS))
    }
    assert.equal(process.end, undefined)
    assert.ok(process.hasStarted)
  })

  // Guards against: a process that is stopped while it loads is left running, or ends with an error.
  it('ends without an error when it is stopped while it loads', async () => {
    const process = site.start(LOADING_MILLISECONDS)
    assert.ok(await holdsWithin(START_MILLISECONDS, () => process.isLoading))
    process.signal('SIGTERM')
    assert.ok(await holdsWithin(STOP_MILLISECONDS, () => process.end !== undefined))
    assert.ok(process.end === 0 || process.end === 'SIGTERM', String(process.end))
    assert.equal(process.hasStarted, false)
  })

  // Guards against: a process ends because its predecessor still runs, while both are told of changed settings.
  it('FAULT: takes over from the process before, with signals in series to both', async () => {
    let current = site.start()
    assert.ok(await holdsWithin(START_MILLISECONDS, () => current.hasStarted))
    for (let restart = 1; restart <= RESTARTS; restart++) {
      const previous = current
      previous.signal('SIGTERM')
      current = site.start()
      const takenOver = await holdsWithin(START_MILLISECONDS, () => {
        if (current.isLoading) current.signal('SIGHUP')
        previous.signal('SIGHUP')
        return current.hasStarted || current.end !== undefined
      })
      assert.ok(takenOver, `restart ${restart}: neither started nor ended`)
      assert.equal(current.end, undefined, `restart ${restart}`)
      assert.ok(await holdsWithin(STOP_MILLISECONDS, () => previous.end !== undefined))
      assert.equal(previous.end, 0, `restart ${restart}`)
    }
  })
})
