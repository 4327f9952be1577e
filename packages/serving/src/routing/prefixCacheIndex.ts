/**
 * Tracks which prefix segments this gateway has recently sent to each upstream, as an estimate of its prefix cache.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { PromptSegment } from '../callers/callerProtocol.js'

const MAXIMUM_SEGMENTS_PER_UPSTREAM = 4096

/** Segments by upstream, with the time of their last use; the least recently used ones are evicted first. */
export class PrefixCacheIndex {
  private readonly _lastUseByUpstream = new Map<string, Map<string, Timestamp>>()
  /** How long a segment is assumed to stay in an upstream's cache after its last use. */
  retentionMilliseconds: number

  private constructor (retentionMilliseconds: number) {
    this.retentionMilliseconds = retentionMilliseconds
  }

  static create (retentionMilliseconds: number): PrefixCacheIndex {
    return new PrefixCacheIndex(retentionMilliseconds)
  }

  recordSent (upstreamId: string, segments: readonly PromptSegment[], now: Timestamp): void {
    const lastUses = this._lastUseByUpstream.get(upstreamId) ?? new Map<string, Timestamp>()
    this._lastUseByUpstream.set(upstreamId, lastUses)
    for (const segment of segments) {
      lastUses.delete(segment.id)
      lastUses.set(segment.id, now)
    }
    for (const id of lastUses.keys()) {
      if (lastUses.size <= MAXIMUM_SEGMENTS_PER_UPSTREAM) return
      lastUses.delete(id)
    }
  }

  /** Counts the tokens at the start of a prompt that are expected to be in the cache of the upstream. */
  countCachedTokens (upstreamId: string, segments: readonly PromptSegment[], now: Timestamp): number {
    const lastUses = this._lastUseByUpstream.get(upstreamId)
    let tokens = 0
    for (const segment of segments) {
      const lastUsedAt = lastUses?.get(segment.id)
      if (lastUsedAt === undefined || lastUsedAt < now - this.retentionMilliseconds) return tokens
      tokens += segment.tokens
    }
    return tokens
  }

  removeUpstream (upstreamId: string): void {
    this._lastUseByUpstream.delete(upstreamId)
  }
}
