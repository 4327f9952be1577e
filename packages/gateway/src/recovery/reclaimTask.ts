/**
 * Moves requests away from upstreams that are being reclaimed.
 *
 * @module
 */
import type { Clock, Instrumentation } from '@plumstage/common'
import type { RequestRegistry } from '../attempts/requestRegistry.js'
import type { Upstream } from '../upstreams/upstream.js'
import { planMigrations } from './reclaimPlanner.js'

/** Carries out the plans of the reclaim planner. */
export class ReclaimTask {
  private readonly _requests: RequestRegistry
  private readonly _clock: Clock
  private readonly _instrumentation: Instrumentation

  private constructor (requests: RequestRegistry, clock: Clock, instrumentation: Instrumentation) {
    this._requests = requests
    this._clock = clock
    this._instrumentation = instrumentation
  }

  static create (requests: RequestRegistry, clock: Clock, instrumentation: Instrumentation): ReclaimTask {
    return new ReclaimTask(requests, clock, instrumentation)
  }

  /** Plans and schedules the moves away from one upstream. */
  migrateRequests (upstream: Upstream): void {
    const now = this._clock.now()
    const running = this._requests.listOnUpstream(upstream)
    const moves = planMigrations(running.map(task => task.describeForReclaim(now)), upstream.leavingDeadline ?? now, now)
    this._instrumentation.emit('upstream-leaving', { upstream: upstream.address, incarnation: upstream.incarnation, deadline: upstream.leavingDeadline, running: running.length, moving: moves.length })
    for (const move of moves) {
      const task = running.find(candidate => candidate.request.requestId === move.requestId)
      this._clock.schedule(move.migrateAt, () => task?.migrateFrom(upstream))
    }
  }
}
