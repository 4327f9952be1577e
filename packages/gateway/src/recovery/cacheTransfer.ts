/**
 * Decides whether a migrated request transfers its KV cache from the engine that it leaves, or has it recomputed.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SAFETY_MARGIN_MILLISECONDS = 200
const MILLISECONDS_PER_SECOND = 1000

/** The values on which the decision depends. */
export interface CacheTransferInput {
  /** Tokens that would otherwise have to be recomputed. */
  tokens: number
  transferTokensPerSecond: number
  prefillTokensPerSecond: number
  /** When the engine that holds the cache is shut down. */
  sourceDeadline: Timestamp
}

/** Returns whether the transfer is faster than recomputation, and ends before the source is shut down. */
export function shouldTransferCache (input: CacheTransferInput, now: Timestamp): boolean {
  if (input.transferTokensPerSecond <= input.prefillTokensPerSecond) return false
  const milliseconds = input.tokens / input.transferTokensPerSecond * MILLISECONDS_PER_SECOND
  return now + milliseconds + SAFETY_MARGIN_MILLISECONDS < input.sourceDeadline
}
