/**
 * Keeps reports within what a datagram holds. Each list of a report has a fair share of the bytes; a list that needs more is cut
 * to what is needed most. What the recipient adds to what it knows takes turns, so that the rest follows with the next reports.
 *
 * @module
 */
import { countRows, fitAggregate } from '../aggregation/aggregateFitter.js'
import type { AggregationStep } from '../aggregation/aggregationStep.js'
import { shareBytes, takeFirst } from './byteShares.js'
import { estimateEncodedBytes } from './encodedSize.js'
import { encodeReport } from './gatewayReport.js'
import type { GatewayReport, RelayedReports, ReportedLoad } from './gatewayReport.js'
import { RotatingSelection } from './rotatingSelection.js'

/** Longest report; a datagram holds 65,507 bytes. */
export const MAXIMUM_REPORT_BYTES = 60_000

/** Bytes for the sums of an aggregation step, so that the rest of its report has room. */
const MAXIMUM_AGGREGATE_BYTES = 48_000
/** Lists that the recipient adds to what it knows. */
const MERGED_LISTS = ['suspicions', 'partSuspicions', 'limits', 'uses', 'windows', 'knownAddresses'] as const
/** Lists that replace those of the report before. */
const REPLACED_LISTS = ['demands', 'answers', 'loads'] as const

type ListName = typeof MERGED_LISTS[number] | typeof REPLACED_LISTS[number]
type ListItem = NonNullable<GatewayReport[ListName]>[number]

/** A report as a datagram. */
export interface FittedReport {
  bytes: Uint8Array
  /** Number of items that did not fit. */
  leftOut: number
}

/** Encodes the reports of one gateway. */
export class ReportFitter {
  private readonly _selections = new Map<ListName, RotatingSelection<ListItem>>()

  static create (): ReportFitter {
    return new ReportFitter()
  }

  /** Encodes a report, without what does not fit. */
  encode (report: GatewayReport): FittedReport {
    const bytes = encodeReport(report)
    if (bytes.length <= MAXIMUM_REPORT_BYTES) return { bytes, leftOut: 0 }
    const fitted = this._fit(report)
    return { bytes: encodeReport(fitted), leftOut: countItems(report) - countItems(fitted) }
  }

  private _fit (report: GatewayReport): GatewayReport {
    const empty = withoutLists({ ...report, aggregation: report.aggregation && fitStep(report.aggregation) })
    const emptyBytes = encodeReport(empty).length
    const sizes = new Map<ListName | 'relayed', number>()
    for (const name of [...MERGED_LISTS, ...REPLACED_LISTS, 'relayed'] as const) sizes.set(name, estimateEncodedBytes(report[name]))
    const shares = shareBytes(sizes, MAXIMUM_REPORT_BYTES - emptyBytes)
    const fitted: GatewayReport = { ...empty }
    for (const name of MERGED_LISTS) Object.assign(fitted, { [name]: this._selectionOf(name).select(report[name], shares.get(name)!, report.sequence) })
    for (const name of REPLACED_LISTS) Object.assign(fitted, { [name]: takeFirst(sortByNeed(name, report[name] ?? []), estimateEncodedBytes, shares.get(name)!) })
    fitted.relayed = report.relayed && fitRelayed(report.relayed, shares.get('relayed')!)
    return fitted
  }

  private _selectionOf (name: ListName): RotatingSelection<ListItem> {
    const selection = this._selections.get(name) ?? RotatingSelection.create<ListItem>(estimateEncodedBytes)
    this._selections.set(name, selection)
    return selection
  }
}

function withoutLists (report: GatewayReport): GatewayReport {
  return { ...report, loads: [], uses: [], windows: [], suspicions: [], partSuspicions: [], demands: [], knownAddresses: [], limits: [], answers: [], relayed: undefined }
}

function sortByNeed (name: typeof REPLACED_LISTS[number], items: readonly ListItem[]): ListItem[] {
  if (name !== 'loads') return [...items]
  return [...items as ReportedLoad[]].sort((left, right) => right.requests - left.requests)
}

function fitRelayed ({ gateways, loads, uses }: RelayedReports, maximumBytes: number): RelayedReports {
  const usesTaken = takeFirst(uses, estimateEncodedBytes, maximumBytes / 2)
  const byRequests = [...loads].sort((left, right) => right.requests - left.requests)
  return { gateways, uses: usesTaken, loads: takeFirst(byRequests, estimateEncodedBytes, maximumBytes - estimateEncodedBytes({ gateways, uses: usesTaken })) }
}

function fitStep (step: AggregationStep): AggregationStep {
  if (step.kind !== 'partial' && step.kind !== 'total') return step
  return { ...step, aggregate: fitAggregate(step.aggregate, MAXIMUM_AGGREGATE_BYTES) }
}

function countItems (report: GatewayReport): number {
  const { aggregation } = report
  const rows = aggregation?.kind === 'partial' || aggregation?.kind === 'total' ? countRows(aggregation.aggregate) : 0
  const lists = [...MERGED_LISTS, ...REPLACED_LISTS].map(name => report[name]?.length ?? 0)
  return lists.reduce((sum, length) => sum + length, rows) + (report.relayed?.loads.length ?? 0) + (report.relayed?.uses.length ?? 0)
}
