/**
 * Decides when a gateway may try to acquire the cloud duty. A gateway that has run longer than its peers knows the usage
 * of the windows that are not reported yet, so the others leave the duty to it for a moment.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Whether other gateways that are present have run longer. */
export type DutyCandidate = 'senior' | 'junior'

/** Time for which gateways with a senior peer leave a vacant duty to it. */
const JUNIOR_DELAY_MILLISECONDS = 1500

/** Whether the duty is vacant, and since when. */
export class DutyVacancy {
  /** Undefined while the duty is held. */
  private _vacantSince: Timestamp | undefined

  private constructor (now: Timestamp) {
    this._vacantSince = now
  }

  static create (now: Timestamp): DutyVacancy {
    return new DutyVacancy(now)
  }

  setHeld (isHeld: boolean, now: Timestamp): void {
    this._vacantSince = isHeld ? undefined : this._vacantSince ?? now
  }

  isOpenTo (candidate: DutyCandidate, now: Timestamp): boolean {
    if (this._vacantSince === undefined) return false
    return candidate === 'senior' || now >= this._vacantSince + JUNIOR_DELAY_MILLISECONDS
  }
}
