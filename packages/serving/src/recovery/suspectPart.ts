/**
 * What is known against one part of prompts: the crashes of upstreams while requests with it waited for their first
 * event, and which of them it did not cause.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { CrashSet } from './crashSet.js'
import type { CrashId, PartKey } from './promptPart.js'

/** A crash of an upstream while requests with the part waited for their first event. */
export interface PartCrash {
  crash: CrashId
  /** Other parts that all those requests had. */
  companions: readonly PartKey[]
  /** Whether the request was sent although the part was quarantined, to find out whether it still crashes upstreams. */
  isTrial: boolean
}

interface HeardCrash extends PartCrash {
  /** When the crash became known here. */
  heardAt: Timestamp
}

/** What gateways tell each other about a part. */
export interface PartSuspicion {
  part: PartKey
  crashes: readonly PartCrash[]
  /** Crashes that the part did not cause, because requests with it have begun since. */
  cleared: readonly CrashId[]
  /** Time since the first crash that is not cleared became known; 0 when there is none. */
  ageMilliseconds: number
}

/** A part that is or was suspected. */
export class SuspectPart {
  readonly part: PartKey
  /** When the last crash became known here. */
  lastCrashAt: Timestamp
  /** When anything became known last. */
  changedAt: Timestamp
  /** Whether the part was quarantined when its state was last announced. */
  isAnnounced = false
  private readonly _crashes = CrashSet.create<CrashId, HeardCrash>(mergeCrashes)

  private constructor (part: PartKey, now: Timestamp) {
    this.part = part
    this.lastCrashAt = now
    this.changedAt = now
  }

  static create (part: PartKey, now: Timestamp): SuspectPart {
    return new SuspectPart(part, now)
  }

  /** Crashes that the part may have caused. */
  listUncleared (): PartCrash[] {
    return this._crashes.uncleared
  }

  /** When the first of the crashes that the part may have caused became known here; infinite when there is none. */
  get firstUnclearedAt (): Timestamp {
    return Math.min(...this._crashes.uncleared.map(({ heardAt }) => heardAt))
  }

  toSuspicion (now: Timestamp): PartSuspicion {
    const ageMilliseconds = Math.max(0, Math.round(now - this.firstUnclearedAt))
    const crashes = this._crashes.crashes.map(({ crash, companions, isTrial }) => ({ crash, companions, isTrial }))
    return { part: this.part, crashes, cleared: this._crashes.cleared, ageMilliseconds: Number.isFinite(ageMilliseconds) ? ageMilliseconds : 0 }
  }

  /** Adds a crash that some gateway has known since `heardAt`; returns whether it was not known here. */
  addCrash (added: PartCrash, now: Timestamp, heardAt = now): boolean {
    if (!this._crashes.add({ ...added, heardAt })) return false
    this.changedAt = now
    if (!this._crashes.isCleared(added.crash)) this.lastCrashAt = now
    return true
  }

  /** Clears the part of all crashes known so far; returns whether there were any. */
  clear (now: Timestamp): boolean {
    return this._clearCrashes(this._crashes.crashes.map(({ crash }) => crash), now)
  }

  /** Merges what a peer knows. */
  merge ({ crashes, cleared, ageMilliseconds }: PartSuspicion, now: Timestamp): void {
    this._clearCrashes(cleared, now)
    for (const crash of crashes) this.addCrash(crash, now, now - ageMilliseconds)
  }

  private _clearCrashes (crashes: readonly CrashId[], now: Timestamp): boolean {
    const isChanged = this._crashes.clear(crashes)
    if (isChanged) this.changedAt = now
    return isChanged
  }
}

/** Two gateways have seen the same crash. */
function mergeCrashes (left: HeardCrash, right: HeardCrash): HeardCrash {
  return { crash: left.crash, heardAt: left.heardAt, companions: left.companions.filter(part => right.companions.includes(part)), isTrial: left.isTrial || right.isTrial }
}
