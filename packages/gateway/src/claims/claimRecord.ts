/**
 * A claim as it is stored: which gateway may dispatch a non-idempotent request, and what became of it.
 *
 * @module
 */
import { z } from 'zod'

/** State of a claim. */
export const claimRecordSchema = z.object({
  /** Identity of this claim; no other has it. */
  token: z.string(),
  /** Gateway that made the claim. */
  holder: z.string(),
  requestId: z.string(),
  /** Digest of method, path and body of the request. */
  requestDigest: z.string(),
  state: z.enum(['claimed', 'released', 'complete', 'unknown']),
  /** Until when the holder may send the request to an upstream, in milliseconds since the epoch. */
  dispatchDeadline: z.number(),
  /** Until when the holder may wait for the answer, in milliseconds since the epoch. */
  answerDeadline: z.number(),
  /** The answer, when it is complete and small enough to be kept. */
  answer: z.object({ status: z.number(), contentType: z.string(), bodyBase64: z.string() }).optional()
})

export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** An answer that is kept with its claim. */
export interface StoredResponse {
  status: number
  contentType: string
  body: Buffer
}

const MAXIMUM_STORED_BYTES = 64 * 1024

export function formatClaim (record: ClaimRecord): string {
  return JSON.stringify(record)
}

/** Reads a stored claim; undefined when the value is not one. */
export function parseClaim (value: string): ClaimRecord | undefined {
  try {
    const parsed = claimRecordSchema.safeParse(JSON.parse(value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/** Adds an answer to a claim, without its body when that is too large to be kept. */
export function completeClaim (record: ClaimRecord, answer: StoredResponse | undefined): ClaimRecord {
  if (!answer || answer.body.length > MAXIMUM_STORED_BYTES) return { ...record, state: 'complete' }
  return { ...record, state: 'complete', answer: { status: answer.status, contentType: answer.contentType, bodyBase64: answer.body.toString('base64') } }
}
