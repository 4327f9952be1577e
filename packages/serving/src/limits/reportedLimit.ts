/**
 * Limits of upstreams in the reports of gateways.
 *
 * @module
 */

/** What one gateway tells the others about the limit of an upstream. */
export interface ReportedLimit {
  upstream: string
  incarnation: string
  /** Undefined when the limit has ended. */
  requestsPerSecond?: number
  /** Time since the upstream stated this. */
  ageMilliseconds: number
  /** Run of the gateway to which the upstream stated this. */
  origin: number
  /** Number of the statement at that gateway; later ones have higher numbers. */
  number: number
}
