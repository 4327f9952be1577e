/**
 * Moves resumable streams from upstreams shortly before the platform reclaims them.
 *
 * @module
 */
import type { Clock, Timer } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { RunningRequests } from './runningRequests.js'

/** Streams migrate this long before their upstream is reclaimed. */
const MARGIN_MILLISECONDS = 400

/** Schedules the migrations of one gateway. */
export class StreamMigration {
  private readonly _running: RunningRequests
  private readonly _clock: Clock
  private readonly _timers = new Map<Upstream, Timer>()

  private constructor (running: RunningRequests, clock: Clock) {
    this._running = running
    this._clock = clock
  }

  static create (running: RunningRequests, clock: Clock): StreamMigration {
    return new StreamMigration(running, clock)
  }

  /** Schedules the migration from an upstream if it is announced to be reclaimed; does so once. */
  schedule (upstream: Upstream): void {
    if (!upstream.isLeaving || upstream.leavesAt === undefined || this._timers.has(upstream)) return
    this._timers.set(upstream, this._clock.schedule(upstream.leavesAt - MARGIN_MILLISECONDS, () => {
      this._timers.delete(upstream)
      for (const task of this._running.listOf(upstream)) task.migrate()
    }))
  }

  /** Cancels what is scheduled. */
  cancel (): void {
    for (const timer of this._timers.values()) timer.cancel()
  }
}
