/**
 * Validates the deployment snapshots that gateways exchange.
 *
 * @module
 */
import * as z from 'zod'
import type { DeploymentSnapshot } from './deploymentView.js'

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.int().min(1) })

const snapshotSchema = z.object({
  configuration: entrySchema.optional(),
  upstreams: z.object({ revision: z.int().min(0), entries: z.array(entrySchema) })
})

/** Parses a snapshot from a peer; throws when it is invalid. */
export function parseDeploymentSnapshot (document: unknown): DeploymentSnapshot {
  return snapshotSchema.parse(document)
}
