/**
 * Detects changes of the settings file.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { Clock, Instrumentation } from '@plumstage/common'
import { readSettingsFile } from '@plumstage/platform'
import type { ServingSettings } from '@plumstage/serving'

const POLL_MILLISECONDS = 5000

/** Reads the settings file again when asked to and at a fixed interval, and reports changes. */
export class SettingsWatcher {
  private readonly _path: string
  private readonly _clock: Clock
  private readonly _instrumentation: Instrumentation
  private readonly _onChange: (settings: ServingSettings) => void
  private readonly _log = getLogger('settings')
  private _currentJson: string

  private constructor (path: string, current: ServingSettings, clock: Clock, instrumentation: Instrumentation, onChange: (settings: ServingSettings) => void) {
    this._path = path
    this._currentJson = JSON.stringify(current)
    this._clock = clock
    this._instrumentation = instrumentation
    this._onChange = onChange
  }

  /** `current` are the settings that are in use. */
  static create (path: string, current: ServingSettings, clock: Clock, instrumentation: Instrumentation, onChange: (settings: ServingSettings) => void): SettingsWatcher {
    return new SettingsWatcher(path, current, clock, instrumentation, onChange)
  }

  /** Reads the file now, since it may have changed after the current settings were read, and at a fixed interval from now on. */
  start (): void {
    this.reload()
    this._poll()
  }

  /** Keeps the current settings when the file can't be read or is invalid. */
  reload (): void {
    const settings = readSettingsFile(this._path)
    if (settings.isErr()) return this._log.warn(`The current settings stay in use. ${settings.error.message}`)
    this._applyIfChanged(settings.value)
  }

  private _poll (): void {
    this._clock.schedule(this._clock.now() + POLL_MILLISECONDS, () => {
      this.reload()
      this._poll()
    })
  }

  private _applyIfChanged (settings: ServingSettings): void {
    const json = JSON.stringify(settings)
    if (json === this._currentJson) return
    this._currentJson = json
    this._instrumentation.emit('settings-changed', { path: this._path })
    this._log.info('The settings file has changed. The new limits apply now; a new name or new addresses apply from the next start.')
    this._onChange(settings)
  }
}
