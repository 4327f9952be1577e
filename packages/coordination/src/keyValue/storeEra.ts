/**
 * Decides which era a key-value service is in, from what its responses state.
 *
 * @module
 */
import { UNKNOWN_ERA } from './storePosition.js'

/** What one response states about the era. */
export type EraStatement =
  | { kind: 'stated', era: number }
  | { kind: 'missing' }
  | { kind: 'unreadable', text: string }

/** What a statement means for the response that contains it. */
export type EraObservation =
  | 'same'
  /** The service has come back from a copy, or states its era for the first time. */
  | 'new'
  /** The response is of an earlier era: its request was sent before the current era was known. It must not be used. */
  | 'outdated'
  /** The response states no era, and counts as one of the current era. */
  | 'missing'
  /** The era can't be read; the response counts as one of the current era. */
  | 'unreadable'
  /** The era is lower than the one known when the request was sent; the response counts as one of the current era. */
  | 'fallen'

/** The era that one connection to the service has observed. */
export class StoreEra {
  private _current = UNKNOWN_ERA

  static create (): StoreEra {
    return new StoreEra()
  }

  get current (): number {
    return this._current
  }

  /** Observes a response to a request that was sent when `eraWhenSent` was the current era. */
  observe (statement: EraStatement, eraWhenSent: number): EraObservation {
    if (statement.kind !== 'stated') return statement.kind
    if (statement.era === this._current) return 'same'
    if (statement.era < this._current) return eraWhenSent < this._current ? 'outdated' : 'fallen'
    this._current = statement.era
    return 'new'
  }
}
