import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { describe, it } from 'node:test'
import { BoundedEventLog } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'

const LINES = 20_000

function createEvent (sequence: number): ActionEvent {
  return { process: 'edge-1', incarnation: 'a', sequence, time: 1, kind: 'request-ended', request: `request-${sequence}`, attributes: { outcome: 'complete', route: 'page' } }
}

describe('bounded event log', () => {
  it('writes only complete lines, and drops and counts those that exceed the buffer', async () => {
    const folder = mkdtempSync(path.join(tmpdir(), 'events-'))
    const file = path.join(folder, 'events.jsonl')
    const log = BoundedEventLog.create(file)
    // All appends happen in one turn of the event loop, so that nothing is written out in between.
    for (let sequence = 1; sequence <= LINES; sequence++) log.append(createEvent(sequence))
    await log.close()
    const lines = readFileSync(file, 'utf8').trimEnd().split('\n').map(line => JSON.parse(line) as ActionEvent)
    assert.ok(log.droppedLines > 0)
    assert.equal(lines.length + log.droppedLines, LINES)
    rmSync(folder, { recursive: true })
  })
})
