/**
 * Finds out whether a position that a peer knows belongs to a history that the store has lost. A store that states no era may
 * have come back from a copy; a peer that has not noticed it is ahead by revision, and behind by content.
 *
 * @module
 */
import type { CallContext, Clock } from '@plumstage/common'
import { UNKNOWN_ERA, isLater } from '@plumstage/coordination'
import type { KeyValueService, StorePosition } from '@plumstage/coordination'

/** A store that does not answer in this time tells nothing; what the peer knows is used then. */
const CHECK_TIMEOUT_MILLISECONDS = 300

/** Dependencies of the checks. */
export interface LostHistoryCheckOptions {
  store: Pick<KeyValueService, 'list' | 'era'>
  /** A key with a short value; its value is not used. */
  key: string
  /** Whether the last call of this gateway to the store succeeded. */
  isFollowingStore: () => boolean
  /** Position of the last change to the list of upstreams that this gateway knows. */
  ownPosition: () => StorePosition
  clock: Clock
}

/** The checks of one gateway. */
export class LostHistoryCheck {
  private readonly _options: LostHistoryCheckOptions

  private constructor (options: LostHistoryCheckOptions) {
    this._options = options
  }

  static create (options: LostHistoryCheckOptions): LostHistoryCheck {
    return new LostHistoryCheck(options)
  }

  /** Whether the store, asked after a peer has stated a position, has not reached it. False if that is not known. */
  async isLost (position: StorePosition, context: CallContext): Promise<boolean> {
    if (!this._isDoubtful(position)) return false
    const { store, key, clock } = this._options
    const checkContext = context.createChild(clock.now() + CHECK_TIMEOUT_MILLISECONDS)
    const listed = await store.list(checkContext, key)
    checkContext.finish()
    return listed.isOk() && listed.value.era === UNKNOWN_ERA && listed.value.revision < position.revision
  }

  /** A gateway that knows nothing yet, or can't ask the store, uses what its peers know. */
  private _isDoubtful (position: StorePosition): boolean {
    const { store, ownPosition, isFollowingStore } = this._options
    if (store.era !== UNKNOWN_ERA || position.era !== UNKNOWN_ERA || !isFollowingStore()) return false
    return ownPosition().revision > 0 && isLater(position, ownPosition())
  }
}
