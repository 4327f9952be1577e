#!/usr/bin/env node
/**
 * `plumstage-timeline`: merges the event logs of all processes into one ordered time line.
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
    const read = parseEvents(file, await readFile(file, 'utf8'))
    events.push(...read.events)
    for (const line of read.unreadable) process.stderr.write(`plumstage-timeline: ${line.file}:${line.line} is not an event and was passed over\n`)
  }
  const merged = mergeEvents(events)
  const text = formatTimeline({ events: filterEvents(merged.events, options), missing: merged.missing }, options.format)
  if (options.output === undefined) process.stdout.write(text)
  else await writeFile(options.output, text)
}

new Command('plumstage-timeline')
  .description('Merges the event logs of all processes into one ordered time line.')
  .argument('<files...>', 'event logs, one or more of each process')
  .addOption(new Option('--format <format>', 'form of the output').choices([...TIMELINE_FORMATS]).default('text'))
  .option('--output <file>', 'write to a file instead of standard output')
  .option('--request <id>', 'only the events of one request')
  .option('--process <name>', 'only the events of one process')
  .option('--kind <start>', 'only events whose kind starts so')
  .action(run)
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`plumstage-timeline: ${describeError(error)}. Name existing event logs.\n`)
    process.exitCode = EXIT_FAILURE
  })
