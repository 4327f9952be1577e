/**
 * A request in flight, in a form from which another gateway can continue it.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { CompletionEndpoint } from '../attempts/streamedResponse.js'

/** A request that is handed over from one gateway to another. */
export interface HandedRequest {
  requestId: string
  workspace: string
  route: string
  endpoint: CompletionEndpoint
  /** The body of the request as the caller sent it. */
  body: Buffer
  acceptedAt: Timestamp
  /** Position of the last token that the first gateway received. */
  position: number
  /** The response events up to that token. */
  events: Buffer
  /** Whether an upstream may have executed the request already. */
  mayHaveRun: boolean
  /** Whether the response is complete and only needs to be fetched by the caller. */
  complete: boolean
}
