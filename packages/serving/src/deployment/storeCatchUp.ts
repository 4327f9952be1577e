/**
 * Finds out whether this gateway knows everything that the store holds now. A gateway that was paused, or cut off a moment
 * ago, does not notice that by itself: its last call succeeded, and the next one still waits.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import { isLater } from '@plumstage/coordination'
import type { KeyValueService } from '@plumstage/coordination'
import type { AppliedPosition } from './appliedPosition.js'

/** Checks begin at least this long after each other; requests that come in between share the next one. */
const CHECK_INTERVAL_MILLISECONDS = 200
/** Longer than the time for which changes accumulate before they are read. */
const CHECK_TIMEOUT_MILLISECONDS = 1500

/** Dependencies of the checks. */
export interface StoreCatchUpOptions {
  store: Pick<KeyValueService, 'list'>
  /** A key with a short value; its value is not used. */
  key: string
  applied: AppliedPosition
  /** Cancelled when the gateway shuts down. */
  context: CallContext
  clock: Clock
  instrumentation: Instrumentation
}

/** The checks of one gateway. */
export class StoreCatchUp {
  private readonly _options: StoreCatchUpOptions
  /** A check that has not begun yet, so that its result also holds for those who ask now. */
  private _waiting: Promise<boolean> | undefined
  private _lastBeganAt: Timestamp = Number.NEGATIVE_INFINITY
  /** Resolves when no check runs, whatever became of the last one. */
  private _ended: Promise<void> = Promise.resolve()

  private constructor (options: StoreCatchUpOptions) {
    this._options = options
  }

  static create (options: StoreCatchUpOptions): StoreCatchUp {
    return new StoreCatchUp(options)
  }

  /**
   * Returns whether all changes that the store had accepted before this call were applied; false if that is not known in
   * time, or if the store has come back from a copy and this gateway has not noticed it yet.
   */
  async confirm (): Promise<boolean> {
    this._waiting ??= this._checkNext()
    return await this._waiting
  }

  private async _checkNext (): Promise<boolean> {
    const { context } = this._options
    await this._ended
    await context.sleepUntil(this._lastBeganAt + CHECK_INTERVAL_MILLISECONDS)
    this._waiting = undefined
    this._lastBeganAt = this._options.clock.now()
    const check = this._check()
    this._ended = check.then(() => {}, () => {})
    return await check
  }

  private async _check (): Promise<boolean> {
    const { store, key, applied, context, clock, instrumentation } = this._options
    const startedAt = clock.now()
    const checkContext = context.createChild(startedAt + CHECK_TIMEOUT_MILLISECONDS)
    const known = applied.position
    const listed = await store.list(checkContext, key)
    const hasCaughtUp = listed.isOk() && !(known && isLater(known, listed.value)) && await applied.reaches(listed.value, checkContext)
    checkContext.finish()
    instrumentation.emit('store-catch-up-checked', { hasCaughtUp, hasAnswered: listed.isOk(), milliseconds: Math.round(clock.now() - startedAt) })
    return hasCaughtUp
  }
}
