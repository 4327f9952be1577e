import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EventSplitter } from '@plumstage/serving'

function event (id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`
}

describe('event splitter', () => {
  it('returns only complete events, however the stream is chunked', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 30 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (count, chunkLengths) => {
      const bytes = Buffer.from(Array.from({ length: count }, (_, index) => event(index + 1)).join(''))
      const splitter = EventSplitter.create()
      let text = ''
      for (let start = 0, chunk = 0; start < bytes.length; chunk++) {
        const end = start + chunkLengths[chunk % chunkLengths.length]
        const split = splitter.split(bytes.subarray(start, end))
        assert.equal(split.problem, undefined)
        assert.ok(split.bytes.length === 0 || split.bytes.toString().endsWith('\n\n'))
        text += split.bytes.toString()
        start = end
      }
      assert.equal(text, bytes.toString())
      assert.equal(splitter.lastId, count)
      assert.equal(splitter.endsInsideEvent, false)
    }))
  })

  it('drops events that the caller already has', () => {
    const split = EventSplitter.create(2).split(Buffer.from(event(1) + event(2) + event(3)))
    assert.equal(split.bytes.toString(), event(3))
    assert.equal(split.count, 1)
  })

  it('reports a missing event and returns the events before it', () => {
    const split = EventSplitter.create().split(Buffer.from(event(1) + event(3)))
    assert.equal(split.bytes.toString(), event(1))
    assert.match(split.problem ?? '', /event 3 follows event 1/)
  })

  it('finds the id field after other fields', () => {
    const splitter = EventSplitter.create()
    splitter.split(Buffer.from('weights: 2\nid: 7\ndata: x\n\n'))
    assert.equal(splitter.lastId, 7)
  })

  it('detects a stream that ended inside an event', () => {
    const splitter = EventSplitter.create()
    splitter.split(Buffer.from(event(1) + 'id: 2\nda'))
    assert.equal(splitter.endsInsideEvent, true)
    assert.equal(splitter.lastId, 1)
  })

  // Guards against: comments, which a caller ignores, count as events that were added to a stream.
  it('returns comments, but does not count them', () => {
    const text = `: working\n\n\n\r\n${event(3)}: working\n\n`
    const split = EventSplitter.create(2).split(Buffer.from(text))
    assert.deepEqual([split.bytes.toString(), split.count, split.unnumberedCount], [text, 1, 0])
  })

  it('counts events that the caller already has, and events without an id', () => {
    const split = EventSplitter.create(2).split(Buffer.from(event(1) + event(2) + event(3) + event(2) + event(4)))
    assert.deepEqual([split.bytes.toString(), split.count, split.repeatedCount], [event(3) + event(4), 2, 3])
    assert.equal(EventSplitter.create().split(Buffer.from('data: a\n\ndata: b\n\n')).unnumberedCount, 2)
  })

  it('reads an id that ends its line, and none from the line after it', () => {
    const splitter = EventSplitter.create()
    splitter.split(Buffer.from('id\n17\n\n'))
    assert.equal(splitter.lastId, undefined)
    splitter.split(Buffer.from('identity: 5\ndata: x\r\nid:6\r\n\r\n'))
    assert.equal(splitter.lastId, 6)
  })

  // Guards against: the text or the head of an error counts as an event, because an empty line ends it.
  it('returns nothing from a line on that is neither a comment nor a field', () => {
    for (const text of ['HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n', 'no room\n\n', '{"error":"no room"}\n\n', 'Content-Type: text/plain\n\n', `id: 2\ndaHTTP/1.1 500\n\n${event(3)}`]) {
      const split = EventSplitter.create().split(Buffer.from(event(1) + text + event(2)))
      assert.deepEqual([split.bytes.toString(), split.count], [event(1), 1], text)
      assert.match(split.problem ?? '', /belongs to no event/)
    }
  })

  it('accepts fields of other names, without a value, and text that looks like a head in a value', () => {
    for (const text of ['id: 1\nweights: 2\nsome-weights: 3\n_x9: 4\n\n', 'id:1\ndata\n\n', 'id: 1\ndata: HTTP/1.1 500 Internal Server Error\r\ndata:Content-Type: text/plain\r\n\r\n', ':\nid: 1\n:HTTP/1.1 500\n\n']) {
      const split = EventSplitter.create(undefined, true).split(Buffer.from(text))
      assert.deepEqual([split.bytes.toString(), split.count, split.problem], [text, 1, undefined])
    }
  })

  // Guards against: a sound stream is given up at its first bytes, which the standard allows before the first line.
  it('accepts a byte order mark before the first line, also in pieces, and nowhere else', () => {
    const text = `\ufeff${event(1)}${event(2)}`
    for (const length of [1, 2, 4, text.length]) {
      const splitter = EventSplitter.create(undefined, true)
      const bytes = Buffer.from(text)
      let forwarded = ''
      for (let start = 0; start < bytes.length; start += length) {
        const { bytes: complete, problem } = splitter.split(bytes.subarray(start, start + length))
        assert.equal(problem, undefined)
        forwarded += complete.toString()
      }
      assert.equal(forwarded, text)
      assert.equal(splitter.lastId, 2)
    }
    assert.match(EventSplitter.create().split(Buffer.from(`${event(1)}\ufeff${event(2)}`)).problem ?? '', /belongs to no event/)
    assert.match(EventSplitter.create(1, true).split(Buffer.from(`\ufeff${event(2)}`)).problem ?? '', /belongs to no event/)
  })

  // Guards against: an event that has no place in a stream gets into one that may be continued by another attempt.
  it('returns nothing from an event without an id on where each needs one', () => {
    for (const text of ['data: no room\n\n', 'event: error\ndata: no room\n\n', 'error: no room\n\n', 'id: none\ndata: x\n\n', 'id\ndata: x\n\n']) {
      const split = EventSplitter.create(3, true).split(Buffer.from(`: working\n\nretry: 500\n\n${event(4)}${text}${event(5)}`))
      assert.deepEqual([split.bytes.toString(), split.count], [`: working\n\nretry: 500\n\n${event(4)}`, 1], text)
      assert.match(split.problem ?? '', /has no id/)
    }
  })
})
