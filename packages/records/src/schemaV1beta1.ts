/**
 * Schema version `plumstage/v1beta1` of the configuration records. It differs from v1 in these ways: a Service lists
 * its upstreams as address strings in one failure domain and has `maxConcurrency`; a Route has `repeatable` instead of
 * `idempotency`; a Priority states its times in whole seconds; a Workspace has a single token digest.
 *
 * @module
 */
import * as z from 'zod'
import type { ConfigurationRecord, ServiceRecord } from './model.js'
import { abilitiesSchema, addressSchema, healthPathSchema, metadataSchema, nameSchema, tokenDigestSchema } from './schemaV1.js'

export const API_VERSION_V1BETA1 = 'plumstage/v1beta1'

const MILLISECONDS_PER_SECOND = 1000
const DEFAULT_MAX_CONCURRENCY = 16
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000
const positiveInteger = z.int().min(1)

const serviceSpecSchema = z.strictObject({
  models: z.array(z.string().min(1)).default([]),
  addresses: z.array(addressSchema).min(1, 'must list at least one address'),
  failureDomain: nameSchema,
  abilities: abilitiesSchema.prefault({}),
  maxConcurrency: positiveInteger.default(DEFAULT_MAX_CONCURRENCY),
  healthPath: healthPathSchema.optional()
})

const workspaceSpecSchema = z.strictObject({ tokenDigest: tokenDigestSchema })

const routeSpecSchema = z.strictObject({
  service: nameSchema,
  priority: nameSchema,
  repeatable: z.boolean(),
  model: z.string().min(1).optional(),
  pathPrefix: z.string().startsWith('/').optional()
}).refine(spec => (spec.model === undefined) !== (spec.pathPrefix === undefined), 'must have either model or pathPrefix, but not both; set exactly one of them')

const prioritySpecSchema = z.strictObject({
  rank: z.int().min(0).max(99),
  startWithinSeconds: positiveInteger,
  answerWithinSeconds: positiveInteger
})

function recordSchema<Kind extends string, Spec extends z.ZodType> (kind: Kind, spec: Spec) {
  return z.strictObject({ apiVersion: z.literal(API_VERSION_V1BETA1), kind: z.literal(kind), metadata: metadataSchema, spec })
}

export const recordSchemaV1beta1 = z.discriminatedUnion('kind', [
  recordSchema('Service', serviceSpecSchema),
  recordSchema('Workspace', workspaceSpecSchema),
  recordSchema('Route', routeSpecSchema),
  recordSchema('Priority', prioritySpecSchema)
])

export type RecordV1beta1 = z.infer<typeof recordSchemaV1beta1>

/** Converts a validated `plumstage/v1beta1` record to the internal model. */
export function convertV1beta1 (record: RecordV1beta1): ConfigurationRecord {
  const name = record.metadata.name
  switch (record.kind) {
    case 'Service': return convertService(name, record.spec)
    case 'Workspace': return { kind: 'Workspace', name, tokenDigests: [record.spec.tokenDigest], weight: 1 }
    case 'Route': return {
      kind: 'Route',
      name,
      service: record.spec.service,
      priority: record.spec.priority,
      idempotency: record.spec.repeatable ? 'idempotent' : 'non-idempotent',
      model: record.spec.model,
      pathPrefix: record.spec.pathPrefix,
      methods: []
    }
    case 'Priority': return {
      kind: 'Priority',
      name,
      rank: record.spec.rank,
      startWithinMilliseconds: record.spec.startWithinSeconds * MILLISECONDS_PER_SECOND,
      answerWithinMilliseconds: record.spec.answerWithinSeconds * MILLISECONDS_PER_SECOND,
      reservedShare: 0
    }
  }
}

function convertService (name: string, spec: z.infer<typeof serviceSpecSchema>): ServiceRecord {
  return {
    kind: 'Service',
    name,
    type: spec.models.length > 0 ? 'model-engine' : 'plain',
    models: spec.models,
    upstreams: spec.addresses.map(address => ({ address, failureDomain: spec.failureDomain, instanceClass: 'standard' })),
    abilities: spec.abilities,
    concurrencyPerUpstream: spec.maxConcurrency,
    prefillTokensPerSecond: DEFAULT_PREFILL_TOKENS_PER_SECOND,
    weights: { price: 0, recomputation: 0 },
    prices: {},
    drainedUpstreams: [],
    healthPath: spec.healthPath
  }
}
