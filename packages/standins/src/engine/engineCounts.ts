/**
 * Counters of the engine stand-in.
 *
 * @module
 */

/** Counters that tests and measurements compare with the responses that callers received. */
export interface EngineCounts {
  /** Accepted completion requests, including those that the fault `frozen` leaves without a response. */
  started: number
  generatedTokens: number
  prefilledTokens: number
  /** Tokens prefilled for resumed requests, which another engine had already computed. */
  recomputedTokens: number
  /** Tokens of KV cache fetched from other engines. */
  importedTokens: number
  /** Sequences whose connection closed before they ended. */
  cancelled: number
}
