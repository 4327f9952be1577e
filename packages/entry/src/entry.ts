/**
 * Connects a serving gateway to the users' platform and runs it as a process.
 *
 * @module
 */
import { MonotonicClock, describeError, getLogger, setLogLevel } from '@plumstage/common'
import { settingsPath } from '@plumstage/platform'
import { readEntryOptions } from './entryOptions.js'
import type { EntryOptions } from './entryOptions.js'
import { EntryRun } from './entryRun.js'
import type { HandledSignal, ProcessSignals } from './processSignals.js'
import { readSettingsWhenWritten } from './settingsReader.js'

const EXIT_INVALID_SETTINGS = 2
const EXIT_FAILURE = 1

const log = getLogger('entry')

/** Runs `plumstage-entry` until it receives SIGTERM or SIGINT, also one that arrived before this call. */
export function runEntry (signals: ProcessSignals): void {
  ignoreOutputErrors()
  const options = readEntryOptions(process.argv.slice(2), process.env)
  if (options.isErr()) return exitWithError(EXIT_INVALID_SETTINGS, options.error)
  setLogLevel(options.value.logLevel)
  logStartAndEnd()
  startRun(options.value, signals).catch((error: unknown) => exitWithError(EXIT_FAILURE, error))
}

async function startRun (options: EntryOptions, signals: ProcessSignals): Promise<void> {
  signals.handle(endUnlessReload)
  const path = settingsPath(process.env)
  const clock = MonotonicClock.create()
  const settings = await readSettingsWhenWritten(path, clock)
  if (settings.isErr()) return exitWithError(EXIT_INVALID_SETTINGS, settings.error)
  const run = EntryRun.create({ ...options, path, settings: settings.value, clock })
  signals.handle(signal => run.receive(signal))
  process.on('uncaughtException', error => run.reportError(error))
  await run.start()
}

/** Reacts to a signal while the settings are read: nothing has to be finished, and changed settings are about to be read. */
function endUnlessReload (signal: HandledSignal): void {
  if (signal !== 'SIGHUP') process.exit(0)
}

/** A reader of the log that goes away ends no process. */
function ignoreOutputErrors (): void {
  for (const output of [process.stdout, process.stderr]) output.on('error', () => {})
}

/** Without the second line, a process was ended from outside: by a signal that it does not handle, or for its memory. */
function logStartAndEnd (): void {
  log.info(`Process ${process.pid} starts.`)
  process.once('exit', status => log.info(`Process ${process.pid} ends with status ${status}.`))
}

function exitWithError (status: number, error: unknown): void {
  log.error(describeError(error))
  process.exit(status)
}
