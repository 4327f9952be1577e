/**
 * Where a tunnel writes the bytes of one direction: as they are to an upstream, in frames to a gateway.
 *
 * @module
 */
import type { Socket } from 'node:net'

/** Writes the bytes of one direction of a tunnel to a connection. */
export interface ByteSink {
  readonly socket: Socket
  /** Returns whether the connection takes more bytes now; otherwise it emits `drain` when it does. */
  write (bytes: Buffer): boolean
  end (): void
}
