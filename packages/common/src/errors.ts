/**
 * Error classes shared by all programs. Every message says how to fix the problem.
 *
 * @module
 */
import ModernError from 'modern-errors'

/** Base of all errors that plumstage raises itself. */
export const PlumstageError = ModernError.subclass('PlumstageError', {
  props: { code: 'plumstage_error' }
})

/** A setting is missing, unknown or invalid. */
export const SettingsError = PlumstageError.subclass('SettingsError', { props: { code: 'settings_invalid' } })

/** A configuration record or file is invalid. */
export const RecordError = PlumstageError.subclass('RecordError', { props: { code: 'record_invalid' } })

/** A call was cancelled or exceeded its deadline. */
export const CallCancelledError = PlumstageError.subclass('CallCancelledError', { props: { code: 'call_cancelled' } })

/** Returns the message of any thrown value. */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
