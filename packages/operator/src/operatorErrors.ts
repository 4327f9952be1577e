/**
 * Errors of the operator's command line, each with the exit code of the process.
 *
 * @module
 */
import { PlumstageError } from '@plumstage/common'

/** Exit codes of `plumstage`, documented in docs/operators/command-line.md. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  notInForce: 4,
  outcomeUnknown: 5
} as const

/** The command was called with arguments that it can't use. */
export const UsageError = PlumstageError.subclass('UsageError', { props: { code: 'usage', exitCode: EXIT_CODES.usage } })

/** The records are not valid. */
export const InvalidRecordsError = PlumstageError.subclass('InvalidRecordsError', { props: { code: 'records_invalid', exitCode: EXIT_CODES.usage } })

/** Another operator has changed the same records. */
export const ConflictError = PlumstageError.subclass('ConflictError', { props: { code: 'conflict', exitCode: EXIT_CODES.conflict } })

/** The key-value service or a gateway failed or rejected the request. */
export const ServiceFailedError = PlumstageError.subclass('ServiceFailedError', { props: { code: 'service_failed', exitCode: EXIT_CODES.failed } })

/** The change was accepted, but was not in force on all live gateways within the given time. */
export const NotInForceError = PlumstageError.subclass('NotInForceError', { props: { code: 'not_in_force', exitCode: EXIT_CODES.notInForce } })

/** It is unknown whether the change took effect. */
export const OutcomeUnknownError = PlumstageError.subclass('OutcomeUnknownError', { props: { code: 'outcome_unknown', exitCode: EXIT_CODES.outcomeUnknown } })

/** Returns the exit code of the process for an error. */
export function exitCodeOf (error: unknown): number {
  const code = (error as { exitCode?: unknown } | undefined)?.exitCode
  return typeof code === 'number' ? code : EXIT_CODES.failed
}
