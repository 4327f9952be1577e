/**
 * The times of a planned stop: until when requests are accepted, and when those that still run have to end.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/**
 * Time after the stop signal during which requests are still accepted. The load balancer keeps sending connections for
 * two more readiness checks; requests accepted after this time might not finish within the grace period.
 */
const ACCEPTING_MILLISECONDS = 2600
/** What still runs is ended this long before the process would be killed. */
const MARGIN_MILLISECONDS = 700
/** Time for writing the last responses. */
const WRITING_MILLISECONDS = 300

/** What becomes of a request that is complete now. */
export type StopDecision = 'accepted' | 'too-late' | 'too-long'

/** The schedule of one stop. */
export class StopSchedule {
  /** Requests that are complete later are refused. */
  readonly acceptsUntil: Timestamp
  /** Requests that have not ended by then are ended by the gateway. */
  readonly drainsUntil: Timestamp

  /** The process ends by then, although responses are not completely written. */
  readonly writesUntil: Timestamp

  private constructor (acceptsUntil: Timestamp, drainsUntil: Timestamp) {
    this.writesUntil = drainsUntil + WRITING_MILLISECONDS
    this.acceptsUntil = acceptsUntil
    this.drainsUntil = drainsUntil
  }

  /** `graceMilliseconds` is the time between the stop signal and the end of the process by force. */
  static create (startedAt: Timestamp, graceMilliseconds: number): StopSchedule {
    const drainsUntil = startedAt + Math.max(0, graceMilliseconds - MARGIN_MILLISECONDS)
    return new StopSchedule(Math.min(startedAt + ACCEPTING_MILLISECONDS, drainsUntil), drainsUntil)
  }

  /**
   * Decides on a request that was read completely, however long ago its first byte came. `endsAt` is when it will probably end,
   * undefined if that is not known; it is accepted then.
   */
  decide (now: Timestamp, endsAt: Timestamp | undefined): StopDecision {
    if (now >= this.acceptsUntil) return 'too-late'
    return endsAt === undefined || endsAt <= this.drainsUntil ? 'accepted' : 'too-long'
  }
}
