/**
 * A request that has passed admission.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { RouteRecord, ServiceRecord } from '@plumstage/records'
import type { CallerHead, GenerationDemand } from '../callers/callerProtocol.js'
import type { DecisionBasis } from '../deployment/decisionBasis.js'

/** A request that the gateway has accepted. */
export interface AcceptedRequest {
  head: CallerHead
  route: RouteRecord
  service: ServiceRecord
  workspace?: string
  /** Order among requests; 0 goes first. */
  rank: number
  /** The work that it requires of a model engine. */
  generation?: GenerationDemand
  /** Units that were charged to its workspace's quota. */
  quotaUnits: number
  body: Buffer
  /** Identifies the content of the request; the same when the caller sends it again. */
  digest: string
  acceptedAt: Timestamp
  deadline: Timestamp
  /** What was known when the request was decided. */
  basis: DecisionBasis
}

/** Whether the caller has received a part of the response before, from an earlier request. */
export function isResumed ({ lastEventId, resumedRequestId }: CallerHead): boolean {
  return lastEventId !== undefined || resumedRequestId !== undefined
}
