/**
 * An upstream as the platform lists it.
 *
 * @module
 */

/** Whether an upstream takes new work. */
export type ListedState = 'ready' | 'leaving'

/** One entry of the platform's list of upstreams. */
export interface ListedUpstream {
  /** Identity that requests name, so that no other instance runs them. */
  id: string
  /** Differs between two runs under the same id. */
  incarnation: string
  service: string
  /** IP number and port. */
  address: string
  failureDomain: string
  /** Requests that it runs at the same time. */
  capacity: number
  state: ListedState
  /** Time until it is taken away when the entry was written, in milliseconds; undefined when it is not known. */
  leavesInMilliseconds?: number
  /** Whether the platform may take it away. */
  reclaimable: boolean
  /** How much longer it is slow after its start, in milliseconds. */
  warmupMilliseconds: number
}
