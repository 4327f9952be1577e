/**
 * Measures the work that callers ask of each service.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'

const SLICE_MILLISECONDS = 500
const SLICES = 8
const MILLISECONDS_PER_SECOND = 1000
/** When requests have only just begun, their rate is taken over at least this time. */
const SHORTEST_SPAN_SECONDS = 1

/** Work for each second. */
export interface Demand {
  promptTokensPerSecond: number
  outputTokensPerSecond: number
}

interface Slice {
  startsAt: Timestamp
  promptTokens: number
  outputTokens: number
}

/** Averages over a sliding window of a few seconds. */
export class DemandMeter {
  private readonly _slices = new Map<string, Slice[]>()

  static create (): DemandMeter {
    return new DemandMeter()
  }

  record (service: string, promptTokens: number, outputTokens: number, now: Timestamp): void {
    const slices = this._slices.get(service) ?? []
    this._slices.set(service, slices)
    let last = slices.at(-1)
    if (!last || now >= last.startsAt + SLICE_MILLISECONDS) {
      last = { startsAt: now, promptTokens: 0, outputTokens: 0 }
      slices.push(last)
      if (slices.length > SLICES) slices.shift()
    }
    last.promptTokens += promptTokens
    last.outputTokens += outputTokens
  }

  /** Returns the services that were asked for lately, with their demand. */
  list (now: Timestamp): Array<Demand & { service: string }> {
    return [...this._slices.keys()].map(service => ({ service, ...this.demandOf(service, now) }))
  }

  demandOf (service: string, now: Timestamp): Demand {
    const since = now - SLICES * SLICE_MILLISECONDS
    const recent = (this._slices.get(service) ?? []).filter(slice => slice.startsAt >= since)
    const seconds = Math.max(SHORTEST_SPAN_SECONDS, (now - (recent.at(0)?.startsAt ?? now)) / MILLISECONDS_PER_SECOND)
    return {
      promptTokensPerSecond: Math.round(recent.reduce((sum, slice) => sum + slice.promptTokens, 0) / seconds),
      outputTokensPerSecond: Math.round(recent.reduce((sum, slice) => sum + slice.outputTokens, 0) / seconds)
    }
  }
}
