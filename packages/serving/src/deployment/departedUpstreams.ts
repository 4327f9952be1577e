/**
 * Remembers which upstreams have left the list lately. When the store comes back from a copy, their entries may be back
 * although the upstreams are not.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** A copy of the store is some seconds old; entries of upstreams that left earlier are not in it. */
const RETENTION_MILLISECONDS = 60_000
const MAXIMUM_DEPARTED = 2000

/** Keys of the entries of upstreams that have left. */
export class DepartedUpstreams {
  private readonly _departedAt = new Map<string, Timestamp>()

  static create (): DepartedUpstreams {
    return new DepartedUpstreams()
  }

  has (key: string, now: Timestamp): boolean {
    const departedAt = this._departedAt.get(key)
    return departedAt !== undefined && now < departedAt + RETENTION_MILLISECONDS
  }

  add (key: string, now: Timestamp): void {
    this._departedAt.delete(key)
    this._departedAt.set(key, now)
    const [oldest] = this._departedAt.keys()
    if (this._departedAt.size > MAXIMUM_DEPARTED) this._departedAt.delete(oldest)
  }

  remove (key: string): void {
    this._departedAt.delete(key)
  }
}
