/**
 * Decides which requests migrate from an upstream that is being reclaimed, and when.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SAFETY_MARGIN_MILLISECONDS = 500
const MAXIMUM_MIGRATION_PHASE_MILLISECONDS = 1000
const EXPECTED_MILLISECONDS_PER_TOKEN = 40

/** A request that runs on the upstream that is being reclaimed. */
export interface ReclaimedRequest {
  requestId: string
  /** Tokens that another upstream would have to recompute. */
  tokensToRecompute: number
  /** Maximum number of tokens still to be generated; undefined when unknown. */
  remainingTokens?: number
  /** Observed time per token of this response, in milliseconds; undefined before the first token. */
  millisecondsPerToken?: number
}

/** A request that is to migrate. */
export interface PlannedMigration {
  requestId: string
  migrateAt: Timestamp
}

/**
 * Plans the migrations. Requests that are expected to finish in time stay. The others migrate, those with the most tokens
 * to recompute first, spread over the available time so that the remaining upstreams are not overloaded at once.
 */
export function planMigrations (requests: readonly ReclaimedRequest[], deadline: Timestamp, now: Timestamp): PlannedMigration[] {
  const lastMigrationAt = deadline - SAFETY_MARGIN_MILLISECONDS
  const migrating = requests.filter(request => !finishesBefore(request, lastMigrationAt, now))
  migrating.sort((left, right) => right.tokensToRecompute - left.tokensToRecompute)
  const phase = Math.max(0, Math.min(MAXIMUM_MIGRATION_PHASE_MILLISECONDS, lastMigrationAt - now))
  return migrating.map((request, index) => ({ requestId: request.requestId, migrateAt: now + Math.floor(phase * index / migrating.length) }))
}

function finishesBefore (request: ReclaimedRequest, deadline: Timestamp, now: Timestamp): boolean {
  if (request.remainingTokens === undefined) return false
  const millisecondsPerToken = request.millisecondsPerToken ?? EXPECTED_MILLISECONDS_PER_TOKEN
  return now + request.remainingTokens * millisecondsPerToken < deadline
}
