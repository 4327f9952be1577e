import assert from 'node:assert/strict'
import { rmSync, writeFileSync } from 'node:fs'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { EntryBundle, EntrySite, holdsWithin } from './support/entryProcess.js'

/** How long the settings file is written. */
const WRITING_MILLISECONDS = 1000
const START_MILLISECONDS = 10_000
const HALF = 0.5
const EXIT_INVALID_SETTINGS = 2

describe('an entry process whose settings file is being written', () => {
  let bundle: EntryBundle
  let site: EntrySite
  before(async () => { bundle = await EntryBundle.create() })
  after(() => bundle.remove())
  beforeEach(() => { site = EntrySite.create(bundle) })
  afterEach(async () => { await site.stop() })

  const whole = (): string => site.formatSettings()
  const CASES: ReadonlyArray<{ name: string, begin: () => void }> = [
    { name: 'empty', begin: () => writeFileSync(site.settingsPath, '') },
    { name: 'half written', begin: () => writeFileSync(site.settingsPath, whole().slice(0, whole().length * HALF)) },
    { name: 'missing', begin: () => rmSync(site.settingsPath) }
  ]
  for (const { name, begin } of CASES) {
    // Guards against: a start that coincides with a change of the settings file ends the process.
    it(`FAULT: starts with the whole file when it was ${name} at first`, async () => {
      begin()
      const process = site.start()
      assert.ok(await holdsWithin(START_MILLISECONDS, () => process.isLoading))
      await new Promise(resolve => setTimeout(resolve, WRITING_MILLISECONDS))
      assert.equal(process.end, undefined)
      site.writeSettings()
      assert.ok(await holdsWithin(START_MILLISECONDS, () => process.hasStarted || process.end !== undefined))
      assert.equal(process.end, undefined)
    })
  }

  // Guards against: a file that stays invalid keeps a process waiting without an end.
  it('ends with an error that names the fields when the file stays invalid', async () => {
    site.writeSettings({ zone: 5 })
    const process = site.start()
    assert.ok(await holdsWithin(START_MILLISECONDS, () => process.end !== undefined))
    assert.equal(process.end, EXIT_INVALID_SETTINGS)
    assert.match(process.errors, /zone/)
  })
})
