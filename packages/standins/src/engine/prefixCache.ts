/**
 * Prefix cache of the engine stand-in: whole blocks, least recently used out first.
 *
 * @module
 */
import { TOKENS_PER_BLOCK } from '@plumstage/common/promptBlocks'

/** What happened to a block. */
export type CacheEventKind = 'stored' | 'removed'

/** A change of the cache, as the engine publishes it. */
export interface CacheEvent {
  sequence: number
  kind: CacheEventKind
  block: string
}

const MAXIMUM_EVENTS = 4096

/** Blocks held by one engine. */
export class PrefixCache {
  private readonly _capacityBlocks: number
  private readonly _blocks = new Set<string>()
  private readonly _events: CacheEvent[] = []
  private _nextSequence = 1

  private constructor (capacityBlocks: number) {
    this._capacityBlocks = capacityBlocks
  }

  static create (capacityBlocks: number): PrefixCache {
    return new PrefixCache(capacityBlocks)
  }

  /** Returns how many tokens of the prompt are cached and makes its blocks the most recently used. */
  matchAndStore (blocks: readonly string[]): number {
    let cachedBlocks = 0
    while (cachedBlocks < blocks.length && this._blocks.has(blocks[cachedBlocks])) cachedBlocks++
    for (const block of blocks) this._store(block)
    return cachedBlocks * TOKENS_PER_BLOCK
  }

  /** Returns the published events after `sequence`; old ones are dropped. */
  eventsAfter (sequence: number): CacheEvent[] {
    return this._events.filter(event => event.sequence > sequence)
  }

  private _store (block: string): void {
    const known = this._blocks.delete(block)
    this._blocks.add(block)
    if (!known) this._publish('stored', block)
    if (this._blocks.size <= this._capacityBlocks) return
    const [oldest] = this._blocks
    this._blocks.delete(oldest)
    this._publish('removed', oldest)
  }

  private _publish (kind: CacheEventKind, block: string): void {
    this._events.push({ sequence: this._nextSequence++, kind, block })
    if (this._events.length > MAXIMUM_EVENTS) this._events.shift()
  }
}
