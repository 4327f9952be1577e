/**
 * Flags and environment variables of `plumstage-entry`. All other settings come from the platform's settings file.
 *
 * @module
 */
import * as z from 'zod'
import type { Result } from 'neverthrow'
import { LOG_LEVELS, readSettings } from '@plumstage/common'
import type { LogLevel, SettingDefinition } from '@plumstage/common'

const MAXIMUM_PORT = 65_535

const OPTION_DEFINITIONS: readonly SettingDefinition[] = [
  { flag: 'log-level', value: 'level', description: `minimum severity of the messages that are logged: ${LOG_LEVELS.join(', ')}` },
  { flag: 'events', value: 'target', description: 'where events are written as JSON lines: a path, - for standard output, or none' },
  { flag: 'metrics-port', value: 'port', description: 'port for metrics on the address of the instance; 0 disables metrics' }
]

const optionsSchema = z.object({
  logLevel: z.enum(LOG_LEVELS as [LogLevel, ...LogLevel[]]).default('info'),
  events: z.string().min(1).default('-'),
  metricsPort: z.coerce.number().int().min(0).max(MAXIMUM_PORT).default(0)
})

/** Command-line options of one process. */
export type EntryOptions = z.infer<typeof optionsSchema>

/** Reads and validates the options; the error lists every invalid one. */
export function readEntryOptions (commandLine: readonly string[], environment: NodeJS.ProcessEnv): Result<EntryOptions, Error> {
  return readSettings('plumstage-entry', 'Serves callers on the users\' platform.', OPTION_DEFINITIONS, () => optionsSchema, { arguments: commandLine, environment })
}
