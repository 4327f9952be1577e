/**
 * Decides whether this gateway holds a duty: work that exactly one gateway of the deployment performs.
 *
 * A gateway whose process was paused may not notice that its lease has expired. Therefore the deadline of the lease
 * counts from the start of the call that renewed it, and the holder stops acting a safety margin before the deadline.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { toNumber } from '../keyValue/storePosition.js'
import type { StorePosition } from '../keyValue/storePosition.js'

/** Duration of a duty's lease and the intervals at which it is acquired and renewed. */
export interface DutyLeaseTiming {
  leaseMilliseconds: number
  /** Time from one renewal to the next. */
  renewIntervalMilliseconds: number
  /** Time until the next attempt after a failure to acquire or renew the lease. */
  retryIntervalMilliseconds: number
  /** The holder stops acting this long before its lease expires. */
  safetyMarginMilliseconds: number
}

export const DEFAULT_DUTY_LEASE_TIMING: DutyLeaseTiming = { leaseMilliseconds: 10_000, renewIntervalMilliseconds: 3000, retryIntervalMilliseconds: 2000, safetyMarginMilliseconds: 2000 }

/** A duty that this gateway holds. */
export interface HeldDuty {
  lease: bigint
  /** Increases with every holder; engines that honour it refuse orders with a lower number. */
  fencingNumber: number
  /** Era of the key-value service in which the duty was acquired. */
  era: number
  /** When the lease expires unless it is renewed. */
  deadline: Timestamp
  /** When the holder stops acting unless the lease is renewed: a safety margin before the deadline. */
  actingDeadline: Timestamp
}

/** The next action of the duty task. */
export type DutyAction =
  | { kind: 'acquire' }
  | { kind: 'renew', lease: bigint }

/** Lease state of one duty on one gateway. */
export class DutyLease {
  readonly timing: DutyLeaseTiming
  private _held: HeldDuty | undefined
  private _nextTickAt: Timestamp = 0

  private constructor (timing: DutyLeaseTiming) {
    this.timing = timing
  }

  static create (timing: DutyLeaseTiming = DEFAULT_DUTY_LEASE_TIMING): DutyLease {
    return new DutyLease(timing)
  }

  /** Returns the duty if this gateway may act on it at `now`, when the key-value service is in `era`. */
  getHeldDuty (now: Timestamp, era: number): HeldDuty | undefined {
    if (!this._held || this._held.era !== era) return undefined
    return now < this._held.actingDeadline ? this._held : undefined
  }

  /** Returns when to call `tick` next. */
  get nextTickAt (): Timestamp {
    return this._nextTickAt
  }

  /** Returns the action that is due at `now`, if any. */
  tick (now: Timestamp): DutyAction | undefined {
    if (now < this._nextTickAt) return undefined
    this._nextTickAt = now + this.timing.retryIntervalMilliseconds
    if (this._held && now >= this._held.deadline) this._held = undefined
    return this._held ? { kind: 'renew', lease: this._held.lease } : { kind: 'acquire' }
  }

  /** Records that a call started at `calledAt` acquired the duty, at a position of the key-value service. */
  recordAcquired (lease: bigint, position: StorePosition, calledAt: Timestamp): void {
    this._held = { lease, fencingNumber: toNumber(position), era: position.era, ...this._deadlinesOf(calledAt) }
    this._nextTickAt = calledAt + this.timing.renewIntervalMilliseconds
  }

  /** Records that a call started at `calledAt` renewed the lease. */
  recordRenewed (lease: bigint, calledAt: Timestamp): void {
    if (this._held?.lease !== lease) return
    Object.assign(this._held, this._deadlinesOf(calledAt))
    this._nextTickAt = calledAt + this.timing.renewIntervalMilliseconds
  }

  /** Records that the lease has expired or was abandoned. */
  recordExpired (lease: bigint): void {
    if (this._held?.lease === lease) this._held = undefined
  }

  private _deadlinesOf (calledAt: Timestamp): Pick<HeldDuty, 'deadline' | 'actingDeadline'> {
    const deadline = calledAt + this.timing.leaseMilliseconds
    return { deadline, actingDeadline: deadline - this.timing.safetyMarginMilliseconds }
  }
}
