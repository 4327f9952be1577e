/**
 * Observes the connections to upstreams for resets, and for ends before a request was written. undici treats a response without
 * a length as complete however its connection ends, and whatever of the request is still to be written.
 *
 * @module
 */
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { wasReset } from './socketReset.js'

/** Knows whether one of the observed connections is being broken off at this moment. */
export class ResetObserver {
  private _resetting = false

  static create (): ResetObserver {
    return new ResetObserver()
  }

  /**
   * Whether a connection is being reset at this moment, or ended by an upstream that has not read its request: a response that
   * ends with its connection is then incomplete.
   */
  get resetting (): boolean {
    return this._resetting
  }

  /** Observes a connection before it is passed to undici, whose own listeners of the same events then run after these. */
  observe (connection: Duplex): void {
    connection.on('error', () => this._markResetting())
    connection.on('end', () => { if (isBrokenOff(connection)) this._markResetting() })
  }

  private _markResetting (): void {
    this._resetting = true
    queueMicrotask(() => { this._resetting = false })
  }
}

/** Whether a connection that has ended was reset, or ended while a request was still being written. */
function isBrokenOff (connection: Duplex): boolean {
  return connection.writableLength > 0 || (connection instanceof Socket && wasReset(connection))
}
