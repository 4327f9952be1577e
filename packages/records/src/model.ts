/**
 * The internal model of configuration records, to which every schema version is converted.
 *
 * @module
 */

/** Kinds of configuration records. */
export type RecordKind = 'Service' | 'Workspace' | 'Route' | 'Priority'

export const RECORD_KINDS: readonly RecordKind[] = ['Priority', 'Service', 'Route', 'Workspace']

/** Whether a request may be sent to an upstream more than once. */
export type Idempotency = 'idempotent' | 'idempotent-with-key' | 'non-idempotent'

/** Whether the upstreams of a service are model engines or plain HTTP servers. */
export type ServiceType = 'model-engine' | 'plain'

/** Unit in which the quota of a workspace is measured. */
export type QuotaUnit = 'requests' | 'tokens'

/** How much a workspace may use across all gateways. */
export interface WorkspaceQuota {
  unit: QuotaUnit
  /** Refill rate of the token bucket. */
  unitsPerSecond: number
  /** Capacity of the token bucket: the largest burst after an idle period. */
  burstUnits: number
  /** Units charged for a request that does not state its size. */
  defaultUnits: number
}

/** One of the services among which the requests of a route are split. */
export interface ServiceShare {
  service: string
  weight: number
}

/** Bounds within which instances of a service are ordered from the platform. */
export interface ScalingBounds {
  /** Minimum number of upstreams in a failure domain. */
  minimum: number
  /** Maximum number of upstreams in a failure domain, including reclaimable ones. */
  maximum: number
  /** Seconds from an order until the new upstream accepts requests. */
  bootSeconds: number
  /** Price of a reclaimable upstream as a fraction of the on-demand price; undefined when none may be ordered. */
  reclaimablePriceFraction?: number
  /** Price of an upstream per second, by failure domain. */
  priceByDomain: Readonly<Record<string, number>>
}

/** Capacity limits of one model engine of a service. */
export interface EngineLimits {
  /** Maximum number of requests that an engine processes concurrently. */
  batchSize: number
  /** Tokens that fit into the engine's KV cache. */
  kvCacheTokens: number
  /** Maximum number of requests for cache events that an engine keeps waiting. */
  maximumWaitingEventRequests: number
}

/** Whether the engines of a service reject orders with an outdated fencing number. */
export type FencingSupport = 'honoured' | 'ignored'

/** An upstream that is listed in its Service record. */
export interface StaticUpstream {
  /** IP address and port, for example `127.0.0.1:9000`. */
  address: string
  failureDomain: string
  instanceClass: string
}

/** Optional features that the upstreams of a service support. */
export interface UpstreamAbilities {
  /** Whether the engine uses the given request ID as the ID of its response. */
  echoesRequestId: boolean
  /** Whether the engine can continue a response from a token position. */
  resume: boolean
  /** HTTP statuses with which upstreams reject a request without having executed it. */
  notRunStatuses: readonly number[]
  fencing: FencingSupport
  /** Rate at which an engine fetches a prompt's cached state from another engine; 0 when it can't. */
  cacheTransferTokensPerSecond: number
}

export interface ServiceRecord {
  kind: 'Service'
  name: string
  type: ServiceType
  /** Names of the models that the service serves; empty for plain services. */
  models: readonly string[]
  upstreams: readonly StaticUpstream[]
  /** Pool of the instance list in which further upstreams are discovered. */
  pool?: string
  abilities: UpstreamAbilities
  /** Maximum number of requests that one upstream runs concurrently. */
  concurrencyPerUpstream: number
  /** Prefill rate of one upstream. */
  prefillTokensPerSecond: number
  weights: ScoreWeights
  /** Price of one instance hour by instance class; classes that are not listed cost nothing. */
  prices: Readonly<Record<string, number>>
  /** The adapter that the engines are ordered to load; undefined when no orders are sent to them. */
  orders?: { adapter: string }
  /** Addresses of upstreams that receive no new requests. */
  drainedUpstreams: readonly string[]
  /** Maximum number of connections to one upstream from all gateways together; undefined when it is not limited. */
  maximumConnections?: number
  /** Path of the HTTP health check of its upstreams; undefined when they have none. */
  healthPath?: string
  scaling?: ScalingBounds
  engine?: EngineLimits
}

/** Weights that convert the terms of the routing score to seconds of waiting time. */
export interface ScoreWeights {
  /** Seconds per unit of the instance class's price. */
  price: number
  /** Seconds per thousand prompt tokens that have to be recomputed. */
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
  /** Rank of all requests of the workspace; overrides the rank of their route's priority class. */
  rank?: number
}

export interface RouteRecord {
  kind: 'Route'
  name: string
  service: string
  priority: string
  idempotency: Idempotency
  /** Model name that selects the route on the OpenAI-compatible interface. */
  model?: string
  /** Path prefix of requests to a plain service, for example `/wiki/`. */
  pathPrefix?: string
  /** HTTP methods of requests to a plain service; empty means all. */
  methods: readonly string[]
  /** Host of the requests; undefined for all hosts. */
  host?: string
  /** Services among which requests are split by weight, in place of `service`. */
  split?: readonly ServiceShare[]
  /** Whether requests need no bearer token. */
  anonymous?: boolean
  /** Maximum number of upstreams to which one request may be sent. */
  maximumAttempts?: number
  /** Maximum duration of a request. */
  timeoutMilliseconds?: number
  /** Latency objective for a complete response, or for the first event of a stream. */
  objectiveMilliseconds?: number
  /** Set when responses are event streams. */
  stream?: StreamPolicy
}

/** How event streams of a route are handled. */
export interface StreamPolicy {
  /** Whether another upstream may continue a stream after the last event that the caller has received. */
  resumable: boolean
  /** Objective for the pause between two events. */
  gapObjectiveMilliseconds: number
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  maximumHeaderBytes: number
  maximumBodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

export interface PriorityRecord {
  kind: 'Priority'
  name: string
  /** Order among the classes; 0 is served first. */
  rank: number
  /** Time within which a request of this class must be dispatched. */
  startWithinMilliseconds: number
  /** Time within which a request of this class must be complete. */
  answerWithinMilliseconds: number
  /** Fraction of each service's capacity that lower classes leave free for this one. */
  reservedShare: number
}

export type ConfigurationRecord = ServiceRecord | WorkspaceRecord | RouteRecord | PriorityRecord
