/**
 * Fault injection settings of the engine stand-in.
 *
 * @module
 */
import * as z from 'zod'

export const engineFaultsSchema = z.strictObject({
  /** Responds with status 200 and a body that is not valid in the OpenAI-compatible API. */
  rubbish: z.boolean().default(false),
  /** Destroys the connection after this many tokens; 0 means never. */
  cutAfterTokens: z.int().min(0).default(0),
  /** Ends the response normally, but without its final events, after this many tokens; 0 means never. */
  endAfterTokens: z.int().min(0).default(0),
  /** Puts the id of another request into the response. */
  foreignId: z.boolean().default(false),
  /** Rejects requests with this status before executing them; 0 means never. */
  refuseWithStatus: z.int().min(0).max(599).default(0),
  /** Crashes the engine when a prompt contains this text; an empty text means never. */
  crashOnText: z.string().default(''),
  /** Accepts completion requests and never responds to them. */
  frozen: z.boolean().default(false)
})

export type EngineFaultSettings = z.infer<typeof engineFaultsSchema>
