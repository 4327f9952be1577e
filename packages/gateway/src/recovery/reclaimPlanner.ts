/**
 * Decides which requests move away from an upstream that is being reclaimed, and when.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SAFETY_MARGIN_MILLISECONDS = 500
const MAXIMUM_MIGRATION_PHASE_MILLISECONDS = 1000
const EXPECTED_MILLISECONDS_PER_TOKEN = 40

/** A request that runs on the upstream. */
export interface ReclaimedRequest {
  requestId: string
  /** Tokens that would have to be computed again elsewhere. */
  tokensToRecompute: number
  /** Tokens that the answer may still grow by; undefined when that is not known. */
  remainingTokens?: number
  /** Observed time for each token of this answer, in milliseconds; undefined before the first ones. */
  millisecondsPerToken?: number
}

/** A request that is to move. */
export interface PlannedMigration {
  requestId: string
  migrateAt: Timestamp
}

/**
 * Plans the moves: what will end in time stays; the rest moves, those with most tokens at stake first, spread over the
 * time there is so that the survivors are not flooded at once.
 */
export function planMigrations (requests: readonly ReclaimedRequest[], deadline: Timestamp, now: Timestamp): PlannedMigration[] {
  const lastMoveAt = deadline - SAFETY_MARGIN_MILLISECONDS
  const moving = requests.filter(request => !finishesBefore(request, lastMoveAt, now))
  moving.sort((left, right) => right.tokensToRecompute - left.tokensToRecompute)
  const phase = Math.max(0, Math.min(MAXIMUM_MIGRATION_PHASE_MILLISECONDS, lastMoveAt - now))
  return moving.map((request, index) => ({ requestId: request.requestId, migrateAt: now + Math.floor(phase * index / moving.length) }))
}

function finishesBefore (request: ReclaimedRequest, deadline: Timestamp, now: Timestamp): boolean {
  if (request.remainingTokens === undefined) return false
  const pace = request.millisecondsPerToken ?? EXPECTED_MILLISECONDS_PER_TOKEN
  return now + request.remainingTokens * pace < deadline
}
