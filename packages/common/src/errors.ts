/**
 * Error kinds shared by the programs. Every message names what can be done about it.
 *
 * @module
 */
import ModernError from 'modern-errors'

/** Base of all errors that plumstage raises itself. */
export const PlumstageError = ModernError.subclass('PlumstageError', {
  props: { code: 'plumstage_error' }
})

/** A setting is missing, unknown or has a value that cannot be used. */
export const SettingsError = PlumstageError.subclass('SettingsError', { props: { code: 'settings_invalid' } })

/** A configuration record or file cannot be used as it is written. */
export const RecordError = PlumstageError.subclass('RecordError', { props: { code: 'record_invalid' } })

/** A call was cancelled by its owner or ran past its deadline. */
export const CallCancelledError = PlumstageError.subclass('CallCancelledError', { props: { code: 'call_cancelled' } })

/** Returns the message of anything that was thrown. */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
