/**
 * The internal model of configuration records, to which every schema version is converted.
 *
 * @module
 */

/** Kinds of configuration records. */
export type RecordKind = 'Service' | 'Workspace' | 'Route' | 'Priority'

export const RECORD_KINDS: readonly RecordKind[] = ['Priority', 'Service', 'Route', 'Workspace']

/** Whether a call may be sent to an upstream more than once. */
export type Idempotency = 'idempotent' | 'idempotent-with-key' | 'non-idempotent'

/** What kind of back end a service is. */
export type ServiceType = 'model-engine' | 'plain'

/** What the quota of a workspace counts. */
export type QuotaUnit = 'requests' | 'tokens'

/** How much a workspace may use across all gateways. */
export interface WorkspaceQuota {
  unit: QuotaUnit
  /** Units refilled in a second. */
  unitsPerSecond: number
  /** Units that may be used at once after a pause. */
  burstUnits: number
  /** Units that a request counts whose size is not stated. */
  defaultUnits: number
}

/** One of the services that share the calls of a route. */
export interface ServiceShare {
  service: string
  weight: number
}

/** Bounds within which instances of a service are ordered from the platform. */
export interface ScalingBounds {
  /** Fewest upstreams in a failure domain. */
  minimum: number
  /** Most upstreams in a failure domain, reclaimable ones included. */
  maximum: number
  /** Seconds from an order until the new upstream serves. */
  bootSeconds: number
  /** Price of a reclaimable upstream as a fraction of another's; undefined when there are none. */
  reclaimablePriceFraction?: number
  /** Price of an upstream for each second, by failure domain. */
  priceByDomain: Readonly<Record<string, number>>
}

/** What the model engines of a service offer. */
export interface EngineLimits {
  /** Requests that an engine computes at the same time. */
  batchSize: number
  /** Tokens that fit into an engine's memory. */
  kvCacheTokens: number
  /** Calls for cache events that an engine keeps waiting. */
  maximumWaitingEventRequests: number
}

/** Whether the engines of a service refuse orders with an old fencing number. */
export type FencingSupport = 'honoured' | 'ignored'

/** An upstream that is listed in its Service record. */
export interface StaticUpstream {
  /** IP number and port, for example `127.0.0.1:9000`. */
  address: string
  failureDomain: string
  instanceClass: string
}

/** What the upstreams of a service are able to do. */
export interface UpstreamAbilities {
  /** The engine names its answer after the request id that it was given. */
  echoesRequestId: boolean
  /** The engine continues an answer from a token position. */
  resume: boolean
  /** Statuses that say that the call was refused before it ran. */
  notRunStatuses: readonly number[]
  fencing: FencingSupport
  /** Tokens of a prompt's computed state that an engine fetches from another in a second; 0 when it can't. */
  cacheTransferTokensPerSecond: number
}

export interface ServiceRecord {
  kind: 'Service'
  name: string
  type: ServiceType
  /** Model names that the service answers to; empty for plain services. */
  models: readonly string[]
  upstreams: readonly StaticUpstream[]
  /** Pool of the instance list from which further upstreams are discovered. */
  pool?: string
  abilities: UpstreamAbilities
  /** Requests that one upstream runs at the same time. */
  concurrencyPerUpstream: number
  /** Prompt tokens that one upstream prefills in a second. */
  prefillTokensPerSecond: number
  /** Weights of the routing score, in seconds for each unit. */
  weights: ScoreWeights
  /** Price of one instance hour by instance class; classes that are not listed cost nothing. */
  prices: Readonly<Record<string, number>>
  /** What the engines are to have loaded; undefined when they are not ordered to. */
  orders?: { adapter: string }
  /** Addresses of upstreams that get no new work. */
  drainedUpstreams: readonly string[]
  /** Connections that one upstream accepts from all gateways together; undefined when it is not limited. */
  maximumConnections?: number
  scaling?: ScalingBounds
  engine?: EngineLimits
}

/** How much each part of the routing score counts against a second of waiting. */
export interface ScoreWeights {
  /** Seconds for each unit of price of the instance class. */
  price: number
  /** Seconds for each thousand prompt tokens computed again. */
  recomputation: number
}

export interface WorkspaceRecord {
  kind: 'Workspace'
  name: string
  /** SHA-256 digests of the bearer tokens, in lower-case hexadecimal. */
  tokenDigests: readonly string[]
  /** Share of the capacity within a priority class, relative to the other workspaces. */
  weight: number
  quota?: WorkspaceQuota
  /** Rank of all calls of the workspace, in place of that of their route's priority class. */
  rank?: number
}

export interface RouteRecord {
  kind: 'Route'
  name: string
  service: string
  priority: string
  idempotency: Idempotency
  /** Model name for calls of the OpenAI-compatible interface. */
  model?: string
  /** Path prefix for calls of plain services, for example `/wiki/`. */
  pathPrefix?: string
  /** HTTP methods for calls of plain services; empty means all. */
  methods: readonly string[]
  /** Host of the calls; undefined for all hosts. */
  host?: string
  /** Services that share the calls by weight, in place of `service`. */
  split?: readonly ServiceShare[]
  /** Whether calls need no bearer token. */
  anonymous?: boolean
  /** Most upstreams to which one call may be sent. */
  maximumAttempts?: number
  /** Longest time that a call may take, in milliseconds. */
  timeoutMilliseconds?: number
  /** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
  objectiveMilliseconds?: number
  /** Present when answers are event streams. */
  stream?: StreamPolicy
}

/** How the event streams of a route behave. */
export interface StreamPolicy {
  /** Whether another upstream may continue a stream after an event that the caller has. */
  resumable: boolean
  /** Longest pause between events that is on time, in milliseconds. */
  gapObjectiveMilliseconds: number
}

/** Bounds on what callers may send, and on how long they may take. */
export interface CallerLimits {
  maximumHeaderBytes: number
  maximumBodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

export interface PriorityRecord {
  kind: 'Priority'
  name: string
  /** Order among the classes; 0 goes first. */
  rank: number
  /** Time within which a request of this class must have started, in milliseconds. */
  startWithinMilliseconds: number
  /** Time within which a request of this class must have ended, in milliseconds. */
  answerWithinMilliseconds: number
  /** Fraction of each service's capacity that lower classes leave free for this one. */
  reservedShare: number
}

export type ConfigurationRecord = ServiceRecord | WorkspaceRecord | RouteRecord | PriorityRecord
