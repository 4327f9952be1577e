/**
 * Inputs and parameters of fleet planning.
 *
 * @module
 */
import type { ScalingBounds } from '@plumstage/records'
import type { Demand } from './demandMeter.js'

/** Upstreams of one kind in one failure domain. */
export interface FleetCount {
  failureDomain: string
  reclaimable: boolean
  /** Upstreams that accept new work. */
  serving: number
  /** Upstreams that are about to be removed. */
  leaving: number
}

/** Input of the planner for one service. */
export interface FleetObservation {
  service: string
  scaling: ScalingBounds
  demand: Demand
  counts: readonly FleetCount[]
  /** Observed prefill rate of one upstream, in prompt tokens per second; undefined when it is not known. */
  observedTokensPerSecond?: number
}

/** Parameters by which the planner sizes a service. */
export interface FleetSizing {
  /** Minimum rate that is assumed for one upstream, in prompt tokens per second; a higher observed rate replaces it. */
  minimumTokensPerSecond: number
  /** Maximum rate that is assumed for one upstream, whatever is observed, in prompt tokens per second. */
  maximumTokensPerSecond: number
  /** Prompt tokens that take as long as one output token. */
  outputTokenWeight: number
  /** Target share of the time that an upstream is busy. */
  utilization: number
  /** Minimum number of upstreams of the service. */
  minimumUpstreams: number
  /** Share of the upstreams found at the start that is assumed to be needed until there is demand. */
  initialShare: number
  /**
   * Reclaimable upstreams in each failure domain beyond those that carry the load while one domain has none, as a
   * multiple of the square root of the number needed, because load fluctuations grow with that square root.
   */
  reclaimableReserve: number
  /** Share of the needed upstreams that has to remain after a reclaim in the domain with the most reclaimable ones. */
  survivingShare: number
}

export const DEFAULT_FLEET_SIZING: FleetSizing = { minimumTokensPerSecond: 45_000, maximumTokensPerSecond: 75_000, outputTokenWeight: 6, utilization: 0.6, minimumUpstreams: 4, initialShare: 0.5, reclaimableReserve: 0.7, survivingShare: 1 }
