/**
 * The stored form of a claim: which gateway may dispatch a non-idempotent request, and the outcome of that request.
 *
 * @module
 */
import * as z from 'zod'

/** Schema of a stored claim. */
export const claimRecordSchema = z.object({
  /** Unique identifier of this claim. */
  token: z.string(),
  /** Name of the gateway that made the claim. */
  holder: z.string(),
  requestId: z.string(),
  /** Digest of method, path and body of the request. */
  requestDigest: z.string(),
  state: z.enum(['claimed', 'released', 'complete', 'unknown']),
  /** Time until which the holder may send the request to an upstream, in milliseconds since the epoch. */
  dispatchDeadline: z.number(),
  /** Time until which the holder may wait for the response, in milliseconds since the epoch. */
  answerDeadline: z.number(),
  /** The response, if it is complete and small enough to be stored. */
  answer: z.object({ status: z.number(), contentType: z.string(), bodyBase64: z.string() }).optional()
})

export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** A response that is stored with its claim. */
export interface StoredResponse {
  status: number
  contentType: string
  body: Buffer
}

const MAXIMUM_STORED_BYTES = 64 * 1024

export function formatClaim (record: ClaimRecord): string {
  return JSON.stringify(record)
}

/** Parses a stored claim; returns undefined when the value is not a valid claim. */
export function parseClaim (value: string): ClaimRecord | undefined {
  try {
    const parsed = claimRecordSchema.safeParse(JSON.parse(value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Marks a claim as complete, with the response unless its body is too large to be stored. */
export function completeClaim (record: ClaimRecord, response: StoredResponse | undefined): ClaimRecord {
  if (!response || response.body.length > MAXIMUM_STORED_BYTES) return { ...record, state: 'complete' }
  return { ...record, state: 'complete', answer: { status: response.status, contentType: response.contentType, bodyBase64: response.body.toString('base64') } }
}
