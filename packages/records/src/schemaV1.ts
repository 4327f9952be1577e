/**
 * Schema version `plumstage/v1` of the configuration records.
 *
 * @module
 */
import * as z from 'zod'
import type { ConfigurationRecord } from './model.js'

export const API_VERSION_V1 = 'plumstage/v1'

const DEFAULT_CONCURRENCY_PER_UPSTREAM = 16
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000
const DEFAULT_ANSWER_WITHIN_MILLISECONDS = 120_000

export const nameSchema = z.string().regex(/^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/, 'must be 1 to 63 lower-case letters, digits, dots or dashes, and start and end with a letter or digit')
export const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'must be an IP number and a port, for example 10.0.0.7:9000')
export const tokenDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 digest of a token in lower-case hexadecimal; `plumstage token` prints one')
const pathPrefixSchema = z.string().regex(/^\/[^?#\s]*$/, 'must be a path that starts with a slash').refine(path => !path.startsWith('/v1/'), 'must not start with /v1/, which is reserved for the OpenAI-compatible interface; choose another prefix')
export const healthPathSchema = z.string().regex(/^\/[!-~]*$/, 'must be a path that starts with a slash and has neither spaces nor characters outside ASCII')
const positiveInteger = z.int().min(1)

export const metadataSchema = z.strictObject({
  name: nameSchema,
  revision: z.int().min(0).optional()
})

export const upstreamSchema = z.strictObject({
  address: addressSchema,
  failureDomain: nameSchema,
  instanceClass: nameSchema.default('standard')
})

export const abilitiesSchema = z.strictObject({
  echoesRequestId: z.boolean().default(false),
  resume: z.boolean().default(false),
  notRunStatuses: z.array(z.int().min(400).max(599)).default([]),
  fencing: z.enum(['honoured', 'ignored']).default('ignored'),
  cacheTransferTokensPerSecond: z.int().min(0).default(0)
})

export const weightsSchema = z.strictObject({
  price: z.number().min(0).default(0),
  recomputation: z.number().min(0).default(0)
})

const serviceSpecSchema = z.strictObject({
  type: z.enum(['model-engine', 'plain']),
  models: z.array(z.string().min(1)).default([]),
  upstreams: z.array(upstreamSchema).default([]),
  pool: nameSchema.optional(),
  abilities: abilitiesSchema.prefault({}),
  concurrencyPerUpstream: positiveInteger.default(DEFAULT_CONCURRENCY_PER_UPSTREAM),
  prefillTokensPerSecond: positiveInteger.default(DEFAULT_PREFILL_TOKENS_PER_SECOND),
  weights: weightsSchema.prefault({}),
  prices: z.record(z.string(), z.number().min(0)).default({}),
  orders: z.strictObject({ adapter: z.string().min(1) }).optional(),
  drainedUpstreams: z.array(addressSchema).default([]),
  healthPath: healthPathSchema.optional()
}).refine(spec => spec.upstreams.length > 0 || spec.pool !== undefined, 'has no upstreams; list them under upstreams or set pool to a pool of the instance list')
  .refine(spec => spec.type === 'plain' || spec.models.length > 0, 'has no models; list the models that the engines serve under models')

const workspaceSpecSchema = z.strictObject({
  tokenDigests: z.array(tokenDigestSchema).min(1, 'must contain at least one digest; `plumstage token` prints one'),
  weight: positiveInteger.default(1)
})

const routeSpecSchema = z.strictObject({
  service: nameSchema,
  priority: nameSchema,
  idempotency: z.enum(['idempotent', 'idempotent-with-key', 'non-idempotent']),
  model: z.string().min(1).optional(),
  pathPrefix: pathPrefixSchema.optional(),
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).default([])
}).refine(spec => (spec.model === undefined) !== (spec.pathPrefix === undefined), 'must have either model or pathPrefix, but not both; set exactly one of them')

const prioritySpecSchema = z.strictObject({
  rank: z.int().min(0).max(99),
  startWithinMilliseconds: positiveInteger,
  answerWithinMilliseconds: positiveInteger.default(DEFAULT_ANSWER_WITHIN_MILLISECONDS),
  reservedShare: z.number().min(0).max(0.9).default(0)
}).refine(spec => spec.answerWithinMilliseconds >= spec.startWithinMilliseconds, 'must have answerWithinMilliseconds of at least startWithinMilliseconds; raise it')

function recordSchema<Kind extends string, Spec extends z.ZodType> (kind: Kind, spec: Spec) {
  return z.strictObject({ apiVersion: z.literal(API_VERSION_V1), kind: z.literal(kind), metadata: metadataSchema, spec })
}

export const recordSchemaV1 = z.discriminatedUnion('kind', [
  recordSchema('Service', serviceSpecSchema),
  recordSchema('Workspace', workspaceSpecSchema),
  recordSchema('Route', routeSpecSchema),
  recordSchema('Priority', prioritySpecSchema)
])

export type RecordV1 = z.infer<typeof recordSchemaV1>

/** Converts a validated `plumstage/v1` record to the internal model. */
export function convertV1 (record: RecordV1): ConfigurationRecord {
  const name = record.metadata.name
  switch (record.kind) {
    case 'Service': return { kind: 'Service', name, ...record.spec }
    case 'Workspace': return { kind: 'Workspace', name, ...record.spec }
    case 'Route': return { kind: 'Route', name, ...record.spec }
    case 'Priority': return { kind: 'Priority', name, ...record.spec }
  }
}
