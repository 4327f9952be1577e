/**
 * Decides whether this gateway holds a duty: work that needs exactly one holder in the deployment.
 *
 * A holder that was paused may believe that it still holds the duty. So the deadline of the lease counts from before
 * the call that renewed it, and the holder acts only until some time before that deadline.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** How long a duty is leased, and when it is renewed. */
export interface DutyLeaseTiming {
  leaseMilliseconds: number
  /** Time from one renewal to the next. */
  renewIntervalMilliseconds: number
  /** Time between attempts to acquire or renew that failed. */
  retryIntervalMilliseconds: number
  /** The holder acts only until this long before its lease lapses. */
  safetyMarginMilliseconds: number
}

export const DEFAULT_DUTY_LEASE_TIMING: DutyLeaseTiming = { leaseMilliseconds: 10_000, renewIntervalMilliseconds: 3000, retryIntervalMilliseconds: 2000, safetyMarginMilliseconds: 2000 }

/** A duty that is held. */
export interface HeldDuty {
  lease: bigint
  /** Rises with every holder; engines that honour it refuse orders with a lower one. */
  fencingNumber: number
  /** When the lease lapses unless it is renewed. */
  deadline: Timestamp
}

/** What the duty task is to do. */
export type DutyAction =
  | { kind: 'acquire' }
  | { kind: 'renew', lease: bigint }

/** State of one duty on one gateway. */
export class DutyLease {
  readonly timing: DutyLeaseTiming
  private _held: HeldDuty | undefined
  private _nextTickAt: Timestamp = 0

  private constructor (times: DutyLeaseTiming) {
    this.timing = times
  }

  static create (times: DutyLeaseTiming = DEFAULT_DUTY_LEASE_TIMING): DutyLease {
    return new DutyLease(times)
  }

  /** Returns the duty if this gateway may act on it now. */
  getHeldDuty (now: Timestamp): HeldDuty | undefined {
    return this._held && now < this._held.deadline - this.timing.safetyMarginMilliseconds ? this._held : undefined
  }

  /** Returns when `tick` is to be called next. */
  get nextTickAt (): Timestamp {
    return this._nextTickAt
  }

  /** Returns what is to be done at this time, if anything. */
  tick (now: Timestamp): DutyAction | undefined {
    if (now < this._nextTickAt) return undefined
    this._nextTickAt = now + this.timing.retryIntervalMilliseconds
    if (this._held && now >= this._held.deadline) this._held = undefined
    return this._held ? { kind: 'renew', lease: this._held.lease } : { kind: 'acquire' }
  }

  /** The duty was acquired by a call that was begun at `calledAt`. */
  recordAcquired (lease: bigint, fencingNumber: number, calledAt: Timestamp): void {
    this._held = { lease, fencingNumber, deadline: calledAt + this.timing.leaseMilliseconds }
    this._nextTickAt = calledAt + this.timing.renewIntervalMilliseconds
  }

  /** The lease was renewed by a call that was begun at `calledAt`. */
  recordRenewed (lease: bigint, calledAt: Timestamp): void {
    if (this._held?.lease !== lease) return
    this._held.deadline = calledAt + this.timing.leaseMilliseconds
    this._nextTickAt = calledAt + this.timing.renewIntervalMilliseconds
  }

  /** The service says that the lease has lapsed. */
  recordExpired (lease: bigint): void {
    if (this._held?.lease === lease) this._held = undefined
  }
}
