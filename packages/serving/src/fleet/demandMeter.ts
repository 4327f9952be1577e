/**
 * Measures the demand for each service: the work that callers request per second.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { SlidingSum } from '../slidingSum.js'

const WINDOW_SECONDS = 4
/** Minimum time over which a rate is averaged, even if the first requests arrived more recently. */
const MINIMUM_WINDOW_SECONDS = 1

/** Requested work per second. */
export interface Demand {
  promptTokensPerSecond: number
  outputTokensPerSecond: number
}

interface ServiceDemand {
  promptTokens: SlidingSum
  outputTokens: SlidingSum
  requests: SlidingSum
}

/** Averages the demand over a sliding window of a few seconds. */
export class DemandMeter {
  private readonly _services = new Map<string, ServiceDemand>()

  static create (): DemandMeter {
    return new DemandMeter()
  }

  record (service: string, promptTokens: number, outputTokens: number, now: Timestamp): void {
    const demand = this._services.get(service) ?? { promptTokens: SlidingSum.create(WINDOW_SECONDS), outputTokens: SlidingSum.create(WINDOW_SECONDS), requests: SlidingSum.create(WINDOW_SECONDS) }
    this._services.set(service, demand)
    demand.promptTokens.record(promptTokens, now)
    demand.outputTokens.record(outputTokens, now)
    demand.requests.record(1, now)
  }

  /** Prompt tokens of an average recent request; undefined while there are no requests. */
  promptTokensPerRequest (service: string, now: Timestamp): number | undefined {
    const demand = this._services.get(service)
    const requests = demand?.requests.sum(now) ?? 0
    return demand && requests > 0 ? demand.promptTokens.sum(now) / requests : undefined
  }

  /** Returns all services that have had requests, with their current demand. */
  list (now: Timestamp): Array<Demand & { service: string }> {
    return [...this._services.keys()].map(service => ({ service, ...this.demandOf(service, now) }))
  }

  demandOf (service: string, now: Timestamp): Demand {
    const demand = this._services.get(service)
    if (!demand) return { promptTokensPerSecond: 0, outputTokensPerSecond: 0 }
    const seconds = Math.max(MINIMUM_WINDOW_SECONDS, demand.promptTokens.secondsCovered(now))
    return {
      promptTokensPerSecond: Math.round(demand.promptTokens.sum(now) / seconds),
      outputTokensPerSecond: Math.round(demand.outputTokens.sum(now) / seconds)
    }
  }
}
