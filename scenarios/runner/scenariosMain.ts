/**
 * Runs scenarios by name, or all of them.
 *
 * @module
 */
import { Command } from 'commander'
import { describeError } from '@plumstage/common'
import { formatTimeline, mergeEvents } from '@plumstage/timeline'
import { listScenarios, readScenario } from './scenarioFiles.js'
import { runScenario } from './scenarioRunner.js'

const DEFAULT_SEED = 1

/** Runs one scenario and returns whether it passed; prints seed and time line when it did not. */
async function runAndReport (name: string, seed: number, verbose: boolean): Promise<boolean> {
  const scenario = readScenario(name)
  const { violations, unmetExpectations: unmet, deployment: world } = await runScenario(scenario, seed)
  const problems = [...violations.map(violation => `${violation.invariant}: ${violation.detail} ${violation.requestId ?? ''}`), ...unmet]
  const passed = problems.length === 0
  process.stdout.write(`${passed ? 'pass' : 'FAIL'} ${name} (seed ${seed}): ${scenario.proves}\n`)
  for (const problem of problems) process.stdout.write(`  ${problem}\n`)
  if (!passed || verbose) process.stdout.write(formatTimeline(mergeEvents(world.history.events), 'text'))
  return passed
}

async function run (names: string[], flags: { seed: string, verbose?: boolean }): Promise<void> {
  let failed = 0
  const chosen = names.length > 0 ? names : listScenarios()
  for (const name of chosen) if (!await runAndReport(name, Number(flags.seed), flags.verbose === true)) failed++
  process.stdout.write(`${chosen.length - failed} passed, ${failed} failed\n`)
  process.exit(failed === 0 ? 0 : 1)
}

new Command('scenarios').argument('[names...]', 'scenarios to run; all when none is named').option('--seed <number>', 'seed of all random choices', String(DEFAULT_SEED))
  .option('--verbose', 'print the time line also when the scenario passes')
  .action(run)
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`scenarios: ${describeError(error)}\n`)
    process.exitCode = 2
  })
