/**
 * The state of one upstream as seen by a gateway.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Incarnation of an upstream that is listed in a Service record instead of the instance list. */
export const STATIC_INCARNATION = 'static'

/** Whether an upstream accepts new requests. Within one incarnation, the state only moves forward. */
export type UpstreamState = 'live' | 'leaving' | 'gone'

/** Identifies one incarnation of an upstream of a service. */
export interface UpstreamIdentity {
  service: string
  /** IP address and port. */
  address: string
  incarnation: string
}

/** An upstream that is being shut down. */
export interface UpstreamDeparture extends UpstreamIdentity {
  /** When the instance is shut down, in milliseconds since the epoch. */
  deadline: Timestamp
}

/** State of one upstream. */
export interface Upstream extends UpstreamIdentity {
  failureDomain: string
  instanceClass: string
  state: UpstreamState
  /** When a leaving upstream is shut down. */
  leavingDeadline?: Timestamp
  /** Whether an operator has drained it, so that it gets no new requests. */
  drained: boolean
  /** Attempts of this gateway that are running on it. */
  inFlight: number
  /** Estimated number of running requests. Counts only those of this gateway: load reports of upstreams are not read. */
  estimatedLoad: number
  consecutiveFailures: number
  /** Time until which it gets no new requests because earlier ones failed. */
  ejectedUntil: Timestamp
}

/** Returns the key that identifies an upstream in maps. */
export function keyOfUpstream (identity: Pick<UpstreamIdentity, 'service' | 'address'>): string {
  return `${identity.service} ${identity.address}`
}
