/**
 * Bytes that are collected piece by piece. They are copied, because a piece of a few bytes would keep all of the bytes that were
 * read from its connection together with it.
 *
 * @module
 */

const MINIMUM_CAPACITY_BYTES = 512
const GROWTH_FACTOR = 2

/** Collects bytes in a buffer that grows. */
export class ByteAccumulator {
  private _buffer = Buffer.alloc(0)
  private _length = 0

  static create (): ByteAccumulator {
    return new ByteAccumulator()
  }

  /** Number of bytes that were collected. */
  get length (): number {
    return this._length
  }

  /** Bytes of memory that are taken. */
  get capacity (): number {
    return this._buffer.length
  }

  /** The collected bytes; they don't change when more are collected. */
  get bytes (): Buffer {
    return this._buffer.subarray(0, this._length)
  }

  append (bytes: Buffer): void {
    const length = this._length + bytes.length
    if (length > this._buffer.length) this._grow(length)
    bytes.copy(this._buffer, this._length)
    this._length = length
  }

  private _grow (length: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(MINIMUM_CAPACITY_BYTES, length, this._buffer.length * GROWTH_FACTOR))
    this._buffer.copy(grown, 0, 0, this._length)
    this._buffer = grown
  }
}
