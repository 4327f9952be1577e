/**
 * How far a gateway has applied the history of the store.
 *
 * @module
 */
import type { CallContext } from '@plumstage/common'
import { isLater } from '@plumstage/coordination'
import type { StorePosition } from '@plumstage/coordination'

/** The position up to which all changes were applied, and those who wait for a later one. */
export class AppliedPosition {
  private readonly _waiters = new Set<() => void>()
  private _position: StorePosition | undefined

  static create (): AppliedPosition {
    return new AppliedPosition()
  }

  /** All changes up to this position were applied; undefined before any was. */
  get position (): StorePosition | undefined {
    return this._position
  }

  /** Records that all changes up to a position were applied. */
  advance (position: StorePosition): void {
    this._position = position
    for (const check of [...this._waiters]) check()
  }

  /** Resolves to whether a position was reached before the context is cancelled. */
  async reaches (position: StorePosition, context: CallContext): Promise<boolean> {
    if (this._includes(position)) return true
    if (context.cancelled) return false
    return await new Promise<boolean>(resolve => {
      const finish = (isReached: boolean): void => {
        this._waiters.delete(check)
        stopListening()
        resolve(isReached)
      }
      const check = (): void => { if (this._includes(position)) finish(true) }
      const stopListening = context.onCancel(() => finish(false))
      this._waiters.add(check)
    })
  }

  private _includes (position: StorePosition): boolean {
    return this._position !== undefined && !isLater(position, this._position)
  }
}
