#!/usr/bin/env node
/**
 * `plumstage`: the command-line interface for operators.
 *
 * @module
 */
import { Command, CommanderError, Option } from 'commander'
import { ok } from 'neverthrow'
import { SystemClock, describeError, environmentVariableOf } from '@plumstage/common'
import { EtcdKeyValueService } from '@plumstage/coordination'
import * as commands from '../commands/operatorCommands.js'
import type { ApplyOptions, CommandResult, CommandServices } from '../commands/operatorCommands.js'
import { GatewayClient } from '../gatewayClient.js'
import { EXIT_CODES, UsageError, exitCodeOf } from '../operatorErrors.js'
import type { OutputFormat } from '../output.js'
import { RecordStore } from '../recordStore.js'

interface GlobalOptions {
  deployment: string
  keyValueService: string
  gateway: string
  operatorToken?: string
  output: OutputFormat
}

interface ApplyFlags {
  prune?: boolean
  wait?: boolean
  waitSeconds: string
}

const EXAMPLES = `
Examples:
  plumstage validate records/
  plumstage diff records/
  plumstage apply records/ --wait
  plumstage get Route/summaries > summaries.yaml
  plumstage explain --model quetzal-8b --prompt 'Summarise the minutes.'
  plumstage drain --service model --upstream 10.0.0.7:9000 --wait

Exit codes: 0 done, 1 failed, 2 usage or invalid records, 3 conflict with another
operator, 4 accepted but not in force everywhere in time, 5 outcome unknown.`

const program = new Command('plumstage')
  .description('Configures a plumstage deployment and shows its state.')
  .addOption(createOption('deployment', 'name', 'name of the deployment', 'default'))
  .addOption(createOption('key-value-service', 'url', 'URL of the key-value service', 'http://127.0.0.1:2379'))
  .addOption(createOption('gateway', 'url', 'URL of the operator listener of any gateway', 'http://127.0.0.1:8081'))
  .addOption(createOption('operator-token', 'token', 'the gateway\'s --operator-token'))
  .addOption(new Option('--output <format>', 'output format').choices(['text', 'json']).default('text'))
  .addHelpText('after', EXAMPLES)
  .exitOverride()

function createOption (flag: string, value: string, description: string, defaultValue?: string): Option {
  const option = new Option(`--${flag} <${value}>`, description).env(environmentVariableOf(flag))
  return defaultValue === undefined ? option : option.default(defaultValue)
}

function createServices (): CommandServices {
  const options = program.opts<GlobalOptions>()
  const clock = SystemClock.create()
  const keyValueService = EtcdKeyValueService.create(options.keyValueService.split(','), clock)
  return { clock, store: RecordStore.create(keyValueService, options.deployment, clock), gateway: GatewayClient.create(options.gateway, options.operatorToken ?? '') }
}

function readApplyFlags (flags: ApplyFlags): ApplyOptions {
  const waitSeconds = Number(flags.waitSeconds)
  if (!(waitSeconds > 0)) throw new UsageError(`--wait-seconds ${flags.waitSeconds} is not a positive number. Use a number such as 7.`)
  return { prune: flags.prune === true, wait: flags.wait === true, waitSeconds }
}

async function print (result: CommandResult): Promise<void> {
  const format = program.opts<GlobalOptions>().output
  const outcome = await result
  if (outcome.isErr()) return fail(outcome.error, format)
  process.stdout.write((format === 'json' ? JSON.stringify(outcome.value.json, undefined, 2) : outcome.value.text) + '\n')
  process.exit(EXIT_CODES.done)
}

function fail (error: unknown, format: OutputFormat): void {
  if (format === 'json') process.stdout.write(JSON.stringify({ error: { code: (error as { code?: string }).code, message: describeError(error) } }, undefined, 2) + '\n')
  else process.stderr.write(`plumstage: ${describeError(error)}\n`)
  process.exit(exitCodeOf(error))
}

program.command('validate <paths...>').description('validate record files').action(async (paths: string[]) => await print(commands.validate(paths)))
program.command('diff <paths...>').description('show what apply would change').option('--prune', 'include the removal of stored records that no file declares')
  .action(async (paths: string[], flags: { prune?: boolean }) => await print(commands.diff(createServices(), paths, flags.prune === true)))
program.command('apply <paths...>').description('write the records in one transaction').option('--prune', 'remove stored records that no file declares')
  .option('--wait', 'wait until the change is in force on all live gateways').option('--wait-seconds <seconds>', 'how long to wait', '7')
  .action(async (paths: string[], flags: ApplyFlags) => await print(commands.apply(createServices(), paths, readApplyFlags(flags))))
program.command('get [selector]').description('print stored records, for example Route or Route/summaries').action(async (selector?: string) => await print(commands.get(createServices(), selector)))
program.command('status').description('show gateways, upstreams and requests').action(async () => await print(commands.status(createServices())))
program.command('explain').description('show where a request would go now, and why').option('--model <model>', 'model of a completion request').option('--prompt <text>', 'prompt of the completion request')
  .option('--method <method>', 'HTTP method of a plain request').option('--path <path>', 'path of the plain request')
  .action(async (flags: { model?: string, prompt?: string, method?: string, path?: string }) => await print(commands.explain(createServices(), flags)))
program.command('drain').description('stop sending new requests to an upstream').requiredOption('--service <name>', 'Service of the upstream').requiredOption('--upstream <address>', 'IP address and port of the upstream')
  .option('--undo', 'send new requests to the upstream again').option('--wait', 'wait until the change is in force on all live gateways').option('--wait-seconds <seconds>', 'how long to wait', '7')
  .action(async (flags: ApplyFlags & { service: string, upstream: string, undo?: boolean }) => await print(commands.drain(createServices(), flags.service, flags.upstream, flags.undo === true, readApplyFlags(flags))))
program.command('token').description('create a bearer token and its digest for a Workspace record').action(async () => await print(createTokenResult()))

async function createTokenResult (): CommandResult {
  return ok(commands.createToken())
}

program.parseAsync().catch((error: unknown) => {
  if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage)
  fail(error, program.opts<GlobalOptions>().output)
})
