/**
 * Writes bytes to an upstream as they are.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { ByteSink } from './byteSink.js'

/** Writes bytes as they are. */
export class PlainSink implements ByteSink {
  readonly socket: Socket

  private constructor (socket: Socket) {
    this.socket = socket
  }

  static create (socket: Socket): PlainSink {
    return new PlainSink(socket)
  }

  write (bytes: Buffer): boolean {
    return this.socket.write(bytes)
  }

  end (): void {
    this.socket.end()
  }
}
