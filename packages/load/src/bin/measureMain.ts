#!/usr/bin/env node
/**
 * Measures plumstage on one machine, with processes that it starts and stops itself.
 *
 * @module
 */
import { Command } from 'commander'
import { describeError } from '@plumstage/common'
import { measureControlSlopes, summarizeSlopes } from '../measurements/controlSlopes.js'
import { measureOverhead, writeOverheadReport } from '../measurements/overhead.js'
import { summarizeOverhead } from '../measurements/overheadSummary.js'

interface OverheadFlags {
  seconds: string
  rounds: string
  output?: string
}

const program = new Command('measure').description('Measures plumstage on this machine.')
program.command('overhead').description('compare the gateway with direct requests, a raw relay and a minimal pass-through proxy')
  .option('--seconds <number>', 'duration of one round', '5').option('--rounds <number>', 'rounds per load and target', '5').option('--output <file>', 'write all rows to this file as JSON')
  .action(async (flags: OverheadFlags) => {
    const rows = await measureOverhead({ seconds: Number(flags.seconds), rounds: Number(flags.rounds) })
    process.stdout.write(summarizeOverhead(rows) + '\n')
    if (flags.output !== undefined) await writeOverheadReport(flags.output, rows)
  })

program.command('slopes').description('measure the cost of control traffic per peer, upstream and configuration change').option('--seconds <number>', 'duration of each measured point', '8')
  .action(async (flags: { seconds: string }) => {
    const points = await measureControlSlopes(Number(flags.seconds), line => process.stderr.write(line + '\n'))
    process.stdout.write(summarizeSlopes(points) + '\n')
  })

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`measure: ${describeError(error)}\n`)
  process.exitCode = 1
})
