/**
 * Counts of the engine stand-in.
 *
 * @module
 */

/** Counts that tests and measurements compare with what callers saw. */
export interface EngineCounts {
  /** Requests whose sequence was started. */
  started: number
  generatedTokens: number
  prefilledTokens: number
  /** Prompt tokens computed although another engine had computed them for the same request. */
  recomputedTokens: number
  /** Tokens of state that were fetched from other engines. */
  importedTokens: number
  /** Sequences that were cancelled by their caller. */
  cancelled: number
}
