/**
 * When this gateway last heard the store on the connection from which it follows the configuration, and what it heard.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { StorePosition } from '@plumstage/coordination'

/** The last answer to a watch or a snapshot of one gateway. */
export class StoreContact {
  private _heardAt: Timestamp | undefined
  private _position: StorePosition | undefined

  static create (): StoreContact {
    return new StoreContact()
  }

  /** When the last answer was received; undefined before the first. */
  get heardAt (): Timestamp | undefined {
    return this._heardAt
  }

  /** Position up to which the last answer reported all changes; undefined before the first. */
  get position (): StorePosition | undefined {
    return this._position
  }

  recordHeard (position: StorePosition, now: Timestamp): void {
    this._heardAt = now
    this._position = position
  }
}
