/**
 * What the planning of a fleet works with.
 *
 * @module
 */
import type { ScalingBounds } from '@plumstage/records'
import type { Demand } from './demandMeter.js'

/** Upstreams of one kind in one failure domain. */
export interface FleetCount {
  failureDomain: string
  reclaimable: boolean
  /** Upstreams that take new work. */
  serving: number
  /** Upstreams that are about to go. */
  leaving: number
}

/** What the planner is told. */
export interface FleetObservation {
  service: string
  scaling: ScalingBounds
  demand: Demand
  counts: readonly FleetCount[]
  /** Prompt tokens that an upstream has been seen to get through in a second; undefined when that is not known. */
  observedTokensPerSecond?: number
}

/** How the planner sizes a service. */
export interface FleetSizing {
  /** Work that one upstream does in a second, in prompt tokens, unless it is seen to do more. */
  tokensPerSecond: number
  /** Most work that is taken to be done in a second whatever is seen, in prompt tokens. */
  maximumTokensPerSecond: number
  /** Prompt tokens that take as long as one output token. */
  outputTokenWeight: number
  /** Share of the time that an upstream is to be busy. */
  utilization: number
  /** Fewest upstreams that are to serve. */
  minimumUpstreams: number
  /** Share of the upstreams found at first that are taken to be needed before any demand is known. */
  initialShare: number
  /**
   * Reclaimable upstreams in each failure domain beyond those that carry the load while one domain has none, as a
   * multiple of the square root of the number that is needed: the fluctuation of the load grows like that.
   */
  reclaimableReserve: number
  /** Share of the needed upstreams that is to be left when the domain with the most reclaimable ones goes next. */
  survivingShare: number
}

export const DEFAULT_FLEET_SIZING: FleetSizing = { tokensPerSecond: 45_000, maximumTokensPerSecond: 75_000, outputTokenWeight: 6, utilization: 0.6, minimumUpstreams: 4, initialShare: 0.5, reclaimableReserve: 0.7, survivingShare: 1 }
