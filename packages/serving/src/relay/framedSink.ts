/**
 * Writes bytes to a gateway in frames.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { ByteSink } from './byteSink.js'
import { END_FRAME, encodeFrameHeader } from './tunnelFrames.js'

/** Writes bytes in frames. */
export class FramedSink implements ByteSink {
  readonly socket: Socket

  private constructor (socket: Socket) {
    this.socket = socket
  }

  static create (socket: Socket): FramedSink {
    return new FramedSink(socket)
  }

  write (bytes: Buffer): boolean {
    this.socket.cork()
    this.socket.write(encodeFrameHeader(bytes.length))
    const takesMore = this.socket.write(bytes)
    this.socket.uncork()
    return takesMore
  }

  end (): void {
    this.socket.end(END_FRAME)
  }
}
