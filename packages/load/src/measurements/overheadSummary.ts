/**
 * Summary of the overhead measurement: medians over all rounds, and ratios of the gateway to the pass-through proxy.
 *
 * @module
 */
import type { OverheadRow } from './overhead.js'

type Metric = 'requestsPerSecond' | 'medianMilliseconds' | 'p99Milliseconds' | 'processorMicrosecondsPerRequest' | 'processorMicrosecondsPerEvent' | 'memoryMegabytes'

const METRICS: readonly Metric[] = ['requestsPerSecond', 'medianMilliseconds', 'p99Milliseconds', 'processorMicrosecondsPerRequest', 'processorMicrosecondsPerEvent', 'memoryMegabytes']

/** Returns a Markdown table of the medians and of the ratios of the gateway to the pass-through proxy. */
export function summarizeOverhead (rows: readonly OverheadRow[]): string {
  const lines = ['| load | target | requests/s | median ms | p99 ms | µs CPU/request | µs CPU/event | MB | failures |', '|---|---|---|---|---|---|---|---|---|']
  for (const load of unique(rows.map(row => row.load))) {
    const loadRows = rows.filter(row => row.load === load)
    for (const target of unique(loadRows.map(row => row.target))) lines.push(formatTarget(load, target, loadRows.filter(row => row.target === target)))
    lines.push(formatRatios(load, loadRows))
  }
  return lines.join('\n')
}

function formatTarget (load: string, target: string, rows: readonly OverheadRow[]): string {
  const failures = rows.reduce((sum, row) => sum + row.failures, 0)
  return `| ${load} | ${target} | ${METRICS.map(metric => medianOf(rows, metric).toFixed(metric === 'requestsPerSecond' ? 0 : 2)).join(' | ')} | ${failures} |`
}

/** Median, minimum and maximum of the ratios of the gateway to the pass-through proxy, both in the same round. */
function formatRatios (load: string, rows: readonly OverheadRow[]): string {
  const gateway = rows.filter(row => row.target === 'gateway')
  const baseline = rows.filter(row => row.target === 'pass-through')
  const cells = METRICS.map(metric => {
    const ratios = gateway.map((row, round) => row[metric] / baseline[round][metric]).sort((left, right) => left - right)
    const median = ratios[Math.floor(ratios.length / 2)]
    return Number.isFinite(median) ? `${median.toFixed(2)} (${ratios[0].toFixed(2)}–${ratios[ratios.length - 1].toFixed(2)})` : ''
  })
  return `| ${load} | gateway / pass-through | ${cells.join(' | ')} | |`
}

function medianOf (rows: readonly OverheadRow[], metric: Metric): number {
  const values = rows.map(row => row[metric]).sort((left, right) => left - right)
  return values[Math.floor(values.length / 2)]
}

function unique (values: readonly string[]): string[] {
  return [...new Set(values)]
}
