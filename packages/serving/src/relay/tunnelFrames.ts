/**
 * Frames in which a peer sends the bytes of an upstream: a length of four bytes and as many bytes. An empty frame states
 * that the upstream has ended its connection. Without it the connection of a peer that was killed, which the operating
 * system closes properly, could not be told from the end of a response that ends with its connection.
 *
 * @module
 */

const HEADER_BYTES = 4

/** The frame behind the last byte. */
export const END_FRAME: Buffer = Buffer.alloc(HEADER_BYTES)

/** Returns what precedes the bytes of a frame. */
export function encodeFrameHeader (length: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(length)
  return header
}

/** Takes the bytes out of frames that arrive in pieces. It keeps no bytes but an incomplete length. */
export class FrameDecoder {
  private _header: Buffer = Buffer.alloc(0)
  /** Bytes of the current frame that have not arrived. */
  private _missingBytes = 0
  private _hasEnded = false

  static create (): FrameDecoder {
    return new FrameDecoder()
  }

  /** Whether the empty frame has arrived. */
  get hasEnded (): boolean {
    return this._hasEnded
  }

  /** Returns the bytes of frames in the next piece; those behind the empty frame are ignored. */
  decode (piece: Buffer): Buffer[] {
    const decoded: Buffer[] = []
    let rest = piece
    while (rest.length > 0 && !this._hasEnded) {
      if (this._missingBytes === 0) rest = this._readHeader(rest)
      if (this._missingBytes === 0) continue
      const part = rest.subarray(0, this._missingBytes)
      if (part.length > 0) decoded.push(part)
      this._missingBytes -= part.length
      rest = rest.subarray(part.length)
    }
    return decoded
  }

  private _readHeader (bytes: Buffer): Buffer {
    const needed = HEADER_BYTES - this._header.length
    this._header = Buffer.concat([this._header, bytes.subarray(0, needed)])
    if (this._header.length < HEADER_BYTES) return bytes.subarray(bytes.length)
    this._missingBytes = this._header.readUInt32BE()
    this._hasEnded = this._missingBytes === 0
    this._header = Buffer.alloc(0)
    return bytes.subarray(needed)
  }
}
