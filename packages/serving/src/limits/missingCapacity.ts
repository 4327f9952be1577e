/**
 * The capacity that a service lacks because upstreams limit their requests.
 *
 * @module
 */

/**
 * Returns how many whole upstreams the limited ones lack together. `limits` holds the requests per second that each of
 * them accepts; a whole upstream prefills `tokensPerSecond` prompt tokens, of which a request needs `tokensPerRequest`.
 */
export function countMissingUpstreams (limits: readonly number[], tokensPerRequest: number, tokensPerSecond: number): number {
  return limits.reduce((sum, limit) => sum + 1 - Math.min(1, limit * tokensPerRequest / tokensPerSecond), 0)
}
