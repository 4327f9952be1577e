#!/usr/bin/env node
/**
 * `plumstage-timeline`: merges the event logs of all processes into one timeline.
 *
 * @module
 */
import { readFile, writeFile } from 'node:fs/promises'
import { Command, Option } from 'commander'
import { describeError } from '@plumstage/common'
import type { ActionEvent } from '@plumstage/common'
import { parseEvents } from '../eventReader.js'
import { filterEvents, mergeEvents } from '../timeline.js'
import { TIMELINE_FORMATS, formatTimeline } from '../timelineFormat.js'
import type { TimelineFormat } from '../timelineFormat.js'

const EXIT_FAILURE = 1

interface TimelineOptions {
  format: TimelineFormat
  output?: string
  request?: string
  process?: string
  kind?: string
}

async function run (files: readonly string[], options: TimelineOptions): Promise<void> {
  const events: ActionEvent[] = []
  for (const file of files) {
    const parsed = parseEvents(file, await readFile(file, 'utf8'))
    events.push(...parsed.events)
    for (const line of parsed.unreadable) process.stderr.write(`plumstage-timeline: ${line.file}:${line.line} is not a valid event and was skipped\n`)
  }
  const merged = mergeEvents(events)
  const text = formatTimeline({ events: filterEvents(merged.events, options), missing: merged.missing }, options.format)
  if (options.output === undefined) process.stdout.write(text)
  else await writeFile(options.output, text)
}

new Command('plumstage-timeline')
  .description('Merges the event logs of all processes into one timeline.')
  .argument('<files...>', 'event logs, one or more per process')
  .addOption(new Option('--format <format>', 'output format').choices([...TIMELINE_FORMATS]).default('text'))
  .option('--output <file>', 'write to a file instead of standard output')
  .option('--request <id>', 'only the events of one request')
  .option('--process <name>', 'only the events of one process')
  .option('--kind <prefix>', 'only events whose kind starts with this prefix')
  .action(run)
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`plumstage-timeline: ${describeError(error)}. Name existing event logs.\n`)
    process.exitCode = EXIT_FAILURE
  })
