import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { ProcessSignals } from '../../packages/entry/dist/processSignals.js'

describe('the signals of a process', () => {
  it('are kept until there is a handler, each kind once', () => {
    const source = new EventEmitter()
    const signals = ProcessSignals.create(source)
    for (const signal of ['SIGHUP', 'SIGHUP', 'SIGTERM', 'SIGHUP']) source.emit(signal)
    const received: string[] = []
    signals.handle(signal => received.push(signal))
    assert.deepEqual(received, ['SIGHUP', 'SIGTERM'])
  })

  it('reach the handler each time afterwards', () => {
    const source = new EventEmitter()
    const signals = ProcessSignals.create(source)
    const received: string[] = []
    signals.handle(signal => received.push(signal))
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT']) source.emit(signal)
    assert.deepEqual(received, ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT'])
  })
})
