/**
 * Decides whether a moved request fetches its computed state from the engine it leaves.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SAFETY_MARGIN_MILLISECONDS = 200
const MILLISECONDS_PER_SECOND = 1000

/** What the decision depends on. */
export interface CacheTransferInput {
  /** Tokens that would have to be computed again. */
  tokens: number
  transferTokensPerSecond: number
  prefillTokensPerSecond: number
  /** When the engine that has the state is taken away. */
  sourceDeadline: Timestamp
}

/** Whether fetching is quicker than computing again, and done before the source is gone. */
export function shouldTransferCache (question: CacheTransferInput, now: Timestamp): boolean {
  if (question.transferTokensPerSecond <= question.prefillTokensPerSecond) return false
  const milliseconds = question.tokens / question.transferTokensPerSecond * MILLISECONDS_PER_SECOND
  return now + milliseconds + SAFETY_MARGIN_MILLISECONDS < question.sourceDeadline
}
