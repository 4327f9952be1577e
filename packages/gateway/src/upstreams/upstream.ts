/**
 * What a gateway knows about one upstream.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

/** Incarnation of an upstream that is listed in a Service record and not in the instance list. */
export const STATIC_INCARNATION = 'static'

/** Whether an upstream takes new work. States only move forward within one incarnation. */
export type UpstreamState = 'live' | 'leaving' | 'gone'

/** Identity of one run of one upstream of one service. */
export interface UpstreamIdentity {
  service: string
  /** IP number and port. */
  address: string
  incarnation: string
}

/** An upstream that is being taken away. */
export interface UpstreamDeparture extends UpstreamIdentity {
  /** When the instance is taken away, in milliseconds since the epoch. */
  deadline: Timestamp
}

/** State of one upstream. */
export interface Upstream extends UpstreamIdentity {
  failureDomain: string
  instanceClass: string
  state: UpstreamState
  /** When a leaving upstream is taken away. */
  leavingDeadline?: Timestamp
  /** Whether an operator keeps new work away from it. */
  drained: boolean
  /** Attempts of this gateway that run on it now. */
  inFlight: number
  /** Requests that it is taken to run: those of this gateway, as long as upstreams' own reports are not read. */
  estimatedLoad: number
  consecutiveFailures: number
  /** Until when it gets no new work because calls to it failed. */
  ejectedUntil: Timestamp
}

/** Returns the key under which an upstream is kept. */
export function keyOfUpstream (identity: Pick<UpstreamIdentity, 'service' | 'address'>): string {
  return `${identity.service} ${identity.address}`
}
