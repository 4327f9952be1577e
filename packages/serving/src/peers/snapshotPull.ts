/**
 * Decides when a gateway that is behind its peers pulls a snapshot of the deployment from one of them, instead of waiting
 * for its own watch of the store.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { START_POSITION, isLater } from '@plumstage/coordination'
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

/** How long a position of a lost history is not awaited; then the store is asked again. */
const DISREGARD_MILLISECONDS = 5000

interface AwaitedPositions extends DeploymentPositions {
  since: Timestamp
}

/** The decision of one gateway. */
export class SnapshotPull {
  /** Positions of a peer that this gateway has not reached yet. */
  private _awaited: AwaitedPositions | undefined
  /** Lists up to this position belong to a history that the store has lost. */
  private _lost = START_POSITION
  private _lostUntil: Timestamp = Number.NEGATIVE_INFINITY

  static create (): SnapshotPull {
    return new SnapshotPull()
  }

  /** Records that a peer's list is of a history that the store has lost, so that this gateway is not behind it. */
  disregard (upstreams: StorePosition, now: Timestamp): void {
    this._lost = upstreams
    this._lostUntil = now + DISREGARD_MILLISECONDS
  }

  /** Returns whether to pull from a peer, when this gateway has been behind for the time that its own watch may take. */
  decide (reported: DeploymentPositions, own: DeploymentPositions, watchMilliseconds: number, now: Timestamp): boolean {
    if (this._awaited && !this._isAhead(this._awaited, own, now)) this._awaited = undefined
    if (!this._isAhead(reported, own, now)) return false
    this._awaited ??= { ...reported, since: now }
    if (now < this._awaited.since + watchMilliseconds) return false
    this._awaited = undefined
    return true
  }

  private _isAhead ({ configuration, upstreams }: DeploymentPositions, own: DeploymentPositions, now: Timestamp): boolean {
    if (configuration !== undefined && supersedes(configuration, own.configuration)) return true
    return isLater(upstreams, own.upstreams) && !this._isLost(upstreams, now)
  }

  private _isLost (position: StorePosition, now: Timestamp): boolean {
    return now < this._lostUntil && position.era === this._lost.era && !isLater(position, this._lost)
  }
}
