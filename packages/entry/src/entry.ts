/**
 * Connects a serving gateway to the users' platform and runs it as a process.
 *
 * @module
 */
import { BoundedEventLog, Instrumentation, LeaseClock, SeededRandom, MonotonicClock, SystemClock, createProcessIncarnation, describeError, getLogger, setLogLevel, splitAddress } from '@plumstage/common'
import { CallerAdapter, CloudAdapter, DeploymentAdapter, StoreAdapter, UpstreamAdapter, readSettingsFile, settingsPath } from '@plumstage/platform'
import { ServingGateway } from '@plumstage/serving'
import type { ServingSettings } from '@plumstage/serving'
import { readEntryOptions } from './entryOptions.js'
import type { EntryOptions } from './entryOptions.js'
import { SettingsWatcher } from './settingsWatcher.js'

const EXIT_INVALID_SETTINGS = 2
const EXIT_FAILURE = 1
const RANDOM_SEED_LIMIT = 2 ** 31

const log = getLogger('entry')

async function startGateway (options: EntryOptions, path: string, settings: ServingSettings): Promise<void> {
  const clock = MonotonicClock.create()
  const instrumentation = Instrumentation.create(settings.name, createProcessIncarnation(), SystemClock.create())
  const events = options.events === 'none' ? undefined : BoundedEventLog.create(options.events)
  if (events) instrumentation.addListener(event => events.append(event))
  const gateway = await ServingGateway.create(settings, {
    clock,
    leaseClock: LeaseClock.create(clock),
    timeOfDay: () => Date.now(),
    random: SeededRandom.create(Math.floor(Math.random() * RANDOM_SEED_LIMIT)),
    instrumentation,
    store: StoreAdapter.create(settings.addresses.store, clock),
    decoder: DeploymentAdapter.create(),
    callerProtocol: CallerAdapter.create(),
    upstreamProtocol: UpstreamAdapter.create(),
    cloud: settings.addresses.cloud === undefined ? undefined : CloudAdapter.create(settings.addresses.cloud),
    metricsAddress: options.metricsPort === 0 ? undefined : `${splitAddress(settings.peerAddress).host}:${options.metricsPort}`,
    droppedLogLines: () => events?.droppedLines ?? 0
  })
  keepRunningAfterErrors(gateway)
  SettingsWatcher.create(path, clock, instrumentation, changed => gateway.applySettings(changed)).start()
  const stop = (signal: NodeJS.Signals): void => {
    instrumentation.emit('signal-received', { signal })
    gateway.stop().catch((error: unknown) => gateway.tasks.report('stop', error)).finally(() => {
      events?.close()
      process.exit(0)
    })
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

/** The requests of all callers depend on the process, so an error that reaches no handler is reported and does not end it. */
function keepRunningAfterErrors (gateway: ServingGateway): void {
  process.on('uncaughtException', error => gateway.tasks.report('process', error))
  // A reader of the log that goes away.
  for (const output of [process.stdout, process.stderr]) output.on('error', () => {})
}

/** Runs `plumstage-entry` until it receives SIGTERM or SIGINT. */
export function runEntry (): void {
  const options = readEntryOptions(process.argv.slice(2), process.env)
  if (options.isErr()) return exitWithError(EXIT_INVALID_SETTINGS, options.error)
  setLogLevel(options.value.logLevel)
  logStartAndEnd()
  const path = settingsPath(process.env)
  const settings = readSettingsFile(path)
  if (settings.isErr()) return exitWithError(EXIT_INVALID_SETTINGS, settings.error)
  startGateway(options.value, path, settings.value).catch((error: unknown) => exitWithError(EXIT_FAILURE, error))
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
