/**
 * Fault switches of the engine stand-in.
 *
 * @module
 */
import { z } from 'zod'

export const engineFaultsSchema = z.strictObject({
  /** Answers with bytes that are not the interface's. */
  rubbish: z.boolean().default(false),
  /** Cuts the connection after this many tokens; 0 means never. */
  cutAfterTokens: z.int().min(0).default(0),
  /** Ends the stream properly, but without its last events, after this many tokens; 0 means never. */
  endAfterTokens: z.int().min(0).default(0),
  /** Names the answer after another request. */
  foreignId: z.boolean().default(false),
  /** Refuses calls with this status before running them; 0 means never. */
  refuseWithStatus: z.int().min(0).max(599).default(0),
  /** Stops when a prompt contains this text. */
  crashOnText: z.string().default(''),
  /** Accepts calls and never answers. */
  frozen: z.boolean().default(false)
})

export type EngineFaultSettings = z.infer<typeof engineFaultsSchema>
