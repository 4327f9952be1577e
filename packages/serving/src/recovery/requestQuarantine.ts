/**
 * Decides which requests crash the upstreams that run them, and quarantines them. Every crash takes sound requests with it, and the
 * same sound request may run at all upstreams: it is cleared as soon as it gets further anywhere, and a quarantined one is sent as
 * a trial now and then, so that it is not refused for longer than needed.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ReportedSuspicion } from '../peers/gatewayReport.js'
import { SuspectRequest } from './suspectRequest.js'
import type { RequestCrash } from './suspectRequest.js'

const WEIGHT_FOR_QUARANTINE = 3
/** From this weight on, peers hear of each crash at once. */
const URGENT_WEIGHT = 2
const RETENTION_MILLISECONDS = 30 * 60_000
/** A request that was cleared is reported for this long. */
const CLEARED_REPORT_MILLISECONDS = 10_000
/** It is forgotten after this time, when no peer reports the crashes any more. */
const CLEARED_RETENTION_MILLISECONDS = 60_000
const MAXIMUM_SUSPECTS = 1000
const MAXIMUM_REPORTED = 40
/** Crashes of each kind that are reported of one request: more than the quarantine needs. */
const MAXIMUM_REPORTED_CRASHES = 6
/**
 * Time from the last crash until a request is sent as a trial, by the number of trials that have crashed an upstream. The last one
 * is beyond the retention, so that there are three.
 */
const TRIAL_DELAYS_MILLISECONDS = [3000, 30_000, 10 * 60_000, RETENTION_MILLISECONDS]
/** Gateways send trials in the order of their ranks, this long after each other, so that they hear the result first. */
const TRIAL_RANK_MILLISECONDS = 3000
/** A trial without a result, for example because its caller has left, is not repeated before. */
const TRIAL_REPEAT_MILLISECONDS = 5000

/** Whether a request may be sent to an upstream. */
export type RequestVerdict =
  | { kind: 'accepted' }
  /** It may be sent as a trial, which `beginTrial` has to announce. */
  | { kind: 'trial' }
  | { kind: 'refused', retryAt: Timestamp }

/** A change of the state of the requests with one digest. */
export type RequestChange = 'quarantined' | 'cleared'

/** Called when the requests with a digest are quarantined or no longer are. */
export type RequestChangeListener = (digest: string, change: RequestChange, crashes: number) => void

const ACCEPTED: RequestVerdict = { kind: 'accepted' }
const TRIAL: RequestVerdict = { kind: 'trial' }

/** The suspected requests that one gateway knows. */
export class RequestQuarantine {
  private readonly _suspects = new Map<string, SuspectRequest>()
  /** When this gateway may send the next trial of a digest; never while one is under way. */
  private readonly _nextTrialAt = new Map<string, Timestamp>()
  private readonly _rankFor: (digest: string) => number
  private _onChange: RequestChangeListener = () => {}
  private _isReportUrgent = false

  private constructor (rankFor: (digest: string) => number) {
    this._rankFor = rankFor
  }

  /** `rankFor` returns the rank of this gateway among all gateways for a digest. */
  static create (rankFor: (digest: string) => number): RequestQuarantine {
    return new RequestQuarantine(rankFor)
  }

  /** Whether no request is or was suspected lately. */
  get isEmpty (): boolean {
    return this._suspects.size === 0
  }

  /** Whether peers should receive a report before the regular interval ends. */
  get isReportUrgent (): boolean {
    return this._isReportUrgent
  }

  onChange (listener: RequestChangeListener): void {
    this._onChange = listener
  }

  countQuarantined (now: Timestamp): number {
    this._removeExpired(now)
    return [...this._suspects.values()].filter(isQuarantined).length
  }

  /** Whether an upstream has crashed while it ran a request with this digest, which has not been cleared of that. */
  isSuspected (digest: string): boolean {
    return (this._suspects.get(digest)?.weight ?? 0) > 0
  }

  decide (digest: string, now: Timestamp): RequestVerdict {
    const suspect = this._suspects.get(digest)
    if (!suspect || !isQuarantined(suspect) || expiryOf(suspect) <= now) return ACCEPTED
    const trialAt = Math.max(this._trialTimeOf(suspect), this._nextTrialAt.get(digest) ?? 0)
    if (now >= trialAt) return TRIAL
    // The end of a trial that is under way is not known.
    const retryAt = Number.isFinite(trialAt) ? trialAt : now + TRIAL_REPEAT_MILLISECONDS
    return { kind: 'refused', retryAt: Math.min(retryAt, expiryOf(suspect)) }
  }

  /** Records that a request is sent as a trial; no other one is until it has ended. */
  beginTrial (digest: string): void {
    this._nextTrialAt.set(digest, Number.POSITIVE_INFINITY)
  }

  /** Records that the trial has ended, whatever its result. */
  endTrial (digest: string, now: Timestamp): void {
    this._nextTrialAt.set(digest, now + TRIAL_REPEAT_MILLISECONDS)
  }

  /** Records a request that ran at an upstream when that crashed. */
  recordCrash (digest: string, crash: RequestCrash, now: Timestamp): void {
    this._change(this._ensureSuspect(digest, now), suspect => {
      if (suspect.addCrash(crash, now) && suspect.weight >= URGENT_WEIGHT) this._isReportUrgent = true
    })
    this._trim()
  }

  /** Records the id of the last event that a request has brought. */
  recordProgress (digest: string, progress: number, now: Timestamp): void {
    const suspect = this._suspects.get(digest)
    if (suspect && suspect.weight > 0) this._change(suspect, () => suspect.clearBefore(progress, now))
  }

  /** Records that a request has finished: it crashes no upstream. */
  recordFinished (digest: string, now: Timestamp): void {
    const suspect = this._suspects.get(digest)
    if (suspect) this._change(suspect, () => suspect.clearAll(now))
  }

  /** Returns what peers should know, which changed last first. */
  createReport (now: Timestamp): ReportedSuspicion[] {
    this._isReportUrgent = false
    this._removeExpired(now)
    const reported = [...this._suspects.values()].filter(suspect => suspect.weight > 0 || now < suspect.changedAt + CLEARED_REPORT_MILLISECONDS)
    return reported.sort((left, right) => right.changedAt - left.changedAt).slice(0, MAXIMUM_REPORTED).map(toReported)
  }

  /** Merges what a peer has reported. */
  applyReport (suspicions: readonly ReportedSuspicion[], now: Timestamp): void {
    for (const suspicion of suspicions) {
      const crashes = fromReported(suspicion)
      if (crashes.length === 0 && !this._suspects.has(suspicion.digest)) continue
      this._change(this._ensureSuspect(suspicion.digest, now), suspect => {
        suspect.clear(suspicion.cleared, now)
        for (const crash of crashes) suspect.addCrash(crash, now)
      })
    }
    this._trim()
  }

  /** Changes a suspect, and announces it if it is quarantined since or no longer is. */
  private _change (suspect: SuspectRequest, change: (suspect: SuspectRequest) => void): void {
    const before = isQuarantined(suspect)
    change(suspect)
    const after = isQuarantined(suspect)
    if (before === after) return
    this._isReportUrgent = true
    this._onChange(suspect.digest, after ? 'quarantined' : 'cleared', suspect.listUncleared().length)
  }

  private _trialTimeOf (suspect: SuspectRequest): Timestamp {
    const delay = TRIAL_DELAYS_MILLISECONDS[Math.min(suspect.failedTrials, TRIAL_DELAYS_MILLISECONDS.length - 1)]
    return suspect.lastCrashAt + delay + this._rankFor(suspect.digest) * TRIAL_RANK_MILLISECONDS
  }

  private _ensureSuspect (digest: string, now: Timestamp): SuspectRequest {
    const suspect = this._suspects.get(digest) ?? SuspectRequest.create(digest, now)
    this._suspects.set(digest, suspect)
    return suspect
  }

  private _removeExpired (now: Timestamp): void {
    for (const suspect of this._suspects.values()) if (expiryOf(suspect) <= now) this._remove(suspect)
  }

  /** Callers can send ever new requests: those with little against them are dropped first. */
  private _trim (): void {
    const excess = this._suspects.size - MAXIMUM_SUSPECTS
    if (excess <= 0) return
    const leastNeeded = [...this._suspects.values()].sort((left, right) => Number(isQuarantined(left)) - Number(isQuarantined(right)) || left.changedAt - right.changedAt)
    for (const suspect of leastNeeded.slice(0, excess)) this._remove(suspect)
  }

  private _remove ({ digest }: SuspectRequest): void {
    this._suspects.delete(digest)
    this._nextTrialAt.delete(digest)
  }
}

function isQuarantined (suspect: SuspectRequest): boolean {
  return suspect.weight >= WEIGHT_FOR_QUARANTINE
}

function expiryOf (suspect: SuspectRequest): Timestamp {
  return suspect.weight > 0 ? suspect.lastCrashAt + RETENTION_MILLISECONDS : suspect.changedAt + CLEARED_RETENTION_MILLISECONDS
}

function toReported (suspect: SuspectRequest): ReportedSuspicion {
  const crashes = suspect.listUncleared().slice(0, MAXIMUM_REPORTED_CRASHES)
  return {
    digest: suspect.digest,
    crashes: crashes.map(({ crash }) => crash),
    cleared: suspect.listCleared().slice(0, MAXIMUM_REPORTED_CRASHES),
    progress: crashes.map(({ progress }) => progress),
    begun: crashes.map(({ hasBegun }) => hasBegun),
    trials: crashes.map(({ isTrial }) => isTrial)
  }
}

/** Gateways of earlier releases state neither how far the request had got nor whether it was a trial. */
function fromReported ({ crashes, cleared, progress, begun, trials }: ReportedSuspicion): RequestCrash[] {
  return crashes
    .map((crash, index) => ({ crash, progress: progress?.[index] ?? 0, hasBegun: begun?.[index] ?? false, isTrial: trials?.[index] ?? false }))
    .filter(({ crash }) => !cleared.includes(crash))
    .reverse()
}
