#!/usr/bin/env node
/**
 * Measurements of plumstage on one machine, with processes that it starts and ends itself.
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
program.command('overhead').description('the gateway against a bare pass-through and direct calls')
  .option('--seconds <number>', 'length of one round', '5').option('--rounds <number>', 'rounds of each load and target', '5').option('--output <file>', 'write all rows as JSON')
  .action(async (flags: OverheadFlags) => {
    const rows = await measureOverhead({ seconds: Number(flags.seconds), rounds: Number(flags.rounds) })
    process.stdout.write(summarizeOverhead(rows) + '\n')
    if (flags.output !== undefined) await writeOverheadReport(flags.output, rows)
  })

program.command('slopes').description('what control costs a gateway against peers, upstreams and changes').option('--seconds <number>', 'length of each setting', '8')
  .action(async (flags: { seconds: string }) => {
    const points = await measureControlSlopes(Number(flags.seconds), line => process.stderr.write(line + '\n'))
    process.stdout.write(summarizeSlopes(points) + '\n')
  })

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`measure: ${describeError(error)}\n`)
  process.exitCode = 1
})
