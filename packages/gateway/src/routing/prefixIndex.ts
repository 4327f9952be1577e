/**
 * Which prompt prefixes each upstream has probably cached, learned from what this gateway sent there.
 *
 * @module
 */
import { TOKENS_PER_BLOCK } from '@plumstage/common/promptBlocks'

const MAXIMUM_BLOCKS_PER_UPSTREAM = 4096

/** Prefix blocks by upstream, least recently used out first. */
export class PrefixIndex {
  private readonly _blocksByUpstream = new Map<string, Set<string>>()

  static create (): PrefixIndex {
    return new PrefixIndex()
  }

  /** Notes that an upstream has computed a prompt. */
  recordSent (upstreamKey: string, blocks: readonly string[]): void {
    if (blocks.length === 0) return
    const held = this._blocksByUpstream.get(upstreamKey) ?? new Set<string>()
    this._blocksByUpstream.set(upstreamKey, held)
    for (const block of blocks) {
      held.delete(block)
      held.add(block)
    }
    this._trim(held)
  }

  forgetUpstream (upstreamKey: string): void {
    this._blocksByUpstream.delete(upstreamKey)
  }

  /** Returns how many tokens at the start of the prompt the upstream probably has. */
  countCachedTokens (upstreamKey: string, blocks: readonly string[]): number {
    const held = this._blocksByUpstream.get(upstreamKey)
    if (!held) return 0
    let cached = 0
    while (cached < blocks.length && held.has(blocks[cached])) cached++
    return cached * TOKENS_PER_BLOCK
  }

  private _trim (held: Set<string>): void {
    for (const oldest of held) {
      if (held.size <= MAXIMUM_BLOCKS_PER_UPSTREAM) return
      held.delete(oldest)
    }
  }
}
