/**
 * Counts the connections that a gateway has reset while what it had sent on them was unanswered.
 *
 * @module
 */
import { getLogger } from './logging.js'
import { PeriodicLog } from './periodicLog.js'
import type { Clock } from './clock.js'

/** Where a connection leads. */
export type ConnectionTarget = 'upstream' | 'store' | 'cloud' | 'peer'

const TARGETS: readonly ConnectionTarget[] = ['upstream', 'store', 'cloud', 'peer']

/** The counts of one gateway. */
export class ConnectionResets {
  private readonly _counts = new Map<ConnectionTarget, number>(TARGETS.map(target => [target, 0]))
  private readonly _logs: Map<ConnectionTarget, PeriodicLog>

  private constructor (clock: Clock) {
    const log = getLogger('connections')
    this._logs = new Map(TARGETS.map(target => [target, PeriodicLog.create(log, clock)]))
  }

  static create (clock: Clock): ConnectionResets {
    return new ConnectionResets(clock)
  }

  /** Resets by target. */
  get counts (): ReadonlyMap<ConnectionTarget, number> {
    return this._counts
  }

  record (target: ConnectionTarget): void {
    this._counts.set(target, (this._counts.get(target) ?? 0) + 1)
    this._logOf(target, this._logs.get(target)!)
  }

  /** Attempts are given up in ordinary operation; other calls are when there is no answer. */
  private _logOf (target: ConnectionTarget, log: PeriodicLog): void {
    if (target === 'upstream') log.info('An attempt was given up before its answer, because its caller left, its time was over or it goes on elsewhere, and its connection was reset.')
    else log.warn(`A call was given up before its answer, and its connection was reset (${target}). If this lasts, check the network to it.`)
  }
}
