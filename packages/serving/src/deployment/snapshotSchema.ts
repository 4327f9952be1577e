/**
 * Validates the deployment snapshots that gateways exchange.
 *
 * @module
 */
import * as z from 'zod'
import { UNKNOWN_ERA } from '@plumstage/coordination'
import type { DeploymentSnapshot } from './deploymentView.js'

/** Gateways of earlier releases state no era. */
const eraSchema = z.int().min(0).default(UNKNOWN_ERA)

const entrySchema = z.object({ key: z.string(), value: z.string(), era: eraSchema, revision: z.int().min(1) })

const snapshotSchema = z.object({
  configuration: entrySchema.optional(),
  upstreams: z.object({ era: eraSchema, revision: z.int().min(0), entries: z.array(entrySchema) })
})

/** Parses a snapshot from a peer; throws when it is invalid. */
export function parseDeploymentSnapshot (document: unknown): DeploymentSnapshot {
  return snapshotSchema.parse(document)
}
