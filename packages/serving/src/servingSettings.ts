/**
 * Settings of a serving gateway, whatever file or flags they come from.
 *
 * @module
 */
import type { RetryBound } from './admission/retryBudget.js'

/** Where the platform's store and cloud are. */
export interface PlatformAddresses {
  store: string
  /** Undefined when no orders are given and no usage is reported. */
  cloud?: string
}

/** Settings of one gateway. */
export interface ServingSettings {
  name: string
  failureDomain: string
  /** Address for callers. */
  callerAddress: string
  /** Address on which the platform asks whether the gateway is ready. */
  readinessAddress: string
  /** Address for other gateways: datagrams and HTTP on the same port. */
  peerAddress: string
  /** Processor cores that the gateway may use. */
  processorCores: number
  /** Addresses of some other gateways; they may be out of date. */
  peerSeeds: readonly string[]
  addresses: PlatformAddresses
  /** Time from the signal to stop until the process is killed. */
  graceMilliseconds: number
  /** How long a duty is leased. */
  dutyLeaseMilliseconds: number
  usageWindowMilliseconds: number
  /** Time after a window's end by which its usage is to be reported. */
  usageDelayMilliseconds: number
  retryBound: RetryBound
  /** How long a part of a prompt is taken to stay in an upstream's cache. */
  prefixReuseMilliseconds: number
  /** Whether the platform takes usage reports from a duty holder. */
  reportsUsage: boolean
  /** Whether the platform takes orders for upstreams from a duty holder. */
  ordersUpstreams: boolean
}
