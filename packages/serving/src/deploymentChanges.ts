/**
 * Applies changes of the configuration and of the list of upstreams to the parts of a gateway that depend on them.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation } from '@plumstage/common'
import type { StreamMigration } from './attempts/streamMigration.js'
import type { ViewChange } from './deployment/deploymentView.js'
import type { UpstreamAccess } from './links/upstreamAccess.js'
import type { ServingState } from './servingState.js'
import type { StreamTracking } from './streams/streamTracking.js'
import type { Upstream } from './upstreams/upstreamTable.js'

/** How often entries that are retained for a limited time are checked, unless one of them ends earlier. */
const EXPIRY_CHECK_MILLISECONDS = 500

/** What depends on the deployment. */
export interface DeploymentChangesOptions {
  state: ServingState
  streams: Pick<StreamTracking, 'observe'>
  access: Pick<UpstreamAccess, 'forget'>
  migration: Pick<StreamMigration, 'schedule'>
  isFollowingStore: () => boolean
  /** Called when another configuration is in force. */
  onConfiguration: () => void
  clock: Clock
  instrumentation: Instrumentation
}

/** Applies the changes for one gateway. */
export class DeploymentChanges {
  private readonly _options: DeploymentChangesOptions

  private constructor (options: DeploymentChangesOptions) {
    this._options = options
  }

  static create (options: DeploymentChangesOptions): DeploymentChanges {
    return new DeploymentChanges(options)
  }

  apply (change: ViewChange): void {
    const { state, instrumentation, onConfiguration } = this._options
    const { configurationPosition: position } = state.view
    if (change.ignoredConfiguration) instrumentation.emit('configuration-ignored', { ...change.ignoredConfiguration, versionInForce: position?.version, eraInForce: position?.era, revisionInForce: position?.revision })
    if (change.configuration) {
      onConfiguration()
      instrumentation.emit('configuration-applied', { ...position })
    }
    if (change.upstreams) this._applyUpstreams()
  }

  /** Removes upstreams whose entries were retained after an outage of the store and were not written again, and notes whether the store is followed. */
  async run (context: CallContext): Promise<void> {
    const { state, clock, isFollowingStore } = this._options
    while (!context.cancelled) {
      await context.sleepUntil(Math.min(clock.now() + EXPIRY_CHECK_MILLISECONDS, state.view.nextExpiryAt ?? Number.POSITIVE_INFINITY))
      if (isFollowingStore()) state.rollouts.recordFollowed(clock.now())
      if (state.view.expire(clock.now())) this.apply({ configuration: false, upstreams: true })
    }
  }

  private _applyUpstreams (): void {
    const { state, streams, migration, clock, instrumentation } = this._options
    const listed = state.view.listUpstreams()
    streams.observe(listed)
    for (const upstream of state.upstreams.apply(listed, clock.now())) this._forget(upstream)
    const upstreams = state.upstreams.list()
    for (const upstream of upstreams) migration.schedule(upstream)
    instrumentation.emit('upstreams-applied', { count: upstreams.length, leaving: upstreams.filter(upstream => upstream.isLeaving).length, revision: state.view.upstreamsRevision })
  }

  private _forget (upstream: Upstream): void {
    const { state, access, instrumentation } = this._options
    access.forget(upstream)
    state.limits.remove(upstream)
    state.prefixCache.removeUpstream(upstream.listed.id)
    instrumentation.emit('upstream-removed', { upstream: upstream.listed.id, service: upstream.listed.service, revision: state.view.upstreamsRevision })
  }
}
