/**
 * Shuts a gateway down gracefully: readiness checks fail, then no new connections are accepted, and running requests may finish.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { RunningRequests } from '../attempts/runningRequests.js'
import type { CallerServer } from '../callers/callerServer.js'
import type { RelayServer } from '../relay/relayServer.js'

/**
 * Time after the stop signal during which requests are still accepted. The load balancer keeps sending connections for
 * two more readiness checks; requests accepted after this time might not finish within the grace period.
 */
const STOP_ACCEPTING_MILLISECONDS = 2600
/** The process exits this long before it would be killed. */
const STOP_MARGIN_MILLISECONDS = 700
const STOP_POLL_MILLISECONDS = 50

/** Dependencies and callbacks. */
export interface GatewayStopOptions {
  running: RunningRequests
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
export class GatewayStop {
  private readonly _options: GatewayStopOptions
  private _stopping = false

  private constructor (options: GatewayStopOptions) {
    this._options = options
  }

  static create (options: GatewayStopOptions): GatewayStop {
    return new GatewayStop(options)
  }

  /** Whether the gateway has begun to shut down. */
  get isStopping (): boolean {
    return this._stopping
  }

  /** Resolves when the requests have ended, or shortly before the end of the grace period; what still runs is cut then. */
  async run (): Promise<void> {
    const { clock, instrumentation, announce, running, graceMilliseconds } = this._options
    const startedAt = clock.now()
    this._stopping = true
    const acceptedBefore = running.acceptedCount
    instrumentation.emit('stopping', { running: running.count, open: running.openCount })
    announce()
    await this._options.context.sleepUntil(startedAt + STOP_ACCEPTING_MILLISECONDS)
    const acceptedInTime = running.acceptedCount - acceptedBefore
    this._options.callerServer().server.close()
    await this._drain(startedAt + graceMilliseconds() - STOP_MARGIN_MILLISECONDS)
    const cut = running.listOpen()
    for (const task of cut) task.endForStop()
    instrumentation.emit('stopped', { acceptedInTime, acceptedLate: running.acceptedCount - acceptedBefore - acceptedInTime, cut: cut.length, milliseconds: Math.round(clock.now() - startedAt) })
  }

  private async _drain (drainsUntil: Timestamp): Promise<void> {
    const { clock, context, running, callerServer, tunnels } = this._options
    callerServer().server.closeIdleConnections()
    while ((running.openCount > 0 || tunnels().openTunnels > 0) && clock.now() < drainsUntil) {
      await context.sleepUntil(clock.now() + STOP_POLL_MILLISECONDS)
      callerServer().server.closeIdleConnections()
    }
  }
}
