import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { ItemScanner } from '@plumstage/platform'
import { knownRed } from '../support/knownRed.js'

const LIMITS = { itemBytes: 200, frameBytes: 100 }
const SEED = Number(process.env.SEED ?? 62)
const SPLITS = 200

/** Scans a text that arrives in chunks, which end at the given indexes. */
function scan (text: string, ends: readonly number[] = [], limits = LIMITS): { frame: string | undefined, items: Array<string | undefined> } {
  const items: Array<string | undefined> = []
  const scanner = ItemScanner.create(limits, bytes => items.push(bytes?.toString()))
  const bytes = Buffer.from(text)
  let start = 0
  for (const end of [...ends, bytes.length]) {
    scanner.push(bytes.subarray(start, end))
    start = end
  }
  return { frame: scanner.frame, items }
}
const ESCAPES = 'scans strings of escapes as fast as others'

describe('item scanner', () => {
  const items = [{ key: 'a', value: 'MQ==' }, { key: 'a "quoted", [b] {c}', value: '\\"\\\\', nested: [[1, 2], { x: [] }] }, 7, 'text, with ] and "', [1], null, {}]

  it('splits a document into its items and the rest, wherever its chunks end', () => {
    const random = SeededRandom.create(SEED)
    for (const space of [undefined, 2]) {
      const text = JSON.stringify({ before: { list: [1, 2] }, items, more_pages: true, events: [], current_rev: 12 }, undefined, space)
      for (let split = 0; split < SPLITS; split++) {
        const ends = Array.from({ length: 4 }, () => random.nextInteger(0, Buffer.byteLength(text))).sort((left, right) => left - right)
        const scanned = scan(text, ends, { itemBytes: 200, frameBytes: 300 })
        assert.deepEqual(scanned.items.map(item => JSON.parse(item!) as unknown), items, `chunks end at ${ends.join(', ')}`)
        assert.deepEqual(JSON.parse(scanned.frame!), { before: { list: [1, 2] }, items: [], more_pages: true, events: [], current_rev: 12 })
      }
    }
  })

  // Guards against: an item that is too long hides the others, or a document that is cut counts as whole.
  it('passes over an item that is too long, and completes no document that is cut', () => {
    const text = JSON.stringify({ items: [1, { value: 'x'.repeat(300) }, 2], current_rev: 3 })
    assert.deepEqual(scan(text), { frame: '{"items":[],"current_rev":3}', items: ['1', undefined, '2'] })
    for (let length = 0; length < text.length; length++) assert.throws(() => JSON.parse(scan(text.slice(0, length)).frame!), String(length))
  })

  // Guards against: a document of small parts between its items, or one string, is held although it has no end.
  it('holds no more of a document than its limit', () => {
    for (const part of ['{"a":[1],', '"a":[],', 'x', '"x', '\\', '}']) assert.equal(scan(`{${part.repeat(2000)}`).frame, undefined, part)
    assert.equal(scan(`{"a":["${'x'.repeat(5000)}`).frame, '{"a":[')
  })

  // Guards against: time that grows with the square of a string's length, when it consists of escapes.
  it(ESCAPES, knownRed(ESCAPES), () => {
    const startedAt = performance.now()
    scan(`{"items":["${'\\\\'.repeat(4_000_000)}"]}`)
    assert.ok(performance.now() - startedAt < 3000)
  })
})
