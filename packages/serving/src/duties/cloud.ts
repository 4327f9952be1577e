/**
 * Calls to the platform's cloud that are the duty of one gateway at a time.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { CallContext } from '@plumstage/common'

/** Who calls, and with which fencing number. */
export interface DutyHolder {
  name: string
  /** Rises with each holder; the cloud refuses lower numbers than it has seen. */
  fencingNumber: number
}

/** What became of a call. */
export type CloudOutcome =
  | 'accepted'
  /** A higher fencing number was seen: another gateway holds the duty. */
  | 'fenced'
  /** There are no upstreams of the kind to be had now. */
  | 'unavailable'
  /** Refused for now; nothing was done. */
  | 'refused'

/** Usage of one reporting window. */
export interface UsageReport {
  window: number
  /** Requests that began to run, by workspace. */
  counts: ReadonlyMap<string, number>
}

/** The number of upstreams of one kind that a service is to have in a failure domain. */
export interface UpstreamOrder {
  service: string
  failureDomain: string
  /** Whether the platform may take the upstreams away. */
  reclaimable: boolean
  desired: number
}

/** Interface to the cloud. An error means that the call may have been carried out, or will be. */
export interface Cloud {
  reportUsage (context: CallContext, holder: DutyHolder, report: UsageReport): Promise<Result<CloudOutcome, Error>>
  orderUpstreams (context: CallContext, holder: DutyHolder, order: UpstreamOrder): Promise<Result<CloudOutcome, Error>>
}
