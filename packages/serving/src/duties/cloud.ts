/**
 * Interface to the platform's cloud. Only the gateway that holds the cloud duty calls it: one lease covers reporting usage
 * and ordering upstreams.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { CallContext } from '@plumstage/common'

/** Identity and fencing number of the calling gateway. */
export interface DutyHolder {
  name: string
  /** Increases with each holder; the cloud refuses numbers lower than the highest that it has seen. */
  fencingNumber: number
  /** Whether the gateway still holds the duty. Asked when a call is about to be written, which may be long after it was made. */
  mayAct: () => boolean
}

/** Outcome of a call to which the cloud responded. */
export type CloudOutcome =
  | 'accepted'
  /** Refused because the cloud has seen a higher fencing number: another gateway now holds the cloud duty. */
  | 'fenced'
  /** The cloud currently has no capacity for this kind of upstream. */
  | 'unavailable'
  /** Refused temporarily, without any effect. */
  | 'refused'

/** Usage of one reporting window. */
export interface UsageReport {
  window: number
  /** Number of requests that started executing, by workspace. */
  counts: ReadonlyMap<string, number>
}

/** Order to bring a service to a number of upstreams of one kind in a failure domain. */
export interface UpstreamOrder {
  service: string
  failureDomain: string
  /** Whether the platform may reclaim the upstreams. */
  reclaimable: boolean
  /** Total number of upstreams of this kind, existing ones included. */
  desired: number
}

/** Client of the cloud. After an error, the call may have taken effect or may still do so. */
export interface Cloud {
  reportUsage (context: CallContext, holder: DutyHolder, report: UsageReport): Promise<Result<CloudOutcome, Error>>
  orderUpstreams (context: CallContext, holder: DutyHolder, order: UpstreamOrder): Promise<Result<CloudOutcome, Error>>
}
