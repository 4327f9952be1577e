/**
 * Settings from flags and environment variables, checked as a whole.
 *
 * @module
 */
import { Command, Option } from 'commander'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { SettingsError } from './errors.js'

/** One setting of a program. Its environment variable is derived from its flag. */
export interface SettingDefinition {
  /** Long flag without dashes, for example `key-value-service`. */
  flag: string
  /** Placeholder of the value in the help; a setting without one is a switch. */
  value?: string
  description: string
  /** Whether the flag can be given several times; the environment variable separates values by commas. */
  repeatable?: boolean
}

/** Where a program's settings come from. */
export interface SettingsSource {
  arguments: readonly string[]
  environment: NodeJS.ProcessEnv
}

/** Returns the environment variable of a flag, for example `PLUMSTAGE_KEY_VALUE_SERVICE`. */
export function environmentVariableOf (flag: string): string {
  return 'PLUMSTAGE_' + flag.toUpperCase().replaceAll('-', '_')
}

/**
 * Reads and checks the settings of a program. The schema may depend on what was given, for settings that are required
 * only beside others.
 *
 * @returns the checked settings, or one error that lists every mistake.
 */
export function readSettings<Schema extends z.ZodType> (
  program: string,
  description: string,
  definitions: readonly SettingDefinition[],
  createSchema: (given: Readonly<Record<string, unknown>>) => Schema,
  source: SettingsSource
): Result<z.infer<Schema>, Error> {
  const command = createCommand(program, description, definitions, source.environment)
  command.parse([...source.arguments], { from: 'user' })
  const given = command.opts()
  const checked = createSchema(given).safeParse(given)
  if (checked.success) return ok(checked.data)
  const mistakes = checked.error.issues.map(issue => describeIssue(definitions, issue))
  return err(new SettingsError(`${program} cannot start with these settings:\n${mistakes.join('\n')}`))
}

function createCommand (program: string, description: string, definitions: readonly SettingDefinition[], environment: NodeJS.ProcessEnv): Command {
  const command = new Command(program).description(description).allowExcessArguments(false)
  for (const definition of definitions) command.addOption(createOption(definition, environment))
  return command
}

function createOption (definition: SettingDefinition, environment: NodeJS.ProcessEnv): Option {
  const variable = environmentVariableOf(definition.flag)
  const placeholder = definition.value ? ` <${definition.value}>` : ''
  const option = new Option(`--${definition.flag}${placeholder}`, `${definition.description} (env: ${variable})`)
  if (definition.repeatable) option.argParser((value: string, previous: string[] | undefined) => [...(previous ?? []), value])
  const preset = environment[variable]
  if (preset === undefined) return option
  if (definition.repeatable) return option.default(preset.split(',').filter(part => part !== ''))
  return option.default(definition.value ? preset : preset === 'true')
}

function describeIssue (definitions: readonly SettingDefinition[], issue: z.core.$ZodIssue): string {
  const name = String(issue.path[0] ?? '')
  const flag = name.replaceAll(/[A-Z]/g, letter => '-' + letter.toLowerCase())
  const definition = definitions.find(candidate => candidate.flag === flag)
  if (!definition) return `  - ${issue.message}`
  return `  - --${flag}: ${issue.message}. Set the flag or ${environmentVariableOf(flag)}: ${definition.description}.`
}
