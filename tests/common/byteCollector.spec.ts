import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ByteCollector, SeededRandom, readBoundedText } from '@plumstage/common'
import { ItemScanner } from '../../platform/src/itemScanner.js'

const MEGABYTE = 1024 * 1024
const LONGEST_PIECE_BYTES = 200_000
/** Far below the number of pieces; the bytes allow for about 40 blocks. */
const MAXIMUM_BLOCKS = 100

describe('collected bytes', () => {
  // Guards against: each of a million pieces takes a buffer of its own, so that a body within its bound fills the heap.
  it('are held in few blocks, however many pieces they come in', () => {
    const collector = ByteCollector.create()
    for (let index = 0; index < 2 * MEGABYTE; index++) collector.append(Buffer.of(index % 251))
    assert.ok(collector.blockCount <= MAXIMUM_BLOCKS, `${collector.blockCount} blocks`)
    const bytes = collector.concat()
    assert.equal(bytes.length, 2 * MEGABYTE)
    assert.ok(bytes.every((byte, index) => byte === index % 251))
  })

  it('are the same as the pieces, of whatever lengths', () => {
    const random = SeededRandom.create(68)
    for (let round = 0; round < 20; round++) {
      const pieces = Array.from({ length: 30 }, (_piece, index) => Buffer.alloc(random.nextInteger(0, random.pick([3, 600, LONGEST_PIECE_BYTES])!), index))
      const collector = ByteCollector.create()
      for (const piece of pieces) collector.append(piece)
      assert.ok(collector.concat().equals(Buffer.concat(pieces)))
    }
  })

  it('are none before the first piece', () => {
    assert.deepEqual([ByteCollector.create().concat().length, ByteCollector.create().blockCount], [0, 0])
  })

  it('of a text and of an item of the store are whole when they come byte by byte', async () => {
    const text = JSON.stringify({ items: [{ key: 'a', value: 'x'.repeat(5000) }, 7, 8], more_pages: false })
    async function * read (): AsyncIterable<Buffer> { for (const byte of Buffer.from(text)) yield Buffer.of(byte) }
    assert.equal(await readBoundedText(read(), MEGABYTE), text)
    const items: string[] = []
    const scanner = ItemScanner.create({ itemBytes: MEGABYTE, frameBytes: MEGABYTE }, item => items.push(String(item)))
    for (const byte of Buffer.from(text)) scanner.push(Buffer.of(byte))
    assert.deepEqual([items.length, JSON.parse(items[0]).value.length, scanner.frame], [3, 5000, '{"items":[],"more_pages":false}'])
  })
})
