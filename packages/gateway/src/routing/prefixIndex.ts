/**
 * Tracks which prompt prefixes each upstream has probably cached, based on the prompts that this gateway sent to it.
 *
 * @module
 */
import { TOKENS_PER_BLOCK } from '@plumstage/common/promptBlocks'

const MAXIMUM_BLOCKS_PER_UPSTREAM = 4096

/** Prefix blocks by upstream, with eviction of the least recently used. */
export class PrefixIndex {
  private readonly _blocksByUpstream = new Map<string, Set<string>>()

  static create (): PrefixIndex {
    return new PrefixIndex()
  }

  /** Records that an upstream was sent a prompt. */
  recordSent (upstreamKey: string, blocks: readonly string[]): void {
    if (blocks.length === 0) return
    const cached = this._blocksByUpstream.get(upstreamKey) ?? new Set<string>()
    this._blocksByUpstream.set(upstreamKey, cached)
    for (const block of blocks) {
      cached.delete(block)
      cached.add(block)
    }
    this._trim(cached)
  }

  forgetUpstream (upstreamKey: string): void {
    this._blocksByUpstream.delete(upstreamKey)
  }

  /** Returns how many tokens at the start of the prompt the upstream has probably cached. */
  countCachedTokens (upstreamKey: string, blocks: readonly string[]): number {
    const cached = this._blocksByUpstream.get(upstreamKey)
    if (!cached) return 0
    let count = 0
    while (count < blocks.length && cached.has(blocks[count])) count++
    return count * TOKENS_PER_BLOCK
  }

  private _trim (cached: Set<string>): void {
    for (const oldest of cached) {
      if (cached.size <= MAXIMUM_BLOCKS_PER_UPSTREAM) return
      cached.delete(oldest)
    }
  }
}
