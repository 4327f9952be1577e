/**
 * What is known of the request limit of one upstream. An upstream in need states in its responses how many requests per
 * second it accepts from all gateways together; the limit ends with the first later response that does not state one.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/**
 * For this long after a response that stated the limit, a gateway does not believe another one that it has ended: that
 * report may be late. Its own next response tells.
 */
const TRUST_OWN_RESPONSE_MILLISECONDS = 10_000
/** Bounds the memory for each upstream; the origins heard of first are dropped. */
const MAXIMUM_KNOWN_ORIGINS = 64

/** What the head of a response states about the limit of its upstream. */
export type LimitStatement =
  | { kind: 'none' }
  | { kind: 'limit', requestsPerSecond: number }
  /** The upstream states a limit, but its value can't be read. */
  | { kind: 'unreadable', text: string }

/** The most recent knowledge of a limit. */
export interface LimitObservation {
  /** Undefined when the limit has ended. */
  requestsPerSecond: number | undefined
  /** When the upstream stated this, by the clock of this gateway. */
  statedAt: Timestamp
  /** Run of the gateway to which the upstream stated this. */
  origin: number
  /** Number of the statement at that gateway. */
  number: number
}

/** The limit of one incarnation of an upstream. */
export class StatedLimit {
  private _latest: LimitObservation | undefined
  /** When a response to this gateway last stated a limit; undefined when there was none, or a later one stated none. */
  private _statedHereAt: Timestamp | undefined
  private _responses = 0
  /** Number of the last statement of each gateway. */
  private readonly _numbers = new Map<number, number>()

  static create (): StatedLimit {
    return new StatedLimit()
  }

  /** Requests per second that the upstream accepts from all gateways together; undefined when it states no limit. */
  get requestsPerSecond (): number | undefined {
    return this._latest?.requestsPerSecond
  }

  /** The most recent knowledge; undefined when no limit was ever stated. */
  get latest (): LimitObservation | undefined {
    return this._latest
  }

  /**
   * Applies the statement of a response to a request that this gateway, `origin`, sent at `sentAt`. Responses overtake
   * each other, so one without a statement ends the limit only if its request was sent after the limit was last stated.
   * A value that can't be read neither changes nor ends a limit. Later responses without a statement renew the knowledge
   * that a limit has ended. Returns whether the limit has changed.
   */
  applyResponse (statement: LimitStatement, origin: number, sentAt: Timestamp, now: Timestamp): boolean {
    if (statement.kind === 'unreadable') return false
    if (statement.kind === 'none' && (this._latest === undefined || sentAt <= this._latest.statedAt)) return false
    const requestsPerSecond = statement.kind === 'limit' ? statement.requestsPerSecond : undefined
    this._statedHereAt = statement.kind === 'limit' ? now : undefined
    return this._replace({ requestsPerSecond, statedAt: now, origin, number: ++this._responses })
  }

  /** Applies what another gateway knows, if it is new here and newer. Returns whether the limit has changed. */
  applyReport (observation: LimitObservation, now: Timestamp): boolean {
    const { requestsPerSecond, statedAt, origin, number } = observation
    if (number <= (this._numbers.get(origin) ?? 0)) return false
    this._recordNumber(origin, number)
    if (this._latest === undefined ? requestsPerSecond === undefined : statedAt <= this._latest.statedAt) return false
    if (requestsPerSecond === undefined && this._isStatedHere(now)) return false
    return this._replace(observation)
  }

  private _isStatedHere (now: Timestamp): boolean {
    return this._statedHereAt !== undefined && now < this._statedHereAt + TRUST_OWN_RESPONSE_MILLISECONDS
  }

  private _replace (observation: LimitObservation): boolean {
    const before = this.requestsPerSecond
    this._recordNumber(observation.origin, observation.number)
    this._latest = observation
    return before !== observation.requestsPerSecond
  }

  private _recordNumber (origin: number, number: number): void {
    this._numbers.delete(origin)
    this._numbers.set(origin, number)
    const [oldest] = this._numbers.keys()
    if (this._numbers.size > MAXIMUM_KNOWN_ORIGINS) this._numbers.delete(oldest)
  }
}
