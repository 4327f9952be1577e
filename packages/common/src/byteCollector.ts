/**
 * Bytes that arrive in pieces and are needed as a whole. Who sends them chooses the pieces, which may hold a single byte each, and
 * every piece takes some 200 bytes beside its content. So short ones are copied into blocks, whose number the bytes bound.
 *
 * @module
 */

const FIRST_BLOCK_BYTES = 512
const MAXIMUM_BLOCK_BYTES = 64 * 1024
/** Pieces of this length are kept as they are: to copy them would bring nothing. */
const LONG_PIECE_BYTES = 32 * 1024

/** Collects bytes in blocks. */
export class ByteCollector {
  private _blocks: Buffer[] = []
  /** The block that is being filled, and the number of bytes in it. */
  private _current: Buffer = Buffer.alloc(0)
  private _filled = 0
  private _length = 0

  static create (): ByteCollector {
    return new ByteCollector()
  }

  /** Number of bytes that were collected. */
  get length (): number {
    return this._length
  }

  /** Number of buffers that hold the bytes. */
  get blockCount (): number {
    return this._blocks.length + (this._filled > 0 ? 1 : 0)
  }

  append (piece: Buffer): void {
    // The first piece is often the only one.
    if (piece.length >= LONG_PIECE_BYTES || this._length === 0) this._keep(piece)
    else this._copy(piece)
    this._length += piece.length
  }

  /** Returns all bytes in one buffer. */
  concat (): Buffer {
    this._closeBlock()
    return this._blocks.length === 1 ? this._blocks[0] : Buffer.concat(this._blocks, this._length)
  }

  private _keep (piece: Buffer): void {
    this._closeBlock()
    this._blocks.push(piece)
  }

  private _copy (piece: Buffer): void {
    const room = this._current.length - this._filled
    const copied = piece.copy(this._current, this._filled, 0, room)
    this._filled += copied
    if (copied === piece.length) return
    const rest = piece.subarray(copied)
    this._closeBlock()
    this._current = Buffer.allocUnsafeSlow(Math.max(rest.length, this._nextBlockBytes))
    this._filled = rest.copy(this._current)
  }

  /** Blocks grow with what was collected, so that little is taken for few bytes, and few blocks for many. */
  private get _nextBlockBytes (): number {
    return Math.min(MAXIMUM_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this._length))
  }

  private _closeBlock (): void {
    if (this._filled > 0) this._blocks.push(this._current.subarray(0, this._filled))
    this._current = Buffer.alloc(0)
    this._filled = 0
  }
}
