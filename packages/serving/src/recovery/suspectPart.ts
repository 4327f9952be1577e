/**
 * What is known against one part of prompts: the crashes of upstreams while requests with it waited for their first
 * event, and which of them it did not cause. Both only grow, so gateways can exchange them in any order.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { CrashId, PartKey } from './promptPart.js'

/** The crashes recorded first are dropped beyond this number. */
const MAXIMUM_CRASHES = 12

/** A crash of an upstream while requests with the part waited for their first event. */
export interface PartCrash {
  crash: CrashId
  /** Other parts that all those requests had. */
  companions: readonly PartKey[]
  /** Whether the request was sent although the part was quarantined, to find out whether it still crashes upstreams. */
  isTrial: boolean
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
  private readonly _crashes = new Map<CrashId, PartCrash>()
  /** When each crash became known here. */
  private readonly _heardAt = new Map<CrashId, Timestamp>()
  private readonly _cleared = new Set<CrashId>()

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
    return [...this._crashes.values()].filter(({ crash }) => !this._cleared.has(crash))
  }

  /** When the first of the crashes that the part may have caused became known here; infinite when there is none. */
  get firstUnclearedAt (): Timestamp {
    return Math.min(...this.listUncleared().map(({ crash }) => this._heardAt.get(crash) ?? this.lastCrashAt))
  }

  toSuspicion (now: Timestamp): PartSuspicion {
    const ageMilliseconds = Math.max(0, Math.round(now - this.firstUnclearedAt))
    return { part: this.part, crashes: [...this._crashes.values()], cleared: [...this._cleared], ageMilliseconds: Number.isFinite(ageMilliseconds) ? ageMilliseconds : 0 }
  }

  /** Adds a crash that some gateway has known since `heardAt`; returns whether it was not known here. */
  addCrash (added: PartCrash, now: Timestamp, heardAt = now): boolean {
    const known = this._crashes.get(added.crash)
    this._crashes.set(added.crash, known ? mergeCrashes(known, added) : added)
    if (known) return false
    this._heardAt.set(added.crash, heardAt)
    this.changedAt = now
    if (!this._cleared.has(added.crash)) this.lastCrashAt = now
    this._dropOldest()
    return true
  }

  /** Clears the part of all crashes known so far; returns whether there were any. */
  clear (now: Timestamp): boolean {
    return this._clearCrashes([...this._crashes.keys()], now)
  }

  /** Merges what a peer knows. */
  merge ({ crashes, cleared, ageMilliseconds }: PartSuspicion, now: Timestamp): void {
    this._clearCrashes(cleared, now)
    for (const crash of crashes) this.addCrash(crash, now, now - ageMilliseconds)
  }

  private _clearCrashes (crashes: readonly CrashId[], now: Timestamp): boolean {
    const added = crashes.filter(crash => !this._cleared.has(crash))
    for (const crash of added) this._cleared.add(crash)
    if (added.length > 0) this.changedAt = now
    this._dropOldest()
    return added.length > 0
  }

  private _dropOldest (): void {
    const [oldestCrash] = this._crashes.keys()
    if (this._crashes.size > MAXIMUM_CRASHES) {
      this._crashes.delete(oldestCrash)
      this._heardAt.delete(oldestCrash)
    }
    const [oldestCleared] = this._cleared
    if (this._cleared.size > 2 * MAXIMUM_CRASHES) this._cleared.delete(oldestCleared)
  }
}

/** Two gateways have seen the same crash. */
function mergeCrashes (left: PartCrash, right: PartCrash): PartCrash {
  return { crash: left.crash, companions: left.companions.filter(part => right.companions.includes(part)), isTrial: left.isTrial || right.isTrial }
}
