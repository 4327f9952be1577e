/**
 * Decides whether the history that a gateway follows is still that of the store. A store that states its era says so itself.
 * One that states none may come back from a copy and give out its revisions again; only what it answers shows that.
 *
 * All calls of one gateway that are recorded here are sent one after the other, each after the answer to the one before.
 * Therefore no answer is a late one, and a store whose answers are linearizable never answers with a lower revision than before.
 *
 * @module
 */
import { UNKNOWN_ERA, isLater } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueEntry, KeyValueSnapshot, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'

/** What shows that the store has come back from a copy. */
export type ReturnEvidence =
  /** Its revision is lower than one that was known when the call was sent. */
  | 'revision-fell'
  /** The newest change that was read is not in its history any more. */
  | 'change-replaced'

/** A return of the store that was inferred from its answers. */
export interface InferredReturn {
  evidence: ReturnEvidence
  /** Position that was known before. */
  known: StorePosition
  /** Position that the store answered with. */
  answered: StorePosition
}

/** The history that one gateway follows. */
export class FollowedHistory {
  /** Undefined before the first snapshot. */
  private _position: StorePosition | undefined
  /** Latest position known when the last call was sent, from the store or from peers. */
  private _floor: StorePosition | undefined
  /** The newest change that was read; undefined when there was none. */
  private _newest: KeyValueChange | undefined
  private _isInterrupted = false
  private _inferred: InferredReturn | undefined

  static create (): FollowedHistory {
    return new FollowedHistory()
  }

  /** The return that has been inferred and for which no snapshot was read since. */
  get inferredReturn (): InferredReturn | undefined {
    return this._inferred
  }

  /** Records that a watch has failed: the store may have come back from a copy and passed the known revision meanwhile. */
  recordInterruption (): void {
    this._isInterrupted = true
  }

  /**
   * Records that a call is sent while the gateway knows changes up to a position, which may be from peers. Returns the first
   * revision that a watch has to report: after an interruption that of the newest change, which shows whether it is still there.
   */
  recordCall (known: StorePosition): number {
    this._floor = this._position && isLater(this._position, known) ? this._position : known
    if (this._position?.era === UNKNOWN_ERA && this._isInterrupted && this._newest) return revisionOf(this._newest)
    return (this._position?.revision ?? 0) + 1
  }

  /** Records a snapshot; returns the return of the store that it or an answer before shows. */
  recordSnapshot (snapshot: KeyValueSnapshot): InferredReturn | undefined {
    if (this._hasFallen(snapshot)) this._infer('revision-fell', snapshot)
    else if (this._isNewestReplaced(snapshot)) this._infer('change-replaced', snapshot)
    const inferred = this._inferred
    this._inferred = undefined
    this._isInterrupted = false
    this._advance(snapshot)
    this._newest = newestOf(snapshot)
    return inferred
  }

  /** Records a batch of a watch; returns what is new in it, or undefined if it shows that the store has come back from a copy. */
  recordBatch (batch: KeyValueWatchBatch): KeyValueWatchBatch | undefined {
    if (this._hasFallen(batch)) return this._infer('revision-fell', batch)
    const news = this._takeNewest(batch)
    if (!news) return this._infer('change-replaced', batch)
    this._advance(batch)
    this._newest = news.at(-1) ?? this._newest
    return { ...batch, changes: news }
  }

  private _infer (evidence: ReturnEvidence, { era, revision }: StorePosition): undefined {
    this._inferred ??= { evidence, known: this._floor ?? { era, revision }, answered: { era, revision } }
  }

  private _advance ({ era, revision }: StorePosition): void {
    this._position = { era, revision }
    this._floor = this._position
  }

  private _hasFallen ({ era, revision }: StorePosition): boolean {
    return era === UNKNOWN_ERA && this._floor?.era === era && revision < this._floor.revision
  }

  /** Returns the changes that were not read before; undefined if the newest known one had to be among them and is not. */
  private _takeNewest ({ era, changes }: KeyValueWatchBatch): KeyValueChange[] | undefined {
    const newest = this._newest
    if (!this._isInterrupted || !newest || era !== UNKNOWN_ERA) return changes
    this._isInterrupted = false
    if (!changes.some(change => isSame(change, newest))) return undefined
    return changes.filter(change => revisionOf(change) > revisionOf(newest))
  }

  /** Whether a snapshot holds an older change of the key of the newest known one. A missing key shows nothing. */
  private _isNewestReplaced ({ era, entries }: KeyValueSnapshot): boolean {
    const newest = this._newest
    if (!newest || era !== UNKNOWN_ERA || this._position?.era !== era) return false
    const entry = entries.find(({ key }) => key === keyOf(newest))
    if (!entry || entry.modRevision > revisionOf(newest)) return false
    return !isSame({ kind: 'put', entry }, newest)
  }
}

function newestOf ({ entries, revision }: KeyValueSnapshot): KeyValueChange | undefined {
  let newest: KeyValueEntry | undefined
  for (const entry of entries) if (entry.modRevision <= revision && entry.modRevision > (newest?.modRevision ?? 0)) newest = entry
  return newest && { kind: 'put', entry: newest }
}

function isSame (left: KeyValueChange, right: KeyValueChange): boolean {
  if (left.kind !== right.kind || keyOf(left) !== keyOf(right) || revisionOf(left) !== revisionOf(right)) return false
  return left.kind === 'delete' || (right.kind === 'put' && left.entry.value === right.entry.value)
}

function keyOf (change: KeyValueChange): string {
  return change.kind === 'put' ? change.entry.key : change.key
}

function revisionOf (change: KeyValueChange): number {
  return change.kind === 'put' ? change.entry.modRevision : change.modRevision
}
