import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ActionEvent } from '@plumstage/common'
import { filterEvents, formatTimeline, mergeEvents, parseEvents } from '@plumstage/timeline'

function event (process: string, sequence: number, time: number, request?: string): ActionEvent {
  return { process, incarnation: 'i', sequence, time, kind: 'attempt-started', request }
}

describe('timeline', () => {
  it('orders events of different processes by time and events of one process by sequence number', () => {
    const { events } = mergeEvents([event('b', 2, 90), event('a', 1, 100), event('b', 1, 110), event('a', 2, 120)])
    assert.deepEqual(events.map(({ process, sequence }) => `${process}${sequence}`), ['a1', 'b1', 'b2', 'a2'])
  })

  it('reports missing events and drops duplicates', () => {
    const { events, missing } = mergeEvents([event('a', 1, 1), event('a', 4, 4), event('a', 4, 4)])
    assert.equal(events.length, 2)
    assert.deepEqual(missing, [{ process: 'a', incarnation: 'i', afterSequence: 1, beforeSequence: 4 }])
  })

  it('skips lines that are not valid events', () => {
    const parsed = parseEvents('log', `${JSON.stringify(event('a', 1, 1))}\n{"process":"a","inc\n\n`)
    assert.equal(parsed.events.length, 1)
    assert.deepEqual(parsed.unreadable, [{ file: 'log', line: 2 }])
  })

  it('filters by request and escapes closing script tags in the HTML page', () => {
    const events = [event('a', 1, 1, 'req-1'), event('a', 2, 2, '</script>')]
    assert.equal(filterEvents(events, { request: 'req-1' }).length, 1)
    const page = formatTimeline({ events, missing: [] }, 'html')
    assert.equal(page.split('</script>').length, 2)
    assert.equal(formatTimeline({ events, missing: [] }, 'json').trim().split('\n').length, 2)
  })
})
