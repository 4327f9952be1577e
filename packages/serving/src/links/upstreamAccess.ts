/**
 * How this gateway reaches its upstreams: over connections of its own or, while its links to all of them are lost, through
 * peers that still reach them. It opens tunnels for peers in the same way.
 *
 * @module
 */
import { splitAddress } from '@plumstage/common'
import type { BackgroundTasks, CallContext, Clock, ConnectionResets, Instrumentation, Timestamp } from '@plumstage/common'
import { listRelayCandidates } from '../relay/relayCandidates.js'
import { RelayConnections } from '../relay/relayConnections.js'
import { RelayDialer } from '../relay/relayDialer.js'
import { RelayPeers } from '../relay/relayPeers.js'
import type { RelayCandidate } from '../relay/relayPeers.js'
import { RelayServer } from '../relay/relayServer.js'
import type { RelayTarget, TunnelAcceptance } from '../relay/relayServer.js'
import type { ServingState } from '../servingState.js'
import { ConnectionCrashProbe } from '../upstreams/crashProbe.js'
import type { CrashProbe } from '../upstreams/crashProbe.js'
import { HeardPools } from '../upstreams/heardPools.js'
import { ResetObserver } from '../upstreams/resetObserver.js'
import { PooledUpstreamConnections } from '../upstreams/upstreamConnections.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import { RelayedCrashProbe } from './relayedCrashProbe.js'
import { UpstreamLinkTask } from './upstreamLinkTask.js'
import type { UpstreamLinkState } from './upstreamLinks.js'
import { DirectPath, RelayedPath } from './upstreamPath.js'
import type { ConnectionUse, DirectPathServices, RelayedPathServices, UpstreamPath } from './upstreamPath.js'
import { HttpUpstreamProbe } from './upstreamProbe.js'

/** How often running requests are asked whether their path still works. */
const RECONSIDER_MILLISECONDS = 250
const CANDIDATES_LIFETIME_MILLISECONDS = 250
/** No tunnels are opened for peers while no upstream has been heard for longer, although requests wait. */
const MAXIMUM_SILENCE_MILLISECONDS = 400

/** Dependencies and callbacks. */
export interface UpstreamAccessOptions {
  state: ServingState
  /** Address of this gateway for peers. */
  peerAddress: string
  failureDomain: string
  /** Time after which a gateway has to be in touch again with whatever it had lost. */
  contactMilliseconds: number
  isStopping: () => boolean
  clock: Clock
  instrumentation: Instrumentation
  tasks: BackgroundTasks
  /** Counts the connections that this gateway resets. */
  connectionResets: ConnectionResets
  /** Called when the links to all upstreams are lost, and at short intervals: running attempts may need another path. */
  reconsiderPaths: () => void
}

/** Chooses the path of each attempt, and owns all connections to upstreams. */
export class UpstreamAccess implements CrashProbe {
  readonly tunnels: RelayServer
  private readonly _options: UpstreamAccessOptions
  private readonly _resetObserver = ResetObserver.create()
  private readonly _heard: HeardPools
  private readonly _direct: PooledUpstreamConnections
  private readonly _relayPeers = RelayPeers.create()
  private readonly _relayed: RelayConnections
  private readonly _links: UpstreamLinkTask
  private readonly _directCrashProbe: CrashProbe
  private readonly _relayedCrashProbe: RelayedCrashProbe
  private _candidates: readonly RelayCandidate[] = []
  private _candidatesExpireAt: Timestamp = 0
  /** Begin of the last silence for which connections were replaced. */
  private _replacedSince: Timestamp | undefined

  private constructor (options: UpstreamAccessOptions) {
    const { clock, instrumentation, peerAddress, state, connectionResets, contactMilliseconds } = options
    this._options = options
    this._heard = HeardPools.create(clock, contactMilliseconds)
    this._direct = PooledUpstreamConnections.create({ observer: this._resetObserver, resets: connectionResets, heard: this._heard, clock })
    const dialer = RelayDialer.create({ localHost: splitAddress(peerAddress).host, clock, connectionResets })
    this._relayed = RelayConnections.create({ dialer, heard: this._heard, resets: this._resetObserver })
    this._links = UpstreamLinkTask.create({
      listUpstreams: () => state.listConfiguredUpstreams(),
      healthPathOf: service => state.view.configuration?.services.get(service)?.healthPath,
      probe: HttpUpstreamProbe.create(clock),
      clock,
      instrumentation,
      onLost: () => this._recordLinksLost(),
      onConnectionsSilent: since => this._replaceSilentConnections(since),
      onRegained: () => this._relayed.retireAll()
    })
    this._directCrashProbe = ConnectionCrashProbe.create(upstream => state.listConfiguredUpstreams().filter(other => other !== upstream))
    this._relayedCrashProbe = RelayedCrashProbe.create(dialer, upstream => this._choosePeer(upstream))
    this.tunnels = RelayServer.create({
      findUpstream: id => this._findUpstream(id),
      isGateway: host => this._isGateway(host),
      acceptsTunnels: () => this._acceptTunnels(),
      clock,
      instrumentation
    })
  }

  static create (options: UpstreamAccessOptions): UpstreamAccess {
    return new UpstreamAccess(options)
  }

  get linkState (): UpstreamLinkState {
    return this._links.state
  }

  /** Whether a connection is being reset at this moment: a response that ends with its connection is then incomplete. */
  get resetting (): boolean {
    return this._resetObserver.resetting
  }

  /** Returns the path of a new attempt: through a peer only while the links are lost and a peer is usable. */
  choosePath (upstream: Upstream, use: ConnectionUse): UpstreamPath {
    const peer = this.linkState === 'lost' ? this._choosePeer(upstream) : undefined
    if (use === 'separate') return this._createSeparatePath(upstream, peer)
    if (peer === undefined) return DirectPath.create(this._direct.clientOf(upstream, use), upstream, this._directServices)
    return RelayedPath.create(this._relayed.clientThrough(peer, upstream, use), peer, this._relayedServices)
  }

  /** Whether the path of a running attempt does not work any more, while another one may. */
  isPathLost ({ peer }: UpstreamPath, upstream: Upstream): boolean {
    if (peer !== undefined) return !this._isPeerUsable(peer)
    return this.linkState === 'lost' && this._choosePeer(upstream) !== undefined
  }

  /** Whether the connection of a running attempt has gone silent while new ones work. */
  isConnectionSilent ({ peer, client, silentSince }: UpstreamPath): boolean {
    return peer === undefined && this._direct.isSilent(client, silentSince)
  }

  /** Resolves when it is known whether the links are lost; at once unless there is a doubt, and in any case after a short time. */
  async settled (): Promise<void> {
    await this._links.settled()
  }

  async hasCrashed (upstream: Upstream): Promise<boolean> {
    return await (this.linkState === 'lost' ? this._relayedCrashProbe : this._directCrashProbe).hasCrashed(upstream)
  }

  /** Starts the tasks; they end with the context. */
  start (context: CallContext): void {
    const { tasks } = this._options
    tasks.start('upstream-links', context, async () => await this._links.run(context))
    tasks.start('attempt-paths', context, async () => await this._reconsiderPaths(context))
  }

  /** Closes the connections of a removed upstream, after the requests that use them. */
  forget (upstream: Upstream): void {
    this._direct.forget(upstream)
    this._relayed.forget(upstream)
  }

  /** Opens no further tunnels through a peer that is shutting down, and closes those that no request uses. */
  retirePeer (address: string): void {
    this._relayed.retirePeer(address)
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    this.tunnels.stop()
    await Promise.all([this._direct.close(), this._relayed.close()])
  }

  /** Returns a path whose connection carries one attempt only. */
  private _createSeparatePath (upstream: Upstream, peer: string | undefined): UpstreamPath {
    if (peer === undefined) {
      const { client, release } = this._direct.createSeparateClient(upstream)
      return DirectPath.create(client, upstream, this._directServices, release)
    }
    const { client, release } = this._relayed.createSeparateClient(peer, upstream)
    return RelayedPath.create(client, peer, this._relayedServices, release)
  }

  private async _reconsiderPaths (context: CallContext): Promise<void> {
    const { clock, reconsiderPaths } = this._options
    while (!context.cancelled) {
      reconsiderPaths()
      await context.sleepUntil(clock.now() + RECONSIDER_MILLISECONDS)
    }
  }

  private get _directServices (): DirectPathServices {
    return { links: this._links, heard: this._heard, clock: this._options.clock }
  }

  private get _relayedServices (): RelayedPathServices {
    return { peers: this._relayPeers, heard: this._heard, clock: this._options.clock }
  }

  /** Opens new connections once for each silence, and gives up attempts on the old ones that may be repeated. */
  private _replaceSilentConnections (since: Timestamp): void {
    const { clock, instrumentation, reconsiderPaths } = this._options
    if (since !== this._replacedSince) {
      this._replacedSince = since
      this._direct.replaceSilent()
      instrumentation.emit('upstream-connections-replaced', { silentMilliseconds: Math.round(clock.now() - since) })
    }
    reconsiderPaths()
  }

  /** What failed over lost links says nothing about the upstreams. */
  private _recordLinksLost (): void {
    for (const upstream of this._options.state.upstreams.list()) upstream.health.reset()
    this._options.reconsiderPaths()
  }

  private _isPeerUsable (address: string): boolean {
    const peer = this._options.state.peers.findByAddress(address)
    return peer === undefined || (!peer.isUnresponsive && peer.report.links !== 'lost')
  }

  private _choosePeer ({ listed }: Upstream): string | undefined {
    const { peerAddress, failureDomain, clock } = this._options
    const now: Timestamp = clock.now()
    return this._relayPeers.choose({ candidates: this._listCandidates(now), ownAddress: peerAddress, ownFailureDomain: failureDomain, upstreamId: listed.id }, now)?.address
  }

  /** The list is kept for a moment, because every attempt needs it and there may be thousands of gateways. */
  private _listCandidates (now: Timestamp): readonly RelayCandidate[] {
    if (now < this._candidatesExpireAt) return this._candidates
    this._candidatesExpireAt = now + CANDIDATES_LIFETIME_MILLISECONDS
    this._candidates = listRelayCandidates(this._options.state.peers, now)
    return this._candidates
  }

  private _findUpstream (id: string): RelayTarget {
    const upstream = this._options.state.upstreams.get(id)
    if (!upstream) return { kind: 'unlisted' }
    return upstream.isLeaving ? { kind: 'leaving' } : { kind: 'listed', address: upstream.listed.address }
  }

  /** A gateway that hears nothing from any upstream may have lost its own links without knowing it yet. */
  private _acceptTunnels (): TunnelAcceptance {
    const { isStopping, clock } = this._options
    if (isStopping()) return 'stopping'
    const isSilent = clock.now() > (this._links.silentSince ?? Number.POSITIVE_INFINITY) + MAXIMUM_SILENCE_MILLISECONDS
    return isSilent || this.linkState === 'lost' ? 'links-lost' : 'accepted'
  }

  private _isGateway (host: string): boolean {
    return this._options.state.peers.listAddresses().some(address => splitAddress(address).host === host)
  }
}
