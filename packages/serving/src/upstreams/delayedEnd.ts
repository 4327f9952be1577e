/**
 * Delays the end of a connection until its reader has taken all bytes and asks for more. undici throws where nothing
 * handles it if a connection ends, or is reset, while the response on it is paused.
 *
 * @module
 */
import type { Duplex } from 'node:stream'

const RESET_CODE = 'ECONNRESET'

/** Delays the end of one connection, whose reader reads until there are no bytes left unless it is paused. */
export class DelayedEnd {
  private readonly _connection: Duplex
  private readonly _push: Duplex['push']
  private readonly _read: Duplex['read']
  private readonly _destroy: Duplex['destroy']
  /** Whether the reader has taken all bytes and waits for more, so that it is not paused. */
  private _isReaderWaiting = true
  private _hasEnded = false

  private constructor (connection: Duplex) {
    this._connection = connection
    this._push = connection.push.bind(connection)
    this._read = connection.read.bind(connection)
    this._destroy = connection.destroy.bind(connection)
  }

  /** Delays the end of a connection before it is passed to undici. */
  static attach (connection: Duplex): void {
    const end = new DelayedEnd(connection)
    connection.push = (chunk, encoding) => end._receive(chunk, encoding)
    connection.read = size => end._readBytes(size)
    connection.destroy = error => end._destroyConnection(error)
  }

  private _receive (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return this._push(chunk, encoding)
    this._hasEnded = true
    this._passEnd()
    return false
  }

  private _readBytes (size?: number): unknown {
    const bytes: unknown = this._read(size)
    // Streams read zero bytes of themselves to receive more.
    if (size === 0) return bytes
    this._isReaderWaiting = bytes === null
    if (this._hasEnded && this._isReaderWaiting) process.nextTick(() => this._passEnd())
    return bytes
  }

  private _passEnd (): void {
    if (!this._isReaderWaiting || this._connection.readableLength > 0 || this._connection.destroyed) return
    this._push(null)
  }

  /** A paused response that is reset fails like one whose connection has failed otherwise. */
  private _destroyConnection (error?: Error): Duplex {
    const isReset = (error as NodeJS.ErrnoException | undefined)?.code === RESET_CODE
    if (!isReset || this._isReaderWaiting) return this._destroy(error)
    return this._destroy(new Error('The connection was reset while the response was paused.', { cause: error }))
  }
}
