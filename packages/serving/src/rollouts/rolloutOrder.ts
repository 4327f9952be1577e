/**
 * Orders of operators to move the traffic of a service to another version, and how far they were carried out.
 *
 * @module
 */
import * as z from 'zod'
import { parseJson } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'

/** An order, as decoded from what the operators wrote. */
export interface RolloutOrder {
  service: string
  /** Version of the upstreams that are to serve. */
  to: string
  durationMilliseconds: number
}

/** How far an order was carried out. */
export type RolloutStage =
  /** A small share of the requests goes to the new version. */
  | 'observing'
  /** All new requests go to the new version. */
  | 'moving'
  | 'completed'
  | 'rolled-back'

/** The stage of an order as it is kept in the store. */
export interface RolloutProgress {
  stage: RolloutStage
  to: string
  /** Versions that served when the roll-out began; the new one replaces them. */
  from: readonly string[]
  /** Revision of the order in the store. */
  orderRevision: number
  /** Time of day, in milliseconds since the epoch. */
  startedAt: Timestamp
  deadlineAt: Timestamp
}

const progressSchema = z.object({
  stage: z.enum(['observing', 'moving', 'completed', 'rolled-back']),
  to: z.string().min(1),
  from: z.array(z.string()),
  orderRevision: z.number(),
  startedAt: z.number(),
  deadlineAt: z.number()
})

export function encodeRolloutProgress (progress: RolloutProgress): string {
  return JSON.stringify(progress)
}

/** Returns undefined when the text is not the progress of a roll-out. */
export function decodeRolloutProgress (text: string): RolloutProgress | undefined {
  const parsed = progressSchema.safeParse(parseJson(text))
  return parsed.success ? parsed.data : undefined
}

/** Whether nothing more is to be done for an order. */
export function isFinal (stage: RolloutStage): boolean {
  return stage === 'completed' || stage === 'rolled-back'
}
