/**
 * The capacity of each service's upstreams, from what all gateways observe.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { hashName } from '../aggregation/aggregate.js'
import type { DemandSum } from '../aggregation/aggregate.js'
import type { PeerTable } from '../peers/peerTable.js'
import { PrefillModel, isSufficient, mergeRates } from './prefillModel.js'
import type { MeasuredRate } from './prefillModel.js'

/** How long a merged estimate is used before the peers' reports are read again. */
const MERGE_INTERVAL_MILLISECONDS = 250
const MILLISECONDS_PER_SECOND = 1000

/** Capacity of one upstream of a service. */
export interface UpstreamCapacity {
  /** Prompt tokens that it prefills per millisecond. */
  tokensPerMillisecond: number
  /** Whether enough was observed; otherwise the rate is an assumption. */
  isKnown: boolean
}

interface MergedCapacity {
  capacity: UpstreamCapacity
  validUntil: Timestamp
}

/** Learns the capacities from this gateway's requests and the reports of its peers. */
export class ServiceCapacities {
  private readonly _peers: PeerTable
  private readonly _models = new Map<string, PrefillModel>()
  private readonly _merged = new Map<string, MergedCapacity>()

  private constructor (peers: PeerTable) {
    this._peers = peers
  }

  static create (peers: PeerTable): ServiceCapacities {
    return new ServiceCapacities(peers)
  }

  /** Records the time to the first event of a request of which its upstream had to prefill so many prompt tokens. */
  recordFirstEvent (service: string, tokens: number, milliseconds: number): void {
    const model = this._models.get(service) ?? PrefillModel.create()
    this._models.set(service, model)
    model.record(tokens, milliseconds)
  }

  /** Returns the rate that this gateway has measured itself, for its reports. */
  measuredRateOf (service: string): MeasuredRate {
    return this._models.get(service)?.measured ?? mergeRates([])
  }

  capacityOf (service: string, now: Timestamp): UpstreamCapacity {
    const merged = this._merged.get(service)
    if (merged && now < merged.validUntil) return merged.capacity
    const rate = mergeRates([this.measuredRateOf(service), ...this._listPeerRates(service, now)])
    const capacity = { tokensPerMillisecond: rate.tokensPerMillisecond, isKnown: isSufficient(rate) }
    this._merged.set(service, { capacity, validUntil: now + MERGE_INTERVAL_MILLISECONDS })
    return capacity
  }

  private _listPeerRates (service: string, now: Timestamp): MeasuredRate[] {
    const totals = this._peers.currentTotals(now)
    if (totals) return listAggregatedRate(totals.others.demands.get(hashName(service)))
    return this._peers.listPresent(now)
      .map(peer => peer.report.demands.find(demand => demand.service === service))
      .filter(demand => demand !== undefined)
      .map(demand => ({ tokensPerMillisecond: demand.prefillTokensPerSecond / MILLISECONDS_PER_SECOND, samples: demand.prefillSamples }))
  }
}

/** Returns the mean rate that the other gateways have measured, if they have measured any. */
function listAggregatedRate (demand: DemandSum | undefined): MeasuredRate[] {
  if (!demand || demand.prefillSamples === 0) return []
  return [{ tokensPerMillisecond: demand.weightedPrefillRate / demand.prefillSamples / MILLISECONDS_PER_SECOND, samples: demand.prefillSamples }]
}
