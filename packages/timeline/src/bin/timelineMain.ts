#!/usr/bin/env node
/**
 * `plumstage-timeline`: merges the event logs of all processes into one timeline, or groups the requests in them by
 * their outcome.
 *
 * @module
 */
import { readFile, writeFile } from 'node:fs/promises'
import { Command, InvalidArgumentError, Option } from 'commander'
import { describeError } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { parseEvents } from '../eventReader.js'
import { formatOutcomeLines, formatOutcomeTable, groupOutcomes } from '../requestOutcomes.js'
import { filterEvents, mergeEvents } from '../timeline.js'
import type { Timeline } from '../timeline.js'
import { TIMELINE_FORMATS, formatTimeline } from '../timelineFormat.js'
import type { TimelineFormat } from '../timelineFormat.js'

const EXIT_FAILURE = 1
const DEFAULT_WINDOW_SECONDS = 10
const MILLISECONDS_PER_SECOND = 1000

interface TimelineOptions {
  format: TimelineFormat
  output?: string
  request?: string
  process?: string
  kind?: string
}

interface OutcomesOptions {
  format: 'table' | 'json'
  window: number
}

async function printTimeline (files: readonly string[], options: TimelineOptions): Promise<void> {
  const merged = await readTimeline(files)
  const text = formatTimeline({ events: filterEvents(merged.events, options), missing: merged.missing }, options.format)
  if (options.output === undefined) process.stdout.write(text)
  else await writeFile(options.output, text)
}

async function printOutcomes (files: readonly string[], options: OutcomesOptions): Promise<void> {
  const { events } = await readTimeline(files)
  const groups = groupOutcomes(events, options.window * MILLISECONDS_PER_SECOND)
  process.stdout.write(options.format === 'json' ? formatOutcomeLines(groups) : formatOutcomeTable(groups))
}

async function readTimeline (files: readonly string[]): Promise<Timeline> {
  const events: ActionEvent[] = []
  for (const file of files) {
    const parsed = parseEvents(file, await readFile(file, 'utf8'))
    events.push(...parsed.events)
    for (const line of parsed.unreadable) process.stderr.write(`plumstage-timeline: ${line.file}:${line.line} is not a valid event and was skipped\n`)
  }
  return mergeEvents(events)
}

function parseSeconds (text: string): number {
  const seconds = Number(text)
  if (!(seconds > 0)) throw new InvalidArgumentError('Give a number of seconds above 0.')
  return seconds
}

const program = new Command('plumstage-timeline')
  .description('Merges the event logs of all processes into one timeline.')
  .argument('<files...>', 'event logs, one or more per process')
  .addOption(new Option('--format <format>', 'output format').choices([...TIMELINE_FORMATS]).default('text'))
  .option('--output <file>', 'write to a file instead of standard output')
  .option('--request <id>', 'only the events of one request')
  .option('--process <name>', 'only the events of one process')
  .option('--kind <prefix>', 'only events whose kind starts with this prefix')
  .enablePositionalOptions()
  .action(printTimeline)

program.command('outcomes')
  .description('Groups the requests that ended by time, route and outcome.')
  .argument('<files...>', 'event logs, one or more per process')
  .addOption(new Option('--format <format>', 'output format').choices(['table', 'json']).default('table'))
  .option('--window <seconds>', 'length of the time windows', parseSeconds, DEFAULT_WINDOW_SECONDS)
  .action(printOutcomes)

program.parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`plumstage-timeline: ${describeError(error)}. Name existing event logs.\n`)
    process.exitCode = EXIT_FAILURE
  })
