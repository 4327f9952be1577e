/**
 * Observes the connections to upstreams for resets. undici treats a response without a length as complete when its
 * connection is reset.
 *
 * @module
 */
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { wasReset } from './socketReset.js'

/** Knows whether one of the observed connections is being reset at this moment. */
export class ResetObserver {
  private _resetting = false

  static create (): ResetObserver {
    return new ResetObserver()
  }

  /** Whether a connection is being reset at this moment: a response that ends with its connection is then incomplete. */
  get resetting (): boolean {
    return this._resetting
  }

  /** Observes a connection before it is passed to undici, whose own listeners of the same events then run after these. */
  observe (connection: Duplex): void {
    connection.on('error', () => this._markResetting())
    connection.on('end', () => { if (connection instanceof Socket && wasReset(connection)) this._markResetting() })
  }

  private _markResetting (): void {
    this._resetting = true
    queueMicrotask(() => { this._resetting = false })
  }
}
