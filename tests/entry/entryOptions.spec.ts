import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readEntryOptions } from '../../packages/entry/dist/entryOptions.js'

describe('plumstage-entry options', () => {
  it('are read from flags and the environment, flags first', () => {
    const options = readEntryOptions(['--metrics-port', '9464'], { PLUMSTAGE_METRICS_PORT: '1', PLUMSTAGE_LOG_LEVEL: 'warn' })._unsafeUnwrap()
    assert.deepEqual(options, { metricsPort: 9464, logLevel: 'warn', events: '-' })
  })

  it('are rejected with an error that lists every invalid option', () => {
    const problem = readEntryOptions(['--log-level', 'loud', '--metrics-port', '70000'], {})._unsafeUnwrapErr().message
    assert.match(problem, /--log-level/)
    assert.match(problem, /--metrics-port/)
  })
})
