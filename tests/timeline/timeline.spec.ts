import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ActionEvent } from '@plumstage/common'
import { filterEvents, formatTimeline, mergeEvents, parseEvents } from '@plumstage/timeline'

function event (process: string, sequence: number, time: number, request?: string): ActionEvent {
  return { process, incarnation: 'i', sequence, time, kind: 'attempt-started', request }
}

describe('time line', () => {
  it('orders events of several processes by time, and those of one by its own order', () => {
    const { events } = mergeEvents([event('b', 2, 90), event('a', 1, 100), event('b', 1, 110), event('a', 2, 120)])
    assert.deepEqual(events.map(({ process, sequence }) => `${process}${sequence}`), ['a1', 'b1', 'b2', 'a2'])
  })

  it('says which events are missing, and counts one that stands in two files once', () => {
    const { events, missing } = mergeEvents([event('a', 1, 1), event('a', 4, 4), event('a', 4, 4)])
    assert.equal(events.length, 2)
    assert.deepEqual(missing, [{ process: 'a', incarnation: 'i', afterSequence: 1, beforeSequence: 4 }])
  })

  it('passes over lines that are not events', () => {
    const read = parseEvents('log', `${JSON.stringify(event('a', 1, 1))}\n{"process":"a","inc\n\n`)
    assert.equal(read.events.length, 1)
    assert.deepEqual(read.unreadable, [{ file: 'log', line: 2 }])
  })

  it('filters by request, and writes a page that closes no script early', () => {
    const events = [event('a', 1, 1, 'req-1'), event('a', 2, 2, '</script>')]
    assert.equal(filterEvents(events, { request: 'req-1' }).length, 1)
    const page = formatTimeline({ events, missing: [] }, 'html')
    assert.equal(page.split('</script>').length, 2)
    assert.equal(formatTimeline({ events, missing: [] }, 'json').trim().split('\n').length, 2)
  })
})
