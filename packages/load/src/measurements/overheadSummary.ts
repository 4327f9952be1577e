/**
 * Summary of the overhead measurement: medians over the rounds and ratios to the pass-through.
 *
 * @module
 */
import type { OverheadRow } from './overhead.js'

type Metric = 'requestsPerSecond' | 'medianMilliseconds' | 'p99Milliseconds' | 'processorMicrosecondsPerRequest' | 'processorMicrosecondsPerEvent' | 'memoryMegabytes'

const METRICS: readonly Metric[] = ['requestsPerSecond', 'medianMilliseconds', 'p99Milliseconds', 'processorMicrosecondsPerRequest', 'processorMicrosecondsPerEvent', 'memoryMegabytes']

/** Returns a Markdown table of the medians, with the gateway's ratios to the pass-through. */
export function summarizeOverhead (rows: readonly OverheadRow[]): string {
  const lines = ['| load | target | requests/s | median ms | p99 ms | µs CPU/request | µs CPU/event | MB | failures |', '|---|---|---|---|---|---|---|---|---|']
  for (const load of unique(rows.map(row => row.load))) {
    const ofLoad = rows.filter(row => row.load === load)
    for (const target of unique(ofLoad.map(row => row.target))) lines.push(formatTarget(load, target, ofLoad.filter(row => row.target === target)))
    lines.push(formatRatios(load, ofLoad))
  }
  return lines.join('\n')
}

function formatTarget (load: string, target: string, rows: readonly OverheadRow[]): string {
  const failures = rows.reduce((sum, row) => sum + row.failures, 0)
  return `| ${load} | ${target} | ${METRICS.map(figure => medianOf(rows, figure).toFixed(figure === 'requestsPerSecond' ? 0 : 2)).join(' | ')} | ${failures} |`
}

/** Ratios of the gateway to the pass-through, pair by pair of the same round. */
function formatRatios (load: string, rows: readonly OverheadRow[]): string {
  const gateway = rows.filter(row => row.target === 'gateway')
  const baseline = rows.filter(row => row.target === 'pass-through')
  const ratios = METRICS.map(figure => {
    const pairs = gateway.map((row, round) => row[figure] / baseline[round][figure]).sort((left, right) => left - right)
    const middle = pairs[Math.floor(pairs.length / 2)]
    return Number.isFinite(middle) ? `${middle.toFixed(2)} (${pairs[0].toFixed(2)}–${pairs[pairs.length - 1].toFixed(2)})` : ''
  })
  return `| ${load} | gateway / pass-through | ${ratios.join(' | ')} | |`
}

function medianOf (rows: readonly OverheadRow[], figure: Metric): number {
  const values = rows.map(row => row[figure]).sort((left, right) => left - right)
  return values[Math.floor(values.length / 2)]
}

function unique (values: readonly string[]): string[] {
  return [...new Set(values)]
}
