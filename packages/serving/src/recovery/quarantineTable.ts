/**
 * Decides which requests are suspected of crashing upstreams, and which are quarantined for it. Suspicions are merged
 * by union, so gateways can exchange them in any order.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const DEFAULT_CRASHES_FOR_QUARANTINE = 2
const RETENTION_MILLISECONDS = 30 * 60_000
const MAXIMUM_SUSPICIONS = 1000
/** Of one request. Far fewer are needed for the quarantine; crashes that are cleared make room for others. */
const MAXIMUM_CRASHES = 64

/** Crashes that requests with one digest are suspected of causing. */
export interface CrashSuspicion {
  /** Digest of service, path and body. */
  digest: string
  /** Identities of the upstream incarnations that crashed while they executed the request. */
  crashes: readonly string[]
  /** Crashes that the request did not cause, because it has finished since; in packages/gateway, while it ran alone. */
  cleared: readonly string[]
  /** When the suspicion expires. */
  deadline: Timestamp
}

/** How a request is treated. */
export type SuspicionState =
  | 'clear'
  /** At least one upstream crashed while it executed the request. packages/gateway then runs the request alone. */
  | 'suspect'
  /** Too many upstreams crashed while they executed the request: it is not executed again. */
  | 'quarantined'

/** All suspicions known to a gateway. */
export class QuarantineTable {
  private readonly _suspicions = new Map<string, CrashSuspicion>()
  private readonly _crashesForQuarantine: number

  private constructor (crashesForQuarantine: number) {
    this._crashesForQuarantine = crashesForQuarantine
  }

  /** `crashesForQuarantine` is the number of crashes after which a request is not executed again. */
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
    const uncleared = listUncleared(suspicion).length
    if (uncleared === 0) return 'clear'
    return uncleared >= this._crashesForQuarantine ? 'quarantined' : 'suspect'
  }

  /**
   * Records that an upstream crashed while it executed the request. `crash` identifies the incarnation of the upstream.
   */
  recordCrash (digest: string, crash: string, now: Timestamp): SuspicionState {
    this.merge([{ digest, crashes: [crash], cleared: [], deadline: now + RETENTION_MILLISECONDS }], now)
    return this.stateOf(digest, now)
  }

  /** Records that the request has finished, so it did not cause any of the crashes recorded so far. */
  recordFinished (digest: string, now: Timestamp): void {
    const suspicion = this._suspicions.get(digest)
    if (suspicion) this.merge([{ ...suspicion, cleared: suspicion.crashes }], now)
  }

  merge (suspicions: readonly CrashSuspicion[], now: Timestamp): void {
    for (const incoming of suspicions) {
      if (incoming.deadline <= now) continue
      const known = this._suspicions.get(incoming.digest)
      const merged = mergeSuspicions(known ?? incoming, incoming)
      if (known && isSame(known, merged)) continue
      // The table is in the order of the last changes.
      this._suspicions.delete(incoming.digest)
      this._suspicions.set(incoming.digest, merged)
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

/** Crashes that the request may have caused. */
function listUncleared ({ crashes, cleared }: CrashSuspicion): string[] {
  return crashes.filter(crash => !cleared.includes(crash))
}

function isSame (left: CrashSuspicion, right: CrashSuspicion): boolean {
  return left.deadline === right.deadline && left.crashes.join() === right.crashes.join() && left.cleared.join() === right.cleared.join()
}

/** Crashes that are not cleared are kept first, so that those which are can't hide that the request goes on crashing upstreams. */
function mergeSuspicions (left: CrashSuspicion, right: CrashSuspicion): CrashSuspicion {
  const crashes = sortedUnion(left.crashes, right.crashes)
  const cleared = sortedUnion(left.cleared, right.cleared)
  const uncleared = crashes.filter(crash => !cleared.includes(crash))
  const kept = [...uncleared, ...crashes.filter(crash => cleared.includes(crash))].slice(0, MAXIMUM_CRASHES)
  // A crash that is kept stays cleared.
  const keptCleared = [...cleared.filter(crash => kept.includes(crash)), ...cleared.filter(crash => !kept.includes(crash))].slice(0, MAXIMUM_CRASHES)
  return { digest: left.digest, crashes: kept.sort(), cleared: keptCleared.sort(), deadline: Math.max(left.deadline, right.deadline) }
}

/** The result is sorted, so that equal suspicions are represented in the same way on every gateway. */
function sortedUnion (left: readonly string[], right: readonly string[]): string[] {
  return [...new Set([...left, ...right])].sort()
}
