/**
 * A request in flight in a form that another gateway can go on from.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { CompletionEndpoint } from '../attempts/streamedResponse.js'

/** A request that changes gateways. */
export interface HandedRequest {
  requestId: string
  workspace: string
  route: string
  endpoint: CompletionEndpoint
  /** The call's body as the caller sent it. */
  body: Buffer
  acceptedAt: Timestamp
  /** Position of the last token that the first gateway had. */
  position: number
  /** The events up to that token. */
  events: Buffer
  /** Whether an upstream may have run it already. */
  mayHaveRun: boolean
  /** Whether the answer is whole and only has to be picked up. */
  complete: boolean
}
