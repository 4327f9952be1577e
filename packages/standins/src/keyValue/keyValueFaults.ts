/**
 * Fault injection and rate limits of the key-value stand-in.
 *
 * @module
 */
import { Code, ConnectError } from '@connectrpc/connect'
import * as z from 'zod'
import type { Clock } from '@plumstage/common'

const RATE_WINDOW_MILLISECONDS = 1000

/** Faults that the stand-in injects, and its rate limits. */
export const keyValueFaultsSchema = z.strictObject({
  /** Rejects every request and ends every watch. */
  down: z.boolean().default(false),
  /** Delays every request by this long before it is executed. */
  delayMilliseconds: z.int().min(0).default(0),
  /** Executes this many further transactions, but responds with an error as if the response were lost. */
  loseAnswers: z.int().min(0).default(0),
  /** Writes executed per second; further ones are rejected. */
  writesPerSecond: z.int().min(1).default(500),
  /** Reads executed per second; further ones are rejected. */
  readsPerSecond: z.int().min(1).default(2000)
})

export type KeyValueFaultSettings = z.infer<typeof keyValueFaultsSchema>

/** Counters of the requests that the platform would charge for. */
export interface KeyValueRequestCounts {
  reads: number
  writes: number
  /** Watches that are open now. */
  watches: number
  refused: number
}

/** Applies the fault settings and rate limits to requests. */
export class KeyValueFaults {
  readonly counts: KeyValueRequestCounts = { reads: 0, writes: 0, watches: 0, refused: 0 }
  private readonly _clock: Clock
  private _settings: KeyValueFaultSettings = keyValueFaultsSchema.parse({})
  private _windowEnd = 0
  private _windowReads = 0
  private _windowWrites = 0
  private readonly _downListeners = new Set<() => void>()

  private constructor (clock: Clock) {
    this._clock = clock
  }

  static create (clock: Clock): KeyValueFaults {
    return new KeyValueFaults(clock)
  }

  get settings (): KeyValueFaultSettings {
    return this._settings
  }

  /** Changes the given settings and keeps the others. */
  change (settings: Partial<KeyValueFaultSettings>): void {
    this._settings = keyValueFaultsSchema.parse({ ...this._settings, ...settings })
    if (this._settings.down) for (const listener of this._downListeners) listener()
  }

  /** Adds a listener for the service going down; returns a function that removes it. */
  onDown (listener: () => void): () => void {
    this._downListeners.add(listener)
    return () => this._downListeners.delete(listener)
  }

  /** Counts a request and rejects or delays it according to the settings. */
  async admit (effect: 'read' | 'write'): Promise<void> {
    this._rejectWhenDown()
    this._enforceRateLimit(effect)
    if (this._settings.delayMilliseconds > 0) await this._delay()
    this._rejectWhenDown()
  }

  /** Whether to drop the response to a write that took effect. Each positive result uses up one of `loseAnswers`. */
  consumeLostResponse (): boolean {
    if (this._settings.loseAnswers === 0) return false
    this._settings = { ...this._settings, loseAnswers: this._settings.loseAnswers - 1 }
    return true
  }

  private _rejectWhenDown (): void {
    if (!this._settings.down) return
    this.counts.refused++
    throw new ConnectError('the service is down', Code.Unavailable)
  }

  private _enforceRateLimit (effect: 'read' | 'write'): void {
    const now = this._clock.now()
    if (now >= this._windowEnd) {
      this._windowEnd = now + RATE_WINDOW_MILLISECONDS
      this._windowReads = 0
      this._windowWrites = 0
    }
    const used = effect === 'read' ? ++this._windowReads : ++this._windowWrites
    const limit = effect === 'read' ? this._settings.readsPerSecond : this._settings.writesPerSecond
    if (used > limit) {
      this.counts.refused++
      throw new ConnectError('the rate limit of the service was exceeded', Code.ResourceExhausted)
    }
    if (effect === 'read') this.counts.reads++
    else this.counts.writes++
  }

  private async _delay (): Promise<void> {
    const deadline = this._clock.now() + this._settings.delayMilliseconds
    await new Promise<void>(resolve => this._clock.schedule(deadline, resolve))
  }
}
