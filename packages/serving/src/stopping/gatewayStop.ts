/**
 * Shuts a gateway down gracefully: readiness checks fail, then no new connections are accepted, and running requests may finish.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { RunningRequests } from '../attempts/runningRequests.js'
import type { CallerServer, StopState } from '../callers/callerServer.js'
import type { RelayServer } from '../relay/relayServer.js'
import type { RequestDurations, RequestKind } from './requestDurations.js'
import { StopSchedule } from './stopSchedule.js'

const STOP_POLL_MILLISECONDS = 50

/** Dependencies and callbacks. */
export interface GatewayStopOptions {
  running: RunningRequests
  durations: RequestDurations
  callerServer: () => CallerServer
  tunnels: () => RelayServer
  /** Time between the stop signal and the end of the process by force. */
  graceMilliseconds: () => number
  /** Tells the other gateways. */
  announce: () => void
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
}

/** The graceful shutdown of one gateway. */
export class GatewayStop implements StopState {
  private readonly _options: GatewayStopOptions
  /** Undefined until the gateway begins to shut down. */
  private _schedule: StopSchedule | undefined

  private constructor (options: GatewayStopOptions) {
    this._options = options
  }

  static create (options: GatewayStopOptions): GatewayStop {
    return new GatewayStop(options)
  }

  /** Whether the gateway has begun to shut down. */
  get isStopping (): boolean {
    return this._schedule !== undefined
  }

  /** Whether a request that is complete now is refused, since it can't be served before the process ends. */
  refuses (kind: RequestKind, deadline: Timestamp): boolean {
    if (this._schedule === undefined) return false
    const { clock, durations } = this._options
    const now = clock.now()
    const expectedMilliseconds = durations.expect(kind)
    const endsAt = expectedMilliseconds === undefined ? undefined : Math.min(deadline, now + expectedMilliseconds)
    return this._schedule.decide(now, endsAt) !== 'accepted'
  }

  /** Resolves when the requests have ended, or shortly before the end of the grace period, when those that still run are ended. */
  async run (): Promise<void> {
    const { clock, instrumentation, announce, running, graceMilliseconds } = this._options
    const startedAt = clock.now()
    const schedule = StopSchedule.create(startedAt, graceMilliseconds())
    this._schedule = schedule
    const acceptedBefore = running.acceptedCount
    instrumentation.emit('stopping', { running: running.count, open: running.openCount })
    announce()
    await this._options.context.sleepUntil(schedule.acceptsUntil)
    const acceptedInTime = running.acceptedCount - acceptedBefore
    this._options.callerServer().server.close()
    await this._drain(schedule)
    const cut = running.listOpen().filter(task => task.endForStop())
    this._options.callerServer().refuseUnread()
    await this._waitWhile(() => this._options.callerServer().openResponses > 0, schedule.writesUntil)
    instrumentation.emit('stopped', { acceptedInTime, acceptedLate: running.acceptedCount - acceptedBefore - acceptedInTime, cut: cut.length, unwritten: this._options.callerServer().openResponses, milliseconds: Math.round(clock.now() - startedAt) })
  }

  private async _drain ({ drainsUntil }: StopSchedule): Promise<void> {
    const { running, callerServer, tunnels } = this._options
    await this._waitWhile(() => {
      callerServer().server.closeIdleConnections()
      return running.openCount > 0 || callerServer().openResponses > 0 || tunnels().openTunnels > 0
    }, drainsUntil)
  }

  private async _waitWhile (holds: () => boolean, until: Timestamp): Promise<void> {
    const { clock, context } = this._options
    while (!context.cancelled && holds() && clock.now() < until) await context.sleepUntil(clock.now() + STOP_POLL_MILLISECONDS)
  }
}
