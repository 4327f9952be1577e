/**
 * One run of an entry process: creates the gateway, and reacts to the signals of the process for as long as it runs.
 *
 * @module
 */
import { setImmediate, setTimeout } from 'node:timers/promises'
import { BoundedEventLog, ConnectionResets, Instrumentation, LeaseClock, SeededRandom, SystemClock, createProcessIncarnation, describeError, getLogger, isTemporaryListenError, splitAddress } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { CallerAdapter, CloudAdapter, DeploymentAdapter, StoreAdapter, UpstreamAdapter, readSettingsFile } from '@plumstage/platform'
import { ServingGateway } from '@plumstage/serving'
import type { ServingSettings } from '@plumstage/serving'
import type { EntryOptions } from './entryOptions.js'
import type { HandledSignal } from './processSignals.js'
import { SettingsWatcher } from './settingsWatcher.js'

const RANDOM_SEED_LIMIT = 2 ** 31
/** Ports that could not be opened are tried again after this time. */
const RETRY_MILLISECONDS = 250
/** A start that waits is logged at most this often. */
const LOG_INTERVAL_MILLISECONDS = 10_000

/** Options of a run. */
export interface EntryRunOptions extends EntryOptions {
  /** Path of the settings file, and the settings that were first read from it. */
  path: string
  settings: ServingSettings
  clock: Clock
}

/** Runs one gateway until the process is asked to stop. */
export class EntryRun {
  private readonly _options: EntryRunOptions
  private readonly _clock: Clock
  private readonly _events: BoundedEventLog | undefined
  private readonly _instrumentation: Instrumentation
  private readonly _log = getLogger('entry')
  private _settings: ServingSettings
  /** Undefined until the gateway serves. */
  private _gateway: ServingGateway | undefined
  private _watcher: SettingsWatcher | undefined
  private _isStopping = false

  private constructor (options: EntryRunOptions) {
    this._options = options
    this._clock = options.clock
    this._settings = options.settings
    this._events = options.events === 'none' ? undefined : BoundedEventLog.create(options.events)
    this._instrumentation = Instrumentation.create(options.settings.name, createProcessIncarnation(), SystemClock.create())
    if (this._events) this._instrumentation.addListener(event => this._events?.append(event))
  }

  static create (options: EntryRunOptions): EntryRun {
    return new EntryRun(options)
  }

  /** Creates the gateway as soon as its ports are free; rejects if it can't be created for another reason. */
  async start (): Promise<void> {
    // Signals that arrived while the program was loaded come first.
    await setImmediate()
    const gateway = await this._createWhenPossible()
    this._gateway = gateway
    this._watcher = SettingsWatcher.create(this._options.path, this._settings, this._clock, this._instrumentation, changed => gateway.applySettings(changed))
    this._watcher.start()
  }

  /** Reads the settings again or stops. A signal that arrives before the gateway serves changes what it starts with, or ends the process. */
  receive (signal: HandledSignal): void {
    this._instrumentation.emit('signal-received', { signal })
    if (signal === 'SIGHUP') this._watcher?.reload()
    else this._stop()
  }

  /** Reports an error that reaches no handler and does not end the process: the requests of all callers depend on it. */
  reportError (error: unknown): void {
    if (this._gateway) this._gateway.tasks.report('process', error)
    else this._log.error(`An error during the start reached no handler: ${describeError(error)}. Report this to the developers.`)
  }

  /** Finishes the running requests once, however often the process is asked to stop. */
  private _stop (): void {
    if (this._isStopping) return
    this._isStopping = true
    // At once: the start that is under way must open no port any more.
    if (!this._gateway) process.exit(0)
    void this._end(this._gateway)
  }

  private async _end (gateway: ServingGateway): Promise<void> {
    await gateway.stop().catch((error: unknown) => gateway.tasks.report('stop', error))
    await this._events?.close()
    process.exit(0)
  }

  /** Tries until all ports are free. The process that holds them may be the one before, which finishes its requests; to end here would not free them. */
  private async _createWhenPossible (): Promise<ServingGateway> {
    let logsAt = this._clock.now()
    for (;;) {
      try {
        return await this._createGateway()
      } catch (error) {
        if (!isTemporaryListenError(error)) throw error
        if (this._clock.now() >= logsAt) {
          logsAt = this._clock.now() + LOG_INTERVAL_MILLISECONDS
          this._logWait(error)
        }
      }
      await setTimeout(RETRY_MILLISECONDS)
      this._settings = readSettingsFile(this._options.path).unwrapOr(this._settings)
    }
  }

  private _logWait (error: unknown): void {
    this._instrumentation.emit('start-waiting', { error: describeError(error) })
    this._log.warn(`The gateway starts when it can: ${describeError(error)} If this lasts, end the process that holds the port, or change the settings file.`)
  }

  private async _createGateway (): Promise<ServingGateway> {
    const { metricsPort } = this._options
    const { addresses: { store, cloud }, storeValueBytes: maximumValueBytes, contactMilliseconds, peerAddress } = this._settings
    const connectionResets = ConnectionResets.create(this._clock)
    const random = SeededRandom.create(Math.floor(Math.random() * RANDOM_SEED_LIMIT))
    const onSilence = (call: string, silentMilliseconds: number): void => this._instrumentation.emit('store-connections-replaced', { call, silentMilliseconds: Math.round(silentMilliseconds) })
    return await ServingGateway.create(this._settings, {
      clock: this._clock,
      leaseClock: LeaseClock.create(this._clock),
      timeOfDay: () => Date.now(),
      random,
      instrumentation: this._instrumentation,
      store: StoreAdapter.create(store, this._clock, { maximumValueBytes, resets: connectionResets, contactMilliseconds, random, onSilence }),
      decoder: DeploymentAdapter.create(),
      callerProtocol: CallerAdapter.create(),
      upstreamProtocol: UpstreamAdapter.create(),
      cloud: cloud === undefined ? undefined : CloudAdapter.create(cloud, connectionResets),
      connectionResets,
      metricsAddress: metricsPort === 0 ? undefined : `${splitAddress(peerAddress).host}:${metricsPort}`,
      droppedLogLines: () => this._events?.droppedLines ?? 0
    })
  }
}
