/**
 * What one gateway knows of the software that began streams: its records and those of peers, the versions that may have begun
 * streams, and the archive.
 *
 * @module
 */
import type { BackgroundTasks, CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { KeyValueService } from '@plumstage/coordination'
import type { AppliedPosition } from '../deployment/appliedPosition.js'
import type { DeploymentDecoder } from '../deployment/deploymentDecoder.js'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import type { DeploymentView } from '../deployment/deploymentView.js'
import { StoreCatchUp } from '../deployment/storeCatchUp.js'
import { GatewayAddresses } from '../peers/gatewayAddresses.js'
import type { PeerSocket } from '../peers/peerSocket.js'
import type { PeerTable } from '../peers/peerTable.js'
import type { StoreKeys } from '../storeKeys.js'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'
import { SoftwareHistory } from './softwareHistory.js'
import { SoftwareHistoryTask } from './softwareHistoryTask.js'
import { StreamArchive } from './streamArchive.js'
import { StreamOriginTask } from './streamOriginTask.js'

/** Dependencies of the tracking. */
export interface StreamTrackingOptions {
  store: KeyValueService
  keys: StoreKeys
  decoder: DeploymentDecoder
  view: DeploymentView
  peers: PeerTable
  socket: PeerSocket
  /** How far this gateway has applied the history of the store. */
  applied: AppliedPosition
  /** Whether the last call to the store succeeded. */
  isFollowingStore: () => boolean
  /** Whether the system as a whole starts with this gateway. */
  isFirstStart: boolean
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
}

/** The parts of the tracking at one gateway. */
export class StreamTracking {
  readonly origins: StreamOriginTask
  private readonly _options: StreamTrackingOptions
  private readonly _history: SoftwareHistory
  private readonly _historyTask: SoftwareHistoryTask
  private readonly _archive: StreamArchive

  private constructor (options: StreamTrackingOptions) {
    const { store, keys, decoder, view, peers, socket, clock, instrumentation } = options
    const addresses = GatewayAddresses.create(peers)
    const history = SoftwareHistory.create(clock.now(), options.isFirstStart)
    const key = keys.softwareHistoryKey
    this._options = options
    this._history = history
    this._historyTask = SoftwareHistoryTask.create({ store, key, history, view, decoder, addresses, clock, instrumentation })
    this._archive = StreamArchive.create({ store, keys, writer: instrumentation.incarnation, history, addresses, socket, clock, instrumentation })
    const catchUp = StoreCatchUp.create({ ...options, key })
    this.origins = StreamOriginTask.create({ ...options, addresses, history, archive: this._archive, catchUp })
  }

  static create (options: StreamTrackingOptions): StreamTracking {
    return new StreamTracking(options)
  }

  /** The part that follows the store. */
  get observer (): StoreObserver {
    return this._historyTask
  }

  /** Notes the upstreams that are listed now. */
  observe (listed: readonly ListedUpstream[]): void {
    this._history.observe(listed, this._options.clock.now())
  }

  /** Starts the tasks; they end with the context. */
  start (tasks: BackgroundTasks): void {
    const { context } = this._options
    tasks.start('software-history', context, async () => await this._historyTask.run(context))
    tasks.start('stream-archive', context, async () => await this._archive.run(context))
  }
}
