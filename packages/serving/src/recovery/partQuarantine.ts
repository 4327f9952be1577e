/**
 * Decides which parts of prompts crash the upstreams that begin to respond to them, and quarantines these parts.
 *
 * Every crash takes sound requests with it. A part is cleared of all crashes known so far whenever a request with it
 * begins, which never happens to a part that crashes upstreams. So parts that many requests share are cleared within
 * moments, and crashes add up only for parts under which nothing begins.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { CrashId, PartKey } from './promptPart.js'
import { SuspectPart } from './suspectPart.js'
import type { PartCrash, PartSuspicion } from './suspectPart.js'

/** Crashes without a begin in between after which a part is quarantined. */
const CRASHES_FOR_QUARANTINE = 3
/**
 * Time from the first of these crashes until the part is quarantined. When several upstreams crash at once, requests with
 * a sound part begin at the others meanwhile.
 */
const MINIMUM_AGE_MILLISECONDS = 500
const RETENTION_MILLISECONDS = 30 * 60_000
/** A part that was cleared is reported for this long, then forgotten. */
const CLEARED_RETENTION_MILLISECONDS = 10_000
const MAXIMUM_SUSPECTS = 1000
const MAXIMUM_REPORTED = 16
/**
 * Time from the last crash until one request is sent as a trial, by the number of trials that have crashed an upstream.
 * The first ones are early, for the parts of sound requests of which many upstreams crashed at once.
 */
const TRIAL_DELAYS_MILLISECONDS = [1000, 3000, 60_000, 10 * 60_000, RETENTION_MILLISECONDS]
/** Gateways send trials in the order of their ranks, this long after each other, so that they hear the result first. */
const FIRST_TRIAL_RANK_MILLISECONDS = 1000
const LATER_TRIAL_RANK_MILLISECONDS = 3000

/** Whether a request may be sent to an upstream of one software. */
export type PartVerdict =
  | { kind: 'accepted' }
  /** It may be sent as a trial, which `beginTrial` has to announce. */
  | { kind: 'trial' }
  | { kind: 'refused', retryAt: Timestamp }

/** A change of the state of one part. */
export type PartChange = 'quarantined' | 'cleared'

/** Called when a part is quarantined or no longer is. */
export type PartChangeListener = (part: PartKey, change: PartChange, crashes: number) => void

/** A request that waited for its first event on an upstream that crashed. */
export interface CrashedRequest {
  parts: readonly PartKey[]
  crash: CrashId
  isTrial: boolean
}

const ACCEPTED: PartVerdict = { kind: 'accepted' }
const TRIAL: PartVerdict = { kind: 'trial' }

/** The suspected parts that one gateway knows. */
export class PartQuarantine {
  private readonly _suspects = new Map<PartKey, SuspectPart>()
  /** Parts with a running trial of this gateway. */
  private readonly _trials = new Set<PartKey>()
  private readonly _rankFor: (part: PartKey) => number
  private _onChange: PartChangeListener = () => {}
  private _isReportUrgent = false

  private constructor (rankFor: (part: PartKey) => number) {
    this._rankFor = rankFor
  }

  /** `rankFor` returns the rank of this gateway among all gateways for a part. */
  static create (rankFor: (part: PartKey) => number): PartQuarantine {
    return new PartQuarantine(rankFor)
  }

  /** Whether no part is or was suspected lately. */
  get isEmpty (): boolean {
    return this._suspects.size === 0
  }

  /** Whether peers should receive a report before the regular interval ends. */
  get isReportUrgent (): boolean {
    return this._isReportUrgent
  }

  onChange (listener: PartChangeListener): void {
    this._onChange = listener
  }

  countQuarantined (now: Timestamp): number {
    return [...this._suspects.values()].filter(suspect => isQuarantined(suspect, now)).length
  }

  /** Decides about a request with these parts. */
  decide (parts: readonly PartKey[], now: Timestamp): PartVerdict {
    if (this.isEmpty) return ACCEPTED
    this._refresh(now)
    const suspects = parts.map(part => this._suspects.get(part)).filter((suspect): suspect is SuspectPart => suspect !== undefined && isQuarantined(suspect, now))
    if (suspects.length === 0) return ACCEPTED
    const trialAt = suspects.every(suspect => this._isBlamedForOther(suspect, parts, now)) ? now : Math.max(...suspects.map(suspect => this._trialTimeOf(suspect)))
    if (now >= trialAt && !suspects.some(({ part }) => this._trials.has(part))) return TRIAL
    return { kind: 'refused', retryAt: Math.max(trialAt, now + FIRST_TRIAL_RANK_MILLISECONDS) }
  }

  /** Records that a request with these parts has received its first event from an upstream. */
  recordBegin (parts: readonly PartKey[], now: Timestamp): void {
    if (this.isEmpty) return
    for (const part of parts) {
      const suspect = this._suspects.get(part)
      if (suspect?.clear(now) === true) this._isReportUrgent = true
    }
  }

  /** Records a request that had not begun when its upstream crashed. */
  recordCrash ({ parts, crash, isTrial }: CrashedRequest, now: Timestamp): void {
    for (const part of parts) {
      const companions = parts.filter(other => other !== part)
      if (this._ensureSuspect(part, now).addCrash({ crash, companions, isTrial }, now)) this._isReportUrgent = true
    }
    this._trim()
  }

  /** Records that a request with these parts is sent as a trial. */
  beginTrial (parts: readonly PartKey[]): void {
    for (const part of parts) this._trials.add(part)
  }

  /** Records that the trial has ended, whatever its result. */
  endTrial (parts: readonly PartKey[]): void {
    for (const part of parts) this._trials.delete(part)
  }

  /** Returns what peers should know: quarantined parts first, then those that changed last. */
  createReport (now: Timestamp): PartSuspicion[] {
    this._isReportUrgent = false
    this._refresh(now)
    const suspects = [...this._suspects.values()].sort((left, right) => Number(isQuarantined(right, now)) - Number(isQuarantined(left, now)) || right.changedAt - left.changedAt)
    return suspects.slice(0, MAXIMUM_REPORTED).map(suspect => suspect.toSuspicion(now))
  }

  /** Merges what a peer has reported. */
  applyReport (suspicions: readonly PartSuspicion[], now: Timestamp): void {
    for (const suspicion of suspicions) {
      const known = this._suspects.get(suspicion.part)
      const hasUncleared = suspicion.crashes.some(({ crash }) => !suspicion.cleared.includes(crash))
      if (!known && !hasUncleared) continue
      this._ensureSuspect(suspicion.part, now).merge(suspicion, now)
    }
    this._trim()
  }

  /** Removes expired suspects, and announces parts that are quarantined since the last call or no longer are. */
  private _refresh (now: Timestamp): void {
    this._removeExpired(now)
    for (const suspect of this._suspects.values()) {
      const isNowQuarantined = isQuarantined(suspect, now)
      if (isNowQuarantined === suspect.isAnnounced) continue
      suspect.isAnnounced = isNowQuarantined
      this._onChange(suspect.part, isNowQuarantined ? 'quarantined' : 'cleared', suspect.listUncleared().length)
    }
  }

  /**
   * Whether all crashes of a part are explained by another quarantined part that this request does not have: all
   * requests that crashed upstreams with the one also had the other.
   */
  private _isBlamedForOther (suspect: SuspectPart, parts: readonly PartKey[], now: Timestamp): boolean {
    return commonCompanions(suspect.listUncleared()).some(companion => {
      const other = this._suspects.get(companion)
      return other !== undefined && isQuarantined(other, now) && !parts.includes(companion)
    })
  }

  private _trialTimeOf (suspect: SuspectPart): Timestamp {
    const failedTrials = suspect.listUncleared().filter(({ isTrial }) => isTrial).length
    const delay = TRIAL_DELAYS_MILLISECONDS[Math.min(failedTrials, TRIAL_DELAYS_MILLISECONDS.length - 1)]
    const rankDelay = failedTrials === 0 ? FIRST_TRIAL_RANK_MILLISECONDS : LATER_TRIAL_RANK_MILLISECONDS
    return suspect.lastCrashAt + delay + this._rankFor(suspect.part) * rankDelay
  }

  private _ensureSuspect (part: PartKey, now: Timestamp): SuspectPart {
    const suspect = this._suspects.get(part) ?? SuspectPart.create(part, now)
    this._suspects.set(part, suspect)
    return suspect
  }

  private _removeExpired (now: Timestamp): void {
    for (const [part, suspect] of this._suspects) {
      const isCleared = suspect.listUncleared().length === 0
      const expiresAt = isCleared ? suspect.changedAt + CLEARED_RETENTION_MILLISECONDS : suspect.lastCrashAt + RETENTION_MILLISECONDS
      if (expiresAt <= now) this._suspects.delete(part)
    }
  }

  /** Callers can send ever new parts: those without enough crashes for the quarantine are dropped first. */
  private _trim (): void {
    const excess = this._suspects.size - MAXIMUM_SUSPECTS
    if (excess <= 0) return
    const oldestFirst = [...this._suspects.values()].sort((left, right) => Number(hasEnoughCrashes(left)) - Number(hasEnoughCrashes(right)) || left.changedAt - right.changedAt)
    for (const { part } of oldestFirst.slice(0, excess)) this._suspects.delete(part)
  }
}

function hasEnoughCrashes (suspect: SuspectPart): boolean {
  return suspect.listUncleared().length >= CRASHES_FOR_QUARANTINE
}

function isQuarantined (suspect: SuspectPart, now: Timestamp): boolean {
  return hasEnoughCrashes(suspect) && now >= suspect.firstUnclearedAt + MINIMUM_AGE_MILLISECONDS
}

function commonCompanions (crashes: readonly PartCrash[]): readonly PartKey[] {
  const [first, ...others] = crashes
  return first.companions.filter(part => others.every(({ companions }) => companions.includes(part)))
}
