/**
 * Follows the configuration in the key-value service: reads a snapshot, watches from its revision on, and starts over
 * after every failure.
 *
 * @module
 */
import { CallContext, getLogger } from '@plumstage/common'
import type { Clock, Instrumentation } from '@plumstage/common'
import type { KeySpace, KeyValueService, KeyValueWatchBatch, StorePosition } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import type { AdoptionOutcome, ConfigurationSource, ConfigurationState, StoredRecord, StoredState } from './configurationState.js'

const INITIAL_RETRY_DELAY_MILLISECONDS = 250
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2000
const WATCH_IDLE_TIMEOUT_MILLISECONDS = 15_000

/** Called when a new configuration has come into force. */
export type ConfigurationListener = (configuration: Configuration) => void

/** Condition of the key-value service; `refused` means that its state would revert the configuration in force. */
export type KeyValueServiceHealth = 'connecting' | 'following' | 'unreachable' | 'refused'

/** Keeps the configuration of a gateway up to date. */
export class ConfigurationTask {
  private readonly _service: KeyValueService
  private readonly _keySpace: KeySpace
  private readonly _clock: Clock
  private readonly _state: ConfigurationState
  private readonly _instrumentation: Instrumentation
  private readonly _listeners: ConfigurationListener[] = []
  private readonly _log = getLogger('configuration')
  private _health: KeyValueServiceHealth = 'connecting'
  private _problem: string | undefined

  private constructor (service: KeyValueService, keySpace: KeySpace, clock: Clock, state: ConfigurationState, instrumentation: Instrumentation) {
    this._service = service
    this._keySpace = keySpace
    this._clock = clock
    this._state = state
    this._instrumentation = instrumentation
  }

  static create (service: KeyValueService, keySpace: KeySpace, clock: Clock, state: ConfigurationState, instrumentation: Instrumentation): ConfigurationTask {
    return new ConfigurationTask(service, keySpace, clock, state, instrumentation)
  }

  get health (): KeyValueServiceHealth {
    return this._health
  }

  /** Describes what is wrong with the service or its state; undefined if nothing is. */
  get problem (): string | undefined {
    return this._problem
  }

  get state (): ConfigurationState {
    return this._state
  }

  addListener (listener: ConfigurationListener): void {
    this._listeners.push(listener)
  }

  /** Follows the service until the context ends. */
  async run (context: CallContext): Promise<void> {
    let delay = INITIAL_RETRY_DELAY_MILLISECONDS
    while (!context.cancelled) {
      const followed = await this._follow(context)
      delay = followed ? INITIAL_RETRY_DELAY_MILLISECONDS : Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, delay * 2)
      await context.sleepUntil(this._clock.now() + delay)
    }
  }

  /** Adopts the state that a peer has in force. */
  adoptFromPeer (revision: number, records: readonly StoredRecord[]): AdoptionOutcome {
    return this._adopt({ source: 'peer', revision, records })
  }

  /** Reads a snapshot and watches until the watch ends. Returns false if the snapshot was not read or was refused. */
  private async _follow (context: CallContext): Promise<boolean> {
    const snapshot = await this._service.list(context, this._keySpace.recordsPrefix)
    if (snapshot.isErr()) {
      this._setHealth('unreachable', snapshot.error.message)
      return false
    }
    const records = snapshot.value.entries.map(entry => ({ key: entry.key, value: entry.value, revision: entry.modRevision }))
    const outcome = this._adopt({ source: 'key-value-service', revision: snapshot.value.revision, records })
    if (outcome.kind === 'refused') return false
    this._setHealth('following', undefined)
    await this._watch(context, { era: snapshot.value.era, revision: snapshot.value.revision + 1 })
    return true
  }

  private async _watch (context: CallContext, start: StorePosition): Promise<void> {
    const watchContext = context.createChild()
    const idleTimer = WatchIdleTimer.create(this._clock, watchContext)
    for await (const batch of this._service.watch(watchContext, this._keySpace.recordsPrefix, start)) {
      idleTimer.recordActivity()
      if (batch.isErr()) {
        // The service is reachable after a compaction: the next snapshot has the changes that the watch missed.
        if (batch.error.kind !== 'compacted') this._setHealth('unreachable', batch.error.message)
        break
      }
      this._applyBatch(batch.value)
    }
    idleTimer.stop()
    watchContext.cancel('superseded')
    watchContext.finish()
  }

  private _applyBatch (batch: KeyValueWatchBatch): void {
    const records: StoredRecord[] = []
    for (const change of batch.changes) {
      if (change.kind === 'put') records.push({ key: change.entry.key, value: change.entry.value, revision: change.entry.modRevision })
      else this._log.warn(`The record ${change.key} was deleted from the key-value service without \`plumstage apply --prune\`. It stays in force; apply it again or prune it.`)
    }
    this._publishOutcome('key-value-service', this._state.applyChanges(records))
  }

  private _adopt (state: StoredState): AdoptionOutcome {
    const outcome = this._state.adoptState(state)
    this._publishOutcome(state.source, outcome)
    if (outcome.kind === 'refused' && state.source === 'key-value-service') this._setHealth('refused', `The state of the key-value service was refused: ${outcome.reason}. See docs/operators/key-value-service.md.`)
    return outcome
  }

  private _publishOutcome (source: ConfigurationSource, outcome: AdoptionOutcome): void {
    if (outcome.kind === 'refused') this._instrumentation.emit('configuration-refused', { source, reason: outcome.reason })
    if (outcome.kind !== 'adopted') return
    this._instrumentation.emit('configuration-adopted', { source, revision: outcome.configuration.revision })
    for (const record of outcome.unreadable) this._log.warn(`The record ${record.key} at revision ${record.revision} can't be read: ${record.problem}. Its last valid version stays in force; apply a corrected one.`)
    for (const listener of this._listeners) listener(outcome.configuration)
  }

  private _setHealth (health: KeyValueServiceHealth, problem: string | undefined): void {
    this._problem = problem
    if (health === this._health) return
    this._health = health
    this._instrumentation.emit('key-value-service-health', { health, problem })
    if (problem === undefined) this._log.info('Watching the key-value service for configuration changes.')
    else this._log.warn(`${problem} The configuration at revision ${this._state.revision} stays in force.`)
  }
}

/** Cancels a watch that has delivered neither changes nor progress notifications for too long. */
class WatchIdleTimer {
  private readonly _clock: Clock
  private readonly _context: CallContext
  private _deadline = 0
  private _stopped = false

  private constructor (clock: Clock, context: CallContext) {
    this._clock = clock
    this._context = context
  }

  static create (clock: Clock, context: CallContext): WatchIdleTimer {
    const timer = new WatchIdleTimer(clock, context)
    timer.recordActivity()
    timer._check()
    return timer
  }

  recordActivity (): void {
    this._deadline = this._clock.now() + WATCH_IDLE_TIMEOUT_MILLISECONDS
  }

  stop (): void {
    this._stopped = true
  }

  private _check (): void {
    if (this._stopped) return
    if (this._clock.now() >= this._deadline) return this._context.cancel('deadline')
    this._clock.schedule(this._deadline, () => this._check())
  }
}
