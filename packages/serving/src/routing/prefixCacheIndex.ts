/**
 * Tracks which prefix segments this gateway has recently sent to each upstream, as an estimate of its prefix cache.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { Timestamp } from '@plumstage/common'
import type { PromptSegment } from '../callers/callerProtocol.js'

const MAXIMUM_SEGMENTS_PER_UPSTREAM = 4096
/** Of all upstreams together; with more of them, each has a smaller part of it. */
const MAXIMUM_SEGMENTS = 100_000
/** Longer ids, which callers choose, are kept as digests. */
const MAXIMUM_ID_LENGTH = 64

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
      const key = keyOf(segment)
      lastUses.delete(key)
      lastUses.set(copyText(key), now)
    }
    this._evict(lastUses, now)
  }

  /** Counts the tokens at the start of a prompt that are expected to be in the cache of the upstream. */
  countCachedTokens (upstreamId: string, segments: readonly PromptSegment[], now: Timestamp): number {
    const lastUses = this._lastUseByUpstream.get(upstreamId)
    let tokens = 0
    for (const segment of segments) {
      const lastUsedAt = lastUses?.get(keyOf(segment))
      if (lastUsedAt === undefined || lastUsedAt < now - this.retentionMilliseconds) return tokens
      tokens += segment.tokens
    }
    return tokens
  }

  removeUpstream (upstreamId: string): void {
    this._lastUseByUpstream.delete(upstreamId)
  }

  /** Removes what is not cached any more, and what there is no room for; the least recently used segments stand first. */
  private _evict (lastUses: Map<string, Timestamp>, now: Timestamp): void {
    const maximum = Math.min(MAXIMUM_SEGMENTS_PER_UPSTREAM, Math.ceil(MAXIMUM_SEGMENTS / this._lastUseByUpstream.size))
    for (const [key, lastUsedAt] of lastUses) {
      if (lastUses.size <= maximum && lastUsedAt >= now - this.retentionMilliseconds) return
      lastUses.delete(key)
    }
  }
}

function keyOf ({ id }: PromptSegment): string {
  return id.length <= MAXIMUM_ID_LENGTH ? id : createHash('sha1').update(id).digest('base64')
}

/** Returns a string of its own: a part of a longer one would keep the whole head of its request in memory. */
function copyText (text: string): string {
  return Buffer.from(text).toString()
}
