/**
 * One question to other gateways for the beginning of a stream: the first gateway that knows it decides.
 *
 * @module
 */
import type { StreamOrigin } from './streamOrigins.js'

/** What became of a question. */
export type LookupResult =
  | { kind: 'found', origin: StreamOrigin }
  /** All gateways that were asked have answered, and none knows the stream. */
  | { kind: 'not-found' }
  /** No gateway could be asked, or some have not answered in time and the others do not know the stream. */
  | { kind: 'unanswered' }

/** Collects the answers to one question. */
export class OriginLookup {
  private readonly _unanswered: Set<string>
  private readonly _hasAsked: boolean
  private _origin: StreamOrigin | undefined

  private constructor (asked: readonly string[]) {
    this._unanswered = new Set(asked)
    this._hasAsked = asked.length > 0
  }

  static create (asked: readonly string[]): OriginLookup {
    return new OriginLookup(asked)
  }

  /** Gateways that have not answered yet. */
  get unanswered (): readonly string[] {
    return [...this._unanswered]
  }

  /** Whether no further answer can change the result. */
  get isSettled (): boolean {
    return this._origin !== undefined || this._unanswered.size === 0
  }

  get result (): LookupResult {
    if (this._origin) return { kind: 'found', origin: this._origin }
    return this._hasAsked && this._unanswered.size === 0 ? { kind: 'not-found' } : { kind: 'unanswered' }
  }

  /** Records the answer of a gateway; undefined if it does not know the stream. */
  recordReply (address: string, origin: StreamOrigin | undefined): void {
    this._unanswered.delete(address)
    this._origin ??= origin
  }
}
