import assert from 'node:assert/strict'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { CALLER_PORT, EntryBundle, EntrySite, holdsWithin } from './support/entryProcess.js'

const START_MILLISECONDS = 10_000
/** The longest grace period of a process, and the time that a busy machine takes to notice its end. */
const STOP_MILLISECONDS = 12_000

describe('an entry process whose log nobody reads any more', () => {
  let bundle: EntryBundle
  let site: EntrySite
  before(async () => { bundle = await EntryBundle.create() })
  after(() => bundle.remove())
  beforeEach(() => { site = EntrySite.create(bundle) })
  afterEach(async () => { await site.stop() })

  // Guards against: a process ends when the reader of its log goes away while it starts.
  it('FAULT: starts, and stops when asked to', async () => {
    const process = site.start()
    process.closeOutputs()
    assert.ok(await holdsWithin(START_MILLISECONDS, async () => await site.accepts(CALLER_PORT) || process.end !== undefined))
    assert.equal(process.end, undefined)
    process.signal('SIGTERM')
    assert.ok(await holdsWithin(STOP_MILLISECONDS, () => process.end !== undefined))
    assert.equal(process.end, 0)
  })
})
