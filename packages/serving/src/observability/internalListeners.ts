/**
 * The listeners of a gateway for peers and for metrics. They open, and their modules are loaded, only after callers are
 * served, so that a gateway that was killed is back sooner.
 *
 * @module
 */
import type { Server } from 'node:http'
import { Listener, describeError, getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { DeploymentView } from '../deployment/deploymentView.js'
import type { RelayServer } from '../relay/relayServer.js'
import type { ServingMetricSources } from './servingMetrics.js'

/** Time from the start until the listeners open. */
const DELAY_MILLISECONDS = 1000
/** A listener that could not be opened is tried again after this time. */
const RETRY_MILLISECONDS = 1000
/** An address that can't be opened is logged at most this often. */
const LOG_INTERVAL_MILLISECONDS = 10_000

/** Addresses and dependencies of the listeners. */
export interface InternalListenersOptions {
  peerAddress: string
  /** Undefined when metrics are not served. */
  metricsAddress: string | undefined
  view: DeploymentView
  tunnels: RelayServer
  metrics: ServingMetricSources
  clock: Clock
  instrumentation: Instrumentation
}

/** Opens and closes the listeners of one gateway. */
export class InternalListeners {
  private readonly _options: InternalListenersOptions
  private readonly _listeners: Listener[] = []
  private readonly _log = getLogger('serving')
  private _opened: Promise<void> = Promise.resolve()

  private constructor (options: InternalListenersOptions) {
    this._options = options
  }

  static create (options: InternalListenersOptions): InternalListeners {
    return new InternalListeners(options)
  }

  /** Opens the listeners after a delay, unless the context is cancelled before. */
  start (context: CallContext): void {
    this._opened = this._open(context).catch((error: unknown) => {
      this._log.error(`The listeners for peers and metrics could not be opened: ${describeError(error)}. Callers are still served.`)
    })
  }

  /** Closes the listeners and their connections immediately. */
  async destroy (): Promise<void> {
    await this._opened
    await Promise.all(this._listeners.map(async listener => await listener.destroy()))
  }

  private async _open (context: CallContext): Promise<void> {
    const { peerAddress, metricsAddress, view, tunnels, metrics, clock, instrumentation } = this._options
    await context.sleepUntil(clock.now() + DELAY_MILLISECONDS)
    if (context.cancelled) return
    const { createMetricsServer, createPeerServer } = await import('./internalServers.js')
    const opening = [this._openWhenPossible(context, createPeerServer(view, tunnels), peerAddress)]
    if (metricsAddress !== undefined) opening.push(this._openWhenPossible(context, createMetricsServer(metrics, instrumentation), metricsAddress))
    await Promise.all(opening)
  }

  private async _openWhenPossible (context: CallContext, server: Server, address: string): Promise<void> {
    const { clock } = this._options
    let logsAt = clock.now()
    while (!context.cancelled) {
      try {
        this._listeners.push(await Listener.create(server, address))
        return
      } catch (error) {
        if (clock.now() >= logsAt) {
          logsAt = clock.now() + LOG_INTERVAL_MILLISECONDS
          this._log.warn(`A listener for peers or metrics can't be opened and is tried again: ${describeError(error)} Callers are served meanwhile.`)
        }
      }
      await context.sleepUntil(clock.now() + RETRY_MILLISECONDS)
    }
  }
}
