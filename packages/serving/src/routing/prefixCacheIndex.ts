/**
 * Which parts of prompts this gateway's requests have lately made each upstream read.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { PromptSegment } from '../callers/callerProtocol.js'

const MAXIMUM_SEGMENTS_PER_UPSTREAM = 4096

/** Parts that an upstream has read, with the time of their last use; the least recently used are forgotten first. */
export class PrefixCacheIndex {
  private readonly _lastUseByUpstream = new Map<string, Map<string, Timestamp>>()
  /** How long a part is taken to stay in an upstream's cache after its last use. */
  retentionMilliseconds: number

  private constructor (keptMilliseconds: number) {
    this.retentionMilliseconds = keptMilliseconds
  }

  static create (keptMilliseconds: number): PrefixCacheIndex {
    return new PrefixCacheIndex(keptMilliseconds)
  }

  recordSent (upstreamId: string, parts: readonly PromptSegment[], now: Timestamp): void {
    const known = this._lastUseByUpstream.get(upstreamId) ?? new Map<string, Timestamp>()
    this._lastUseByUpstream.set(upstreamId, known)
    for (const part of parts) {
      known.delete(part.id)
      known.set(part.id, now)
    }
    for (const id of known.keys()) {
      if (known.size <= MAXIMUM_SEGMENTS_PER_UPSTREAM) return
      known.delete(id)
    }
  }

  /** Tokens at the start of a prompt that the upstream has read lately. */
  countCachedTokens (upstreamId: string, parts: readonly PromptSegment[], now: Timestamp): number {
    const known = this._lastUseByUpstream.get(upstreamId)
    let tokens = 0
    for (const part of parts) {
      const usedAt = known?.get(part.id)
      if (usedAt === undefined || usedAt < now - this.retentionMilliseconds) return tokens
      tokens += part.tokens
    }
    return tokens
  }

  removeUpstream (upstreamId: string): void {
    this._lastUseByUpstream.delete(upstreamId)
  }
}
