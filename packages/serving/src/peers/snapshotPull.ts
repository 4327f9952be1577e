/**
 * Decides when a gateway that is behind its peers pulls a snapshot of the deployment from one of them, instead of waiting
 * for its own watch of the store.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { isLater } from '@plumstage/coordination'
import type { StorePosition } from '@plumstage/coordination'
import { supersedes } from '../deployment/configurationPosition.js'
import type { ConfigurationPosition } from '../deployment/configurationPosition.js'

/** What a gateway knows of the store. */
export interface DeploymentPositions {
  /** The configuration in force; undefined when there is none. */
  configuration: ConfigurationPosition | undefined
  /** Position of the last known change to the list of upstreams. */
  upstreams: StorePosition
}

interface AwaitedPositions extends DeploymentPositions {
  since: Timestamp
}

/** The decision of one gateway. */
export class SnapshotPull {
  /** Positions of a peer that this gateway has not reached yet. */
  private _awaited: AwaitedPositions | undefined

  static create (): SnapshotPull {
    return new SnapshotPull()
  }

  /** Returns whether to pull from a peer, when this gateway has been behind for the time that its own watch may take. */
  decide (reported: DeploymentPositions, own: DeploymentPositions, watchMilliseconds: number, now: Timestamp): boolean {
    if (this._awaited && !isAhead(this._awaited, own)) this._awaited = undefined
    if (!isAhead(reported, own)) return false
    this._awaited ??= { ...reported, since: now }
    if (now < this._awaited.since + watchMilliseconds) return false
    this._awaited = undefined
    return true
  }
}

function isAhead ({ configuration, upstreams }: DeploymentPositions, own: DeploymentPositions): boolean {
  const hasNewerConfiguration = configuration !== undefined && supersedes(configuration, own.configuration)
  return hasNewerConfiguration || isLater(upstreams, own.upstreams)
}
