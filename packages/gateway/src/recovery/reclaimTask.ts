/**
 * Migrates requests from upstreams that are being reclaimed.
 *
 * @module
 */
import type { Clock, Instrumentation } from '@plumstage/common'
import type { RequestRegistry } from '../attempts/requestRegistry.js'
import type { Upstream } from '../upstreams/upstream.js'
import { planMigrations } from './reclaimPlanner.js'

/** Executes the plans of the reclaim planner. */
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

  /** Plans and schedules the migrations from one upstream. */
  migrateRequests (upstream: Upstream): void {
    const now = this._clock.now()
    const running = this._requests.listOnUpstream(upstream)
    const migrations = planMigrations(running.map(task => task.describeForReclaim(now)), upstream.leavingDeadline ?? now, now)
    this._instrumentation.emit('upstream-leaving', { upstream: upstream.address, incarnation: upstream.incarnation, deadline: upstream.leavingDeadline, running: running.length, moving: migrations.length })
    for (const migration of migrations) {
      const task = running.find(candidate => candidate.request.requestId === migration.requestId)
      this._clock.schedule(migration.migrateAt, () => task?.migrateFrom(upstream))
    }
  }
}
