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
  /** Observed prefill rate of one upstream, in prompt tokens per second; undefined while too little was observed. */
  observedTokensPerSecond?: number
  /** Prompt tokens that wait at all upstreams. */
  waitingTokens: number
  /** Requests that occupy a place at an upstream. */
  activeRequests: number
  /** Requests that one upstream executes at the same time. */
  placesPerUpstream: number
  /** Capacity that is missing because upstreams limit their requests, in whole upstreams. */
  missingUpstreams: number
}

/** Parameters by which the planner sizes a service. */
export interface FleetSizing {
  /** Rate that is assumed for one upstream that has to be ordered before any rate was observed, in prompt tokens per second. */
  initialTokensPerSecond: number
  /** Target share of the observed prefill rate that is used. */
  utilization: number
  /** Target share of an upstream's places that are occupied. */
  occupancy: number
  /** Time within which waiting prompt tokens should be prefilled in addition to new ones. */
  backlogSeconds: number
  /** Minimum number of upstreams of the service. */
  minimumUpstreams: number
  /** Share of the upstreams found at the start that is assumed to be needed until there is demand. */
  initialShare: number
  /**
   * Reserve of reclaimable upstreams in each failure domain, in addition to those that carry the load when one domain
   * has none, as a multiple of the square root of the number needed: load fluctuations grow with that square root.
   */
  reclaimableReserve: number
  /** Share of the needed upstreams that has to remain after a reclaim in the domain with the most reclaimable ones. */
  survivingShare: number
}

export const DEFAULT_FLEET_SIZING: FleetSizing = {
  initialTokensPerSecond: 40_000,
  utilization: 0.9,
  occupancy: 0.8,
  backlogSeconds: 2,
  minimumUpstreams: 2,
  initialShare: 0.5,
  reclaimableReserve: 0.7,
  survivingShare: 1
}
