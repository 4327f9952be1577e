/**
 * What is known of the request limit of one upstream. An upstream in need states in its responses how many requests per
 * second it accepts from all gateways together; the limit ends with the first later response that does not state one.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

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
}

/** The limit of one incarnation of an upstream. */
export class StatedLimit {
  private _latest: LimitObservation | undefined

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
   * Applies the statement of a response to a request that was sent at `sentAt`. Responses overtake each other, so one
   * without a statement ends the limit only if its request was sent after the limit was last stated. A value that can't
   * be read neither changes nor ends a limit. Later responses without a statement renew the knowledge that a limit has
   * ended. Returns whether the limit has changed.
   */
  applyResponse (statement: LimitStatement, sentAt: Timestamp, now: Timestamp): boolean {
    if (statement.kind === 'limit') return this._replace({ requestsPerSecond: statement.requestsPerSecond, statedAt: now })
    if (statement.kind === 'unreadable' || this._latest === undefined) return false
    if (sentAt <= this._latest.statedAt) return false
    return this._replace({ requestsPerSecond: undefined, statedAt: now })
  }

  /** Applies what another gateway knows, if it is newer. Returns whether the limit has changed. */
  applyReport (observation: LimitObservation): boolean {
    if (this._latest === undefined ? observation.requestsPerSecond === undefined : observation.statedAt <= this._latest.statedAt) return false
    return this._replace(observation)
  }

  private _replace (observation: LimitObservation): boolean {
    const before = this.requestsPerSecond
    this._latest = observation
    return before !== observation.requestsPerSecond
  }
}
