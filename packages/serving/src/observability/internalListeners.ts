/**
 * The listeners of a gateway for peers and for metrics. They open, and their modules are loaded, only after callers are
 * served, so that a gateway that was killed is back sooner.
 *
 * @module
 */
import { Listener, describeError, getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { DeploymentView } from '../deployment/deploymentView.js'
import type { RelayServer } from '../relay/relayServer.js'
import type { ServingMetricSources } from './servingMetrics.js'

/** Time from the start until the listeners open. */
const DELAY_MILLISECONDS = 1000

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
    this._opened = this._open(context)
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
    try {
      const { createMetricsServer, createPeerServer } = await import('./internalServers.js')
      this._listeners.push(await Listener.create(createPeerServer(view, tunnels), peerAddress))
      if (metricsAddress !== undefined) this._listeners.push(await Listener.create(createMetricsServer(metrics, instrumentation), metricsAddress))
    } catch (error) {
      this._log.error(`The listeners for peers and metrics could not be opened: ${describeError(error)}. Callers are still served.`)
    }
  }
}
