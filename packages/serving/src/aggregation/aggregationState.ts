/**
 * Creates what one gateway contributes to an aggregation round, and applies the sums of a round to its state.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { ServingState } from '../servingState.js'
import { hashName } from './aggregate.js'
import type { Aggregate, DemandSum, LoadSum, NameHash } from './aggregate.js'

const MILLISECONDS_PER_SECOND = 1000

/** Maps between the state of one gateway and the sums. */
export class AggregationState {
  private readonly _state: ServingState
  private readonly _fingerprint: number
  private _hasTotals = false

  private constructor (state: ServingState, run: string) {
    this._state = state
    this._fingerprint = hashName(run)
  }

  /** `run` identifies this run of the gateway's process. */
  static create (state: ServingState, run: string): AggregationState {
    return new AggregationState(state, run)
  }

  /** Returns the state of this gateway alone. One that is shutting down still has load, but counts as a gateway no more. */
  createOwn (leaving: boolean, now: Timestamp): Aggregate {
    return {
      gateways: leaving ? 0 : 1,
      fingerprint: this._fingerprint,
      loads: this._listLoads(),
      usage: this._state.quotas.aggregateOwn(now),
      demands: this._listDemands(now),
      answers: new Map(this._state.rollouts.evidence.counts)
    }
  }

  /**
   * Applies the sums over all other gateways. One that knows only a few of them, because it has started while the store is
   * down, starts no rounds, but uses the sums.
   */
  apply (others: Aggregate, gateways: number, now: Timestamp): void {
    const { peers, upstreams, quotas } = this._state
    if (peers.reportMode === 'relays') return
    this._hasTotals = true
    peers.setTotals({ gateways, others, receivedAt: now })
    for (const upstream of upstreams.list()) upstream.setAggregatedPeerLoad(others.loads.get(hashName(upstream.listed.id)) ?? { requests: 0, waitingTokens: 0 })
    quotas.applyAggregated(others, now)
  }

  /** Stops using sums that are outdated because no round reaches this gateway; returns whether it used any until now. */
  expire (now: Timestamp): boolean {
    const { peers, upstreams, quotas } = this._state
    if (!this._hasTotals || peers.currentTotals(now)) return false
    this._hasTotals = false
    for (const upstream of upstreams.list()) upstream.setAggregatedPeerLoad(undefined)
    quotas.follow('direct')
    return true
  }

  private _listLoads (): Map<NameHash, LoadSum> {
    const loads = new Map<NameHash, LoadSum>()
    for (const { listed, localLoad } of this._state.upstreams.list()) {
      if (localLoad.requests > 0) loads.set(hashName(listed.id), { requests: localLoad.requests, waitingTokens: Math.round(localLoad.waitingTokens) })
    }
    return loads
  }

  private _listDemands (now: Timestamp): Map<NameHash, DemandSum> {
    const demands = new Map<NameHash, DemandSum>()
    for (const { service, promptTokensPerSecond, outputTokensPerSecond } of this._state.demand.list(now)) {
      const { tokensPerMillisecond, samples } = this._state.capacities.measuredRateOf(service)
      const prefillSamples = Math.round(samples)
      const weightedPrefillRate = prefillSamples === 0 ? 0 : tokensPerMillisecond * MILLISECONDS_PER_SECOND * prefillSamples
      demands.set(hashName(service), { promptTokensPerSecond, outputTokensPerSecond, prefillSamples, weightedPrefillRate })
    }
    return demands
  }
}
