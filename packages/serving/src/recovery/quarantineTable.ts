/**
 * Decides which requests are suspected of crashing upstreams, and which are quarantined for it. What gateways know of
 * this only grows, so that it can be told and merged in any order.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const DEFAULT_CRASHES_FOR_QUARANTINE = 2
const RETENTION_MILLISECONDS = 30 * 60_000
const MAXIMUM_SUSPICIONS = 1000

/** What is known about one request content. */
export interface CrashSuspicion {
  /** Digest of service, path and body. */
  digest: string
  /** Identities of the upstream runs that crashed while they ran the request. */
  crashes: readonly string[]
  /** Those of the crashes of which it was found innocent, because it finished alone afterwards. */
  cleared: readonly string[]
  /** When this is forgotten. */
  deadline: Timestamp
}

/** How a request is to be treated. */
export type SuspicionState =
  | 'clear'
  /** It ran on one upstream that crashed: it runs alone. */
  | 'suspect'
  /** It ran on too many that crashed: it is not run again. */
  | 'quarantined'

/** All suspicions that a gateway knows. */
export class QuarantineTable {
  private readonly _suspicions = new Map<string, CrashSuspicion>()
  private readonly _crashesForQuarantine: number

  private constructor (crashesForQuarantine: number) {
    this._crashesForQuarantine = crashesForQuarantine
  }

  /** `crashesForQuarantine` is the number of crashes after which a request is not run again. */
  static create (crashesForQuarantine = DEFAULT_CRASHES_FOR_QUARANTINE): QuarantineTable {
    return new QuarantineTable(crashesForQuarantine)
  }

  get isEmpty (): boolean {
    return this._suspicions.size === 0
  }

  list (now: Timestamp): CrashSuspicion[] {
    this._removeExpired(now)
    return [...this._suspicions.values()]
  }

  stateOf (digest: string, now: Timestamp): SuspicionState {
    this._removeExpired(now)
    const suspicion = this._suspicions.get(digest)
    if (!suspicion) return 'clear'
    const open = suspicion.crashes.filter(crash => !suspicion.cleared.includes(crash)).length
    if (open === 0) return 'clear'
    return open >= this._crashesForQuarantine ? 'quarantined' : 'suspect'
  }

  /** Notes that an upstream crashed while it ran the request. `crash` identifies the run of the upstream. */
  recordCrash (digest: string, crash: string, now: Timestamp): SuspicionState {
    this.merge([{ digest, crashes: [crash], cleared: [], deadline: now + RETENTION_MILLISECONDS }], now)
    return this.stateOf(digest, now)
  }

  /** Notes that the request has finished: no crash so far was its doing. */
  recordFinished (digest: string, now: Timestamp): void {
    const suspicion = this._suspicions.get(digest)
    if (suspicion) this.merge([{ ...suspicion, cleared: suspicion.crashes }], now)
  }

  /** Takes suspicions that come without a deadline; they are kept as long as own ones. */
  mergeReports (suspicions: ReadonlyArray<Omit<CrashSuspicion, 'deadline'>>, now: Timestamp): void {
    this.merge(suspicions.map(({ digest, crashes, cleared }) => {
      const deadline = this._suspicions.get(digest)?.deadline ?? now + RETENTION_MILLISECONDS
      return { digest, crashes, cleared, deadline }
    }), now)
  }

  merge (suspicions: readonly CrashSuspicion[], now: Timestamp): void {
    for (const offered of suspicions) {
      if (offered.deadline <= now) continue
      const known = this._suspicions.get(offered.digest)
      this._suspicions.set(offered.digest, known ? mergeSuspicions(known, offered) : offered)
    }
    this._trim()
  }

  private _removeExpired (now: Timestamp): void {
    for (const [digest, suspicion] of this._suspicions) if (suspicion.deadline <= now) this._suspicions.delete(digest)
  }

  private _trim (): void {
    for (const oldest of this._suspicions.keys()) {
      if (this._suspicions.size <= MAXIMUM_SUSPICIONS) return
      this._suspicions.delete(oldest)
    }
  }
}

function mergeSuspicions (left: CrashSuspicion, right: CrashSuspicion): CrashSuspicion {
  return {
    digest: left.digest,
    crashes: sortedUnion(left.crashes, right.crashes),
    cleared: sortedUnion(left.cleared, right.cleared),
    deadline: Math.max(left.deadline, right.deadline)
  }
}

/** Sorted, so that equal knowledge is written the same by every gateway. */
function sortedUnion (left: readonly string[], right: readonly string[]): string[] {
  return [...new Set([...left, ...right])].sort()
}
