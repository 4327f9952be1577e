/**
 * What is known against one request: the crashes of upstreams at which it ran, and which of them it did not cause.
 *
 * A request that got further at any upstream than where it was when another one crashed did not cause that crash: at that point it
 * crashes nothing.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { CrashSet } from './crashSet.js'

/** Weight of a crash before the request had begun. Requests that crash upstreams do so when they begin. */
const UNBEGUN_WEIGHT = 1
/** Weight of a crash while the request was under way. */
const BEGUN_WEIGHT = 0.5

/** A crash of an upstream at which requests of one digest ran. */
export interface RequestCrash {
  /** Identity of the upstream's incarnation. */
  crash: string
  /** Id of the last event that had arrived; 0 before the first. Of several requests of the digest there, the least. */
  progress: number
  /** Whether all requests of the digest there had begun. */
  hasBegun: boolean
  /** Whether the request was sent although it was quarantined, to find out whether it still crashes upstreams. */
  isTrial: boolean
}

/** Requests with one digest that are or were suspected. */
export class SuspectRequest {
  readonly digest: string
  /** When the last crash became known here that is not cleared. */
  lastCrashAt: Timestamp
  /** When anything became known last. */
  changedAt: Timestamp
  private readonly _crashes = CrashSet.create<string, RequestCrash>(mergeCrashes)
  /** Undefined when it has to be computed again. */
  private _weight: number | undefined

  private constructor (digest: string, now: Timestamp) {
    this.digest = digest
    this.lastCrashAt = now
    this.changedAt = now
  }

  static create (digest: string, now: Timestamp): SuspectRequest {
    return new SuspectRequest(digest, now)
  }

  /** Crashes that the request may have caused, the newest first. */
  listUncleared (): RequestCrash[] {
    return this._crashes.uncleared.reverse()
  }

  /** Crashes that it did not cause, the newest first. */
  listCleared (): string[] {
    return this._crashes.cleared.reverse()
  }

  /** How much speaks against the request. Kept, because it is asked for with each piece of a response. */
  get weight (): number {
    this._weight ??= this._crashes.uncleared.reduce((sum, { hasBegun }) => sum + (hasBegun ? BEGUN_WEIGHT : UNBEGUN_WEIGHT), 0)
    return this._weight
  }

  /** Number of trials that have crashed an upstream. */
  get failedTrials (): number {
    return this.listUncleared().filter(({ isTrial }) => isTrial).length
  }

  /** Returns whether the crash was not known here. */
  addCrash (added: RequestCrash, now: Timestamp): boolean {
    const isNew = this._crashes.add(added)
    this._weight = undefined
    const isCleared = this._crashes.isCleared(added.crash)
    // Whoever still reports a crash that is cleared here is told so again.
    if (isNew || isCleared) this.changedAt = now
    if (isNew && !isCleared) this.lastCrashAt = now
    return isNew
  }

  /** Clears the request of the crashes at which it had not got beyond `progress`; returns whether there were any. */
  clearBefore (progress: number, now: Timestamp): boolean {
    return this.clear(this.listUncleared().filter(crash => crash.progress < progress).map(({ crash }) => crash), now)
  }

  /** Clears the request of all crashes known so far; returns whether there were any. */
  clearAll (now: Timestamp): boolean {
    return this.clear(this.listUncleared().map(({ crash }) => crash), now)
  }

  clear (crashes: readonly string[], now: Timestamp): boolean {
    const isChanged = this._crashes.clear(crashes)
    this._weight = undefined
    if (isChanged) this.changedAt = now
    return isChanged
  }
}

/** Several requests of the digest ran at the upstream; the one that had got least far is the likeliest cause. */
function mergeCrashes (left: RequestCrash, right: RequestCrash): RequestCrash {
  return { crash: left.crash, progress: Math.min(left.progress, right.progress), hasBegun: left.hasBegun && right.hasBegun, isTrial: left.isTrial || right.isTrial }
}
