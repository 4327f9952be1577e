/**
 * Sums of the state of several gateways. Names are replaced by hashes of 32 bits, so that a sum over all gateways stays
 * small.
 *
 * @module
 */
import { rendezvousWeight } from '../routing/rendezvousHash.js'

const NAME_HASH_KEY = 'aggregate'

/** Hash of the name of an upstream, a workspace or a service. */
export type NameHash = number

/** Load of an upstream. */
export interface LoadSum {
  requests: number
  waitingTokens: number
}

/** Quota usage of a workspace. */
export interface UsageSum {
  /** Units admitted since the start of each gateway. */
  admittedUnits: number
  admittedUnitsPerSecond: number
  /** Requested units, admitted or not. */
  offeredUnitsPerSecond: number
}

/** Demand for a service, and the measured prefill rate of its upstreams. */
export interface DemandSum {
  promptTokensPerSecond: number
  outputTokensPerSecond: number
  prefillSamples: number
  /** Measured prefill rates in tokens per second, each multiplied by its number of samples. */
  weightedPrefillRate: number
}

/** Answers of one version of a service on one route during a roll-out. */
export interface AnswerSum {
  answers: number
  bad: number
}

/** Sums over several gateways. */
export interface Aggregate {
  gateways: number
  /** Exclusive or of the hashes of the gateways' runs: sums of different gateways have different fingerprints. */
  fingerprint: number
  loads: Map<NameHash, LoadSum>
  usage: Map<NameHash, UsageSum>
  demands: Map<NameHash, DemandSum>
  answers: Map<NameHash, AnswerSum>
}

export function hashName (name: string): NameHash {
  return rendezvousWeight(NAME_HASH_KEY, name)
}

export function emptyAggregate (): Aggregate {
  return { gateways: 0, fingerprint: 0, loads: new Map(), usage: new Map(), demands: new Map(), answers: new Map() }
}

/** Adds `addend` to `sum`. */
export function addAggregate (sum: Aggregate, addend: Aggregate): void {
  combine(sum, addend, 1)
}

/** Subtracts `subtrahend` from `sum`, of which it has to be a part. */
export function subtractAggregate (sum: Aggregate, subtrahend: Aggregate): void {
  combine(sum, subtrahend, -1)
}

function combine (sum: Aggregate, other: Aggregate, sign: 1 | -1): void {
  sum.gateways += sign * other.gateways
  sum.fingerprint = (sum.fingerprint ^ other.fingerprint) >>> 0
  combineFields(sum.loads, other.loads, sign)
  combineFields(sum.usage, other.usage, sign)
  combineFields(sum.demands, other.demands, sign)
  combineFields(sum.answers, other.answers, sign)
}

function combineFields<Fields extends { [Field in keyof Fields]: number }> (sums: Map<NameHash, Fields>, others: ReadonlyMap<NameHash, Fields>, sign: 1 | -1): void {
  for (const [name, other] of others) {
    const sum = sums.get(name)
    const combined = { ...other }
    for (const field in other) combined[field] = Math.max(0, (sum?.[field] ?? 0) + sign * other[field]) as Fields[typeof field]
    sums.set(name, combined)
  }
}
