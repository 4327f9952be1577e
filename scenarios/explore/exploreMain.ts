/**
 * Searches for failures that no scenario names: runs random scenarios over a range of seeds and checks every promise.
 *
 * @module
 */
import { Command } from 'commander'
import { stringify } from 'yaml'
import { describeError } from '@plumstage/common'
import { INVARIANT_NAMES } from '../checker/invariantChecker.js'
import type { InvariantName } from '../checker/invariantChecker.js'
import { runScenario } from '../runner/scenarioRunner.js'
import { createRandomScenario } from './randomScenario.js'

const RANGE = /^(\d+)\.\.(\d+)$/

interface Totals {
  seeds: number
  requests: number
  complete: number
  notRun: number
  unknown: number
  lost: number
  executions: number
  violations: Map<InvariantName, number[]>
}

async function explore (range: string, print: boolean): Promise<Totals> {
  const match = RANGE.exec(range)
  if (!match) throw new Error(`--seeds ${range} is not a range; write for example 1..1000`)
  const totals: Totals = { seeds: 0, requests: 0, complete: 0, notRun: 0, unknown: 0, lost: 0, executions: 0, violations: new Map() }
  for (let seed = Number(match[1]); seed <= Number(match[2]); seed++) await exploreSeed(seed, totals, print)
  return totals
}

async function exploreSeed (seed: number, totals: Totals, print: boolean): Promise<void> {
  const scenario = createRandomScenario(seed)
  const { violations, deployment: world } = await runScenario(scenario, seed)
  totals.seeds++
  for (const call of world.history.requests) {
    totals.requests++
    if (call.outcome === 'complete') totals.complete++
    else if (call.outcome === 'not-run') totals.notRun++
    else if (call.outcome === 'unknown') totals.unknown++
    else totals.lost++
  }
  totals.executions += world.history.executions.length
  for (const violation of violations) {
    totals.violations.set(violation.invariant, [...totals.violations.get(violation.invariant) ?? [], seed])
    process.stdout.write(`seed ${seed}: ${violation.invariant}: ${violation.detail} ${violation.requestId ?? ''}\n`)
  }
  if (print) process.stdout.write(stringify(scenario))
}

function report (totals: Totals, seconds: number): void {
  process.stdout.write(`${totals.seeds} seeds in ${seconds.toFixed(1)} s: ${totals.requests} calls (${totals.complete} complete, ${totals.notRun} not-run, ${totals.unknown} unknown, ${totals.lost} cut off with their gateway), ${totals.executions} runs on upstreams\n`)
  for (const promise of INVARIANT_NAMES) process.stdout.write(`  ${promise}: ${totals.violations.get(promise)?.length ?? 0} violations\n`)
}

new Command('explore').requiredOption('--seeds <range>', 'seeds to run, for example 1..1000').option('--print', 'print the scenario of each seed')
  .action(async (flags: { seeds: string, print?: boolean }) => {
    const startedAt = performance.now()
    const totals = await explore(flags.seeds, flags.print === true)
    report(totals, (performance.now() - startedAt) / 1000)
    process.exit(totals.violations.size === 0 ? 0 : 1)
  })
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`explore: ${describeError(error)}\n`)
    process.exitCode = 2
  })
