import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StreamResponse } from '@plumstage/serving'
import type { ResponseHeaders, SplitEvents, StreamPosition } from '@plumstage/serving'

const CHUNKS: ResponseHeaders = { 'transfer-encoding': 'chunked' }
const LENGTH: ResponseHeaders = { 'content-length': '0' }
const UNFRAMED: ResponseHeaders = {}
const NEW: StreamPosition = { lastEventId: undefined, isResumable: true, isWhole: false }
const BROKEN_OFF: StreamPosition = { lastEventId: 4, isResumable: true, isWhole: false }
const NOTHING: SplitEvents = { bytes: Buffer.alloc(0), count: 0, repeatedCount: 0, unnumberedCount: 0 }

function findEndProblem (position: StreamPosition, headers: ResponseHeaders, events: Partial<SplitEvents> = {}): string | undefined {
  const response = StreamResponse.create(position)
  response.recordHead(200, headers)
  response.recordEvents({ ...NOTHING, ...events })
  return response.findEndProblem()
}

function findHeadProblem (position: StreamPosition, isStarted: boolean, status: number, type: string | undefined = 'text/event-stream'): string | undefined {
  const response = StreamResponse.create(position)
  response.recordHead(status, { ...CHUNKS, 'content-type': type })
  return response.findHeadProblem(isStarted)
}

describe('response of one attempt on a stream route', () => {
  it('does not end a stream that broke off if it adds no event', () => {
    for (const headers of [CHUNKS, LENGTH, UNFRAMED]) {
      assert.match(findEndProblem(BROKEN_OFF, headers) ?? '', /adds no event after event 4/)
      assert.match(findEndProblem(BROKEN_OFF, headers, { repeatedCount: 4 }) ?? '', /adds no event after event 4/)
    }
  })

  it('ends a stream that broke off if it adds an event', () => {
    for (const headers of [CHUNKS, LENGTH, UNFRAMED]) assert.equal(findEndProblem(BROKEN_OFF, headers, { count: 1, repeatedCount: 4 }), undefined)
  })

  it('ends a stream that broke off after the last event that there can be', () => {
    for (const headers of [CHUNKS, LENGTH, UNFRAMED]) assert.equal(findEndProblem({ ...BROKEN_OFF, isWhole: true }, headers), undefined)
  })

  it('may be a new stream without events if its end does not depend on the connection', () => {
    assert.equal(findEndProblem(NEW, CHUNKS), undefined)
    assert.equal(findEndProblem(NEW, LENGTH), undefined)
    assert.match(findEndProblem(NEW, UNFRAMED) ?? '', /ended before the first event/)
  })

  it('is not judged by the last event of a caller whose stream may not be resumed', () => {
    assert.equal(findEndProblem({ ...BROKEN_OFF, isResumable: false }, CHUNKS), undefined)
  })

  it('goes on with a stream only as an event stream with status 200', () => {
    assert.equal(findHeadProblem(BROKEN_OFF, true, 200), undefined)
    assert.equal(findHeadProblem(BROKEN_OFF, true, 200, 'text/event-stream; charset=utf-8'), undefined)
    for (const status of [201, 202, 204, 206, 304, 404, 500]) assert.match(findHeadProblem(BROKEN_OFF, true, status) ?? '', /does not continue/)
    assert.match(findHeadProblem(BROKEN_OFF, true, 200, 'text/plain') ?? '', /does not continue/)
  })

  it('is no success for a caller that resumes a stream if it does not go on with it, but may be an error', () => {
    for (const status of [201, 202, 204, 206]) assert.match(findHeadProblem(BROKEN_OFF, false, status) ?? '', /does not continue/)
    assert.match(findHeadProblem(BROKEN_OFF, false, 200, 'text/plain') ?? '', /does not continue/)
    for (const status of [304, 404, 500]) assert.equal(findHeadProblem(BROKEN_OFF, false, status, 'text/plain'), undefined)
  })

  it('may be of any kind for a new request', () => {
    for (const status of [200, 204, 206, 302, 404, 500]) assert.equal(findHeadProblem(NEW, false, status, 'text/plain'), undefined)
  })

  it('is summed up only if it was answered and continues a stream', () => {
    const response = StreamResponse.create(BROKEN_OFF)
    assert.equal(response.continuation, undefined)
    response.recordHead(206, LENGTH)
    response.recordEvents({ ...NOTHING, count: 2, repeatedCount: 1, unnumberedCount: 1 })
    assert.deepEqual(response.continuation, { resumeAfter: 4, status: 206, framing: 'length', newEvents: 2, repeatedEvents: 1, unnumberedEvents: 1 })
    const first = StreamResponse.create(NEW)
    first.recordHead(200, CHUNKS)
    assert.equal(first.continuation, undefined)
  })
})
