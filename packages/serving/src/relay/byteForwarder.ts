/**
 * Carries the bytes of one direction of a tunnel. The source is read only as fast as the target takes the bytes.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { wasReset } from '../upstreams/socketReset.js'
import type { ByteSink } from './byteSink.js'

/** Callbacks of a forwarder. */
export interface ByteForwarderOptions {
  onBytes: (count: number) => void
  /** Called when the source has ended and its end follows the bytes before it. */
  onEnd: () => void
  /** Called when the connection of the source was reset or has failed. */
  onReset: () => void
}

/** Forwards bytes from one connection to another. */
export class ByteForwarder {
  private readonly _source: Socket
  private readonly _target: ByteSink
  private readonly _options: ByteForwarderOptions

  private constructor (source: Socket, target: ByteSink, options: ByteForwarderOptions) {
    this._source = source
    this._target = target
    this._options = options
  }

  static create (source: Socket, target: ByteSink, options: ByteForwarderOptions): ByteForwarder {
    return new ByteForwarder(source, target, options)
  }

  /** Forwards `first`, which was read before, and then all bytes that arrive. */
  start (first: Buffer): void {
    this._target.socket.on('drain', () => this._source.resume())
    this._source.on('error', () => this._options.onReset())
    this._source.on('end', () => this._forwardEnd())
    this._source.on('data', chunk => this._forward(chunk))
    if (first.length > 0) this._forward(first)
  }

  private _forward (chunk: Buffer): void {
    this._options.onBytes(chunk.length)
    if (!this._target.write(chunk)) this._source.pause()
  }

  private _forwardEnd (): void {
    if (wasReset(this._source)) return this._options.onReset()
    this._target.end()
    this._options.onEnd()
  }
}
