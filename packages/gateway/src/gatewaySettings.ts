/**
 * Settings of the gateway, from flags and `PLUMSTAGE_*` environment variables.
 *
 * @module
 */
import * as z from 'zod'
import { LOG_LEVELS, readSettings } from '@plumstage/common'
import type { SettingDefinition, SettingsSource } from '@plumstage/common'
import type { Result } from 'neverthrow'

const MEBIBYTE = 1024 * 1024
const DEFAULT_MAXIMUM_BODY_BYTES = 8 * MEBIBYTE
const DEFAULT_DRAIN_DELAY_MILLISECONDS = 2000
const MINIMUM_TOKEN_LENGTH = 12

const DEFINITIONS: readonly SettingDefinition[] = [
  { flag: 'embedded', description: 'run with stand-ins for the platform and the upstreams inside this process, to try the gateway without any setup' },
  { flag: 'name', value: 'name', description: 'name of this gateway, unique in the deployment' },
  { flag: 'deployment', value: 'name', description: 'name of the deployment' },
  { flag: 'failure-domain', value: 'name', description: 'failure domain of the instance' },
  { flag: 'listen', value: 'address', description: 'IP address and port for callers' },
  { flag: 'operator-listen', value: 'address', description: 'IP address and port for operators' },
  { flag: 'operator-token', value: 'token', description: 'token that operators present, at least 12 characters' },
  { flag: 'peer-listen', value: 'address', description: 'IP address and port for other gateways' },
  { flag: 'peer-advertise', value: 'address', description: 'address under which other gateways reach this one, if it differs from --peer-listen' },
  { flag: 'peer-token', value: 'token', description: 'secret that all gateways of the deployment share, at least 12 characters' },
  { flag: 'peer-seed', value: 'address', description: 'peer address of another gateway; can be given several times', repeatable: true },
  { flag: 'key-value-service', value: 'url', description: 'URL of the key-value service; can be given several times', repeatable: true },
  { flag: 'instance-list', value: 'url', description: 'URL of the instance list' },
  { flag: 'instance-address', value: 'address', description: 'address of this gateway in the instance list, to detect the reclaim of its instance' },
  { flag: 'events', value: 'target', description: 'where events go: a path, - for standard output, or none' },
  { flag: 'log-level', value: 'level', description: 'debug, info, warn, error or silent' },
  { flag: 'maximum-body-bytes', value: 'bytes', description: 'maximum size of a request body' },
  { flag: 'drain-delay-milliseconds', value: 'milliseconds', description: 'how long a stopping gateway accepts connections after it reports that it is not ready' }
]

const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'must be an IP address and a port, for example 127.0.0.1:8080')
const urlSchema = z.url({ protocol: /^http$/, error: 'must be a URL such as http://10.0.0.5:2379' })
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits, dots or dashes')
const tokenSchema = z.string().min(MINIMUM_TOKEN_LENGTH, `must have at least ${MINIMUM_TOKEN_LENGTH} characters`)

/** Settings that are required unless the gateway runs with embedded stand-ins. */
const platformSettingsSchema = z.object({
  operatorToken: tokenSchema,
  peerToken: tokenSchema,
  keyValueService: z.array(urlSchema).min(1, 'is missing')
})

const settingsSchema = z.object({
  embedded: z.boolean().default(false),
  name: nameSchema.default('gateway'),
  deployment: nameSchema.default('default'),
  failureDomain: nameSchema.default('local'),
  listen: addressSchema.default('127.0.0.1:8080'),
  operatorListen: addressSchema.default('127.0.0.1:8081'),
  operatorToken: tokenSchema.optional(),
  peerListen: addressSchema.default('127.0.0.1:8082'),
  peerAdvertise: addressSchema.optional(),
  peerToken: tokenSchema.optional(),
  peerSeed: z.array(addressSchema).default([]),
  keyValueService: z.array(urlSchema).default([]),
  instanceList: urlSchema.optional(),
  instanceAddress: addressSchema.optional(),
  events: z.string().min(1).default('none'),
  logLevel: z.enum(LOG_LEVELS as ['debug', 'info', 'warn', 'error', 'silent'], 'must be debug, info, warn, error or silent').default('info'),
  maximumBodyBytes: z.coerce.number('must be a number').int().min(1024, 'must be at least 1024').default(DEFAULT_MAXIMUM_BODY_BYTES),
  drainDelayMilliseconds: z.coerce.number('must be a number').int().min(0).default(DEFAULT_DRAIN_DELAY_MILLISECONDS)
})

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof settingsSchema>

function createSchema (values: Readonly<Record<string, unknown>>): z.ZodType<GatewaySettings> {
  return values.embedded === true ? settingsSchema : settingsSchema.extend(platformSettingsSchema.shape)
}

/** Reads the settings, or returns one error that lists every invalid setting. */
export function readGatewaySettings (source: SettingsSource): Result<GatewaySettings, Error> {
  return readSettings('plumstage-gateway', 'Forwards the requests of callers to the upstreams of one deployment.', DEFINITIONS, createSchema, source)
}
