/**
 * Form in which gateways pass each other what they know of the deployment.
 *
 * @module
 */
import { z } from 'zod'
import type { DeploymentSnapshot } from './deploymentView.js'

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.int().min(1) })

const snapshotSchema = z.object({
  configuration: entrySchema.optional(),
  upstreams: z.object({ revision: z.int().min(0), entries: z.array(entrySchema) })
})

/** Checks a snapshot from another gateway; throws when it is not one. */
export function parseDeploymentSnapshot (document: unknown): DeploymentSnapshot {
  return snapshotSchema.parse(document)
}
