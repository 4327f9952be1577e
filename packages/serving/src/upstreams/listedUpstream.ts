/**
 * An upstream as it appears in the platform's list.
 *
 * @module
 */

/** Whether an upstream accepts new requests. */
export type ListedState = 'ready' | 'leaving'

/** One entry of the platform's list of upstreams. */
export interface ListedUpstream {
  /** Id that is sent with requests, so that no other instance executes them. */
  id: string
  /** Changes when an upstream starts again under the same id. */
  incarnation: string
  service: string
  /** IP address and port. */
  address: string
  failureDomain: string
  /** Version of its software; undefined when its entry does not state one. */
  softwareVersion?: string
  /** Requests that it executes at the same time. */
  capacity: number
  state: ListedState
  /** Time until its removal, counted from when the entry was written, in milliseconds; undefined when it is not known. */
  leavesInMilliseconds?: number
  /** Whether the platform may reclaim the instance. */
  reclaimable: boolean
  /** Remaining warm-up time, during which it is slow, in milliseconds. */
  warmupMilliseconds: number
}
