/**
 * Crashes of upstreams that something may have caused, and those of them that it did not cause. Both only grow, but for the oldest,
 * which are dropped, so gateways can exchange them in any order.
 *
 * @module
 */

/** The crashes recorded first are dropped beyond this number. */
const MAXIMUM_CRASHES = 12
const MAXIMUM_CLEARED = 2 * MAXIMUM_CRASHES

/** What is known of one crash. */
export interface IdentifiedCrash<Id> {
  /** Identity of the incarnation that crashed. */
  crash: Id
}

/** The crashes that count against one part of prompts, or against one request. */
export class CrashSet<Id, Crash extends IdentifiedCrash<Id>> {
  private readonly _merge: (known: Crash, added: Crash) => Crash
  private readonly _crashes = new Map<Id, Crash>()
  private readonly _cleared = new Set<Id>()

  private constructor (merge: (known: Crash, added: Crash) => Crash) {
    this._merge = merge
  }

  /** `merge` combines what two gateways know of one crash. */
  static create<Id, Crash extends IdentifiedCrash<Id>> (merge: (known: Crash, added: Crash) => Crash): CrashSet<Id, Crash> {
    return new CrashSet(merge)
  }

  /** All crashes, in the order in which they became known. */
  get crashes (): Crash[] {
    return [...this._crashes.values()]
  }

  /** Crashes that were not cleared, in the same order. */
  get uncleared (): Crash[] {
    return this.crashes.filter(({ crash }) => !this._cleared.has(crash))
  }

  get cleared (): Id[] {
    return [...this._cleared]
  }

  isCleared (crash: Id): boolean {
    return this._cleared.has(crash)
  }

  /** Returns whether the crash was not known. */
  add (added: Crash): boolean {
    const known = this._crashes.get(added.crash)
    this._crashes.set(added.crash, known ? this._merge(known, added) : added)
    const [oldest] = this._crashes.keys()
    if (this._crashes.size > MAXIMUM_CRASHES) this._crashes.delete(oldest)
    return !known
  }

  /** Returns whether any of the crashes was not cleared before. */
  clear (crashes: readonly Id[]): boolean {
    const added = crashes.filter(crash => !this._cleared.has(crash))
    for (const crash of added) this._cleared.add(crash)
    this._trimCleared()
    return added.length > 0
  }

  /** A crash that is still known stays cleared, however many others were cleared since. */
  private _trimCleared (): void {
    for (const oldest of this._cleared) {
      if (this._cleared.size <= MAXIMUM_CLEARED) return
      if (!this._crashes.has(oldest)) this._cleared.delete(oldest)
    }
  }
}
