/**
 * Decides whose aggregation rounds a gateway follows: those of the root that ranks first among the ones that are heard.
 * When none is heard, gateways take over in the order of their ranks.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { RoundId } from './aggregationStep.js'
import type { AggregationTree } from './aggregationTree.js'

/** A root that was not heard for this long is replaced. */
const ROOT_SILENCE_MILLISECONDS = 1500
/** Time between the takeovers of two gateways that rank next to each other. */
const TAKEOVER_STEP_MILLISECONDS = 150

/** The gateway that votes, and what it knows of the others. */
export interface RootElectionOptions {
  address: string
  /** Identity of this run of the process. */
  run: string
  tree: () => AggregationTree
}

/** The election at one gateway. */
export class RootElection {
  /** Identity of this gateway as a root. */
  readonly self: string
  private readonly _options: RootElectionOptions
  /** Identity of the followed root; empty before the first one. */
  private _root = ''
  private _position = Number.POSITIVE_INFINITY
  private _heardAt: Timestamp
  private _lastCollected = 0
  private _lastTotal = 0

  private constructor (options: RootElectionOptions, now: Timestamp) {
    this.self = `${options.address}/${options.run}`
    this._options = options
    this._heardAt = now
  }

  static create (options: RootElectionOptions, now: Timestamp): RootElection {
    return new RootElection(options, now)
  }

  get root (): string {
    return this._root
  }

  /** When this gateway starts rounds itself, unless it hears those of another one. */
  get takeoverAt (): Timestamp {
    if (this._root === this.self) return Number.NEGATIVE_INFINITY
    const position = this._options.tree().positionOf(this._options.address)
    if (position === 0) return Number.NEGATIVE_INFINITY
    return this._heardAt + ROOT_SILENCE_MILLISECONDS + position * TAKEOVER_STEP_MILLISECONDS
  }

  /** Records that the followed root was heard, or that there is nothing to hear. */
  recordHeard (now: Timestamp): void {
    this._heardAt = now
  }

  /** Makes this gateway the root; returns whether it was not. */
  takeOver (now: Timestamp): boolean {
    const isNew = this._root !== this.self
    if (isNew) this._follow(this.self, this._options.tree().positionOf(this._options.address))
    this._heardAt = now
    return isNew
  }

  /** Whether this gateway takes part in the round already. */
  hasJoined ({ root, number }: RoundId): boolean {
    return root === this._root && number === this._lastCollected
  }

  /** Joins a new round of the followed root, or of one that ranks before it or replaces it; returns what has changed. */
  join ({ root, number }: RoundId, now: Timestamp): 'ignored' | 'joined' | 'root-changed' {
    if (root === this.self) return 'ignored'
    const isNewRoot = root !== this._root
    if (isNewRoot && !this._isPreferred(root, now)) return 'ignored'
    if (!isNewRoot && number <= this._lastCollected) return 'ignored'
    if (isNewRoot) this._follow(root, this._options.tree().positionOf(addressOfRoot(root)))
    this._lastCollected = number
    this._heardAt = now
    return isNewRoot ? 'root-changed' : 'joined'
  }

  /** Accepts the sums of a round of the followed root once, and none that are older than the last ones. */
  acceptTotal ({ root, number }: RoundId, now: Timestamp): boolean {
    if (root !== this._root || number <= this._lastTotal) return false
    this._lastTotal = number
    this._heardAt = now
    return true
  }

  private _isPreferred (root: string, now: Timestamp): boolean {
    const position = this._options.tree().positionOf(addressOfRoot(root))
    return position <= this._position || this._heardAt + ROOT_SILENCE_MILLISECONDS <= now
  }

  private _follow (root: string, position: number): void {
    this._root = root
    this._position = position
    this._lastCollected = 0
    this._lastTotal = 0
  }
}

function addressOfRoot (root: string): string {
  return root.slice(0, root.lastIndexOf('/'))
}
