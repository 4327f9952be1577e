/**
 * Settings of a serving gateway, independent of the format that they are read from.
 *
 * @module
 */
import type { RetryBound } from './admission/retryBudget.js'
import type { QuotaTolerance } from './quotas/quotaTolerance.js'

/** Addresses of the platform's store and cloud. */
export interface PlatformAddresses {
  store: string
  /** Undefined when the gateway neither orders upstreams nor reports usage. */
  cloud?: string
}

/** Settings of one gateway. */
export interface ServingSettings {
  name: string
  failureDomain: string
  /** Address for callers. */
  callerAddress: string
  /** Address for the platform's readiness checks. */
  readinessAddress: string
  /** Address for peers: datagrams and HTTP on the same port. */
  peerAddress: string
  /** Number of processor cores available to the gateway. */
  processorCores: number
  /** Whether the system as a whole starts for the first time. */
  isFirstStart: boolean
  /** Addresses of some peers; they may be out of date. */
  peerSeeds: readonly string[]
  addresses: PlatformAddresses
  /** Length of the longest value that the store accepts, in bytes; undefined when it is not stated. */
  storeValueBytes?: number
  /** Time from the stop signal until the platform kills the process. */
  graceMilliseconds: number
  /** Time after which a gateway has to be in touch again with whatever it had lost. */
  contactMilliseconds: number
  /** Duration of the lease of the cloud duty. */
  dutyLeaseMilliseconds: number
  /** Length of a usage reporting window. */
  usageWindowMilliseconds: number
  /** Maximum time after the end of a window for reporting its usage. */
  usageDelayMilliseconds: number
  /** Limit of the retry budget. */
  retryBound: RetryBound
  /** Units beyond the workspaces' quotas that the platform tolerates. */
  quotaTolerance: QuotaTolerance
  /** How long a prefix segment is assumed to stay in an upstream's prefix cache. */
  prefixReuseMilliseconds: number
  /** Whether the duty holder reports usage to the platform. */
  reportsUsage: boolean
  /** Whether the duty holder orders upstreams from the platform. */
  ordersUpstreams: boolean
}
