/**
 * What one upstream received, and a check that it received no more than its limit allows.
 *
 * @module
 */

/** Time from the first statement of a limit until the check begins. */
const CONTACT_MILLISECONDS = 3000
/** The requests of a gateway count from this long after it has passed on a response that states the limit. */
const KNOWN_AFTER_MILLISECONDS = 500
const WINDOW_MILLISECONDS = 4000
const TOLERATED_FACTOR = 1.5
const TOLERATED_REQUESTS = 5
const MILLISECONDS_PER_SECOND = 1000

interface Arrival {
  gateway: string
  at: number
}

/** The highest number of counted requests in one window, and the number that is allowed. */
export interface LimitReport {
  most: number
  allowed: number
}

/** Records the requests that one upstream received. */
export class ArrivalLog {
  private readonly _arrivals: Arrival[] = []
  private readonly _toldAt = new Map<string, number>()
  private _firstStatedAt: number | undefined

  static create (): ArrivalLog {
    return new ArrivalLog()
  }

  /** Number of all requests received. */
  get count (): number {
    return this._arrivals.length
  }

  record (gateway: string, at: number): void {
    this._arrivals.push({ gateway, at })
  }

  /** Records that a response to a gateway states the limit. */
  recordStatement (gateway: string, at: number): void {
    this._firstStatedAt ??= at
    if (!this._toldAt.has(gateway)) this._toldAt.set(gateway, at)
  }

  /** Forgets what a gateway was told, because its process was restarted. */
  forget (gateway: string): void {
    this._toldAt.delete(gateway)
  }

  /** Counts the requests in each window from gateways that the upstream had told its limit. */
  checkLimit (requestsPerSecond: number): LimitReport {
    const start = (this._firstStatedAt ?? Number.POSITIVE_INFINITY) + CONTACT_MILLISECONDS
    const counted = this._arrivals.filter(({ gateway, at }) => at >= start && at >= (this._toldAt.get(gateway) ?? Number.POSITIVE_INFINITY) + KNOWN_AFTER_MILLISECONDS).map(({ at }) => at)
    const most = Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length))
    return { most, allowed: requestsPerSecond * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND * TOLERATED_FACTOR + TOLERATED_REQUESTS }
  }
}
