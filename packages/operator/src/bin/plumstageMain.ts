#!/usr/bin/env node
/**
 * `plumstage`: the operators' command line.
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
operator, 4 accepted but not in force everywhere in time, 5 outcome not known.`

const program = new Command('plumstage')
  .description('Declares what a plumstage deployment serves, and shows what it does.')
  .addOption(createOption('deployment', 'name', 'name of the deployment', 'default'))
  .addOption(createOption('key-value-service', 'url', 'URL of the key-value service', 'http://127.0.0.1:2379'))
  .addOption(createOption('gateway', 'url', 'URL of the operators\' listener of any gateway', 'http://127.0.0.1:8081'))
  .addOption(createOption('operator-token', 'token', 'value of the gateway\'s --operator-token'))
  .addOption(new Option('--output <format>', 'form of the output').choices(['text', 'json']).default('text'))
  .addHelpText('after', EXAMPLES)
  .exitOverride()

function createOption (flag: string, value: string, description: string, preset?: string): Option {
  const option = new Option(`--${flag} <${value}>`, description).env(environmentVariableOf(flag))
  return preset === undefined ? option : option.default(preset)
}

function createServices (): CommandServices {
  const options = program.opts<GlobalOptions>()
  const clock = SystemClock.create()
  const keyValueService = EtcdKeyValueService.create(options.keyValueService.split(','), clock)
  return { clock, store: RecordStore.create(keyValueService, options.deployment, clock), gateway: GatewayClient.create(options.gateway, options.operatorToken ?? '') }
}

function readApplyFlags (flags: ApplyFlags): ApplyOptions {
  const waitSeconds = Number(flags.waitSeconds)
  if (!(waitSeconds > 0)) throw new UsageError(`--wait-seconds ${flags.waitSeconds} is not a positive number. Write for example 7.`)
  return { prune: flags.prune === true, wait: flags.wait === true, waitSeconds }
}

async function print (result: CommandResult): Promise<void> {
  const format = program.opts<GlobalOptions>().output
  const settled = await result
  if (settled.isErr()) return fail(settled.error, format)
  process.stdout.write((format === 'json' ? JSON.stringify(settled.value.json, undefined, 2) : settled.value.text) + '\n')
  process.exit(EXIT_CODES.done)
}

function fail (error: unknown, format: OutputFormat): void {
  if (format === 'json') process.stdout.write(JSON.stringify({ error: { code: (error as { code?: string }).code, message: describeError(error) } }, undefined, 2) + '\n')
  else process.stderr.write(`plumstage: ${describeError(error)}\n`)
  process.exit(exitCodeOf(error))
}

program.command('validate <paths...>').description('check record files').action(async (paths: string[]) => await print(commands.validate(paths)))
program.command('diff <paths...>').description('show what apply would change').option('--prune', 'count stored records that no file declares as to be removed')
  .action(async (paths: string[], flags: { prune?: boolean }) => await print(commands.diff(createServices(), paths, flags.prune === true)))
program.command('apply <paths...>').description('write the records, all or none').option('--prune', 'remove stored records that no file declares')
  .option('--wait', 'wait until the change is in force on all live gateways').option('--wait-seconds <seconds>', 'how long to wait', '7')
  .action(async (paths: string[], flags: ApplyFlags) => await print(commands.apply(createServices(), paths, readApplyFlags(flags))))
program.command('get [selector]').description('print stored records, for example Route or Route/summaries').action(async (selector?: string) => await print(commands.get(createServices(), selector)))
program.command('status').description('show gateways, upstreams and requests').action(async () => await print(commands.status(createServices())))
program.command('explain').description('show where a request would go now, and why').option('--model <model>', 'model of a completion').option('--prompt <text>', 'its prompt')
  .option('--method <method>', 'HTTP method of a plain call').option('--path <path>', 'its path')
  .action(async (flags: { model?: string, prompt?: string, method?: string, path?: string }) => await print(commands.explain(createServices(), flags)))
program.command('drain').description('keep new work away from an upstream').requiredOption('--service <name>', 'its Service').requiredOption('--upstream <address>', 'its IP number and port')
  .option('--undo', 'let it have new work again').option('--wait', 'wait until the change is in force on all live gateways').option('--wait-seconds <seconds>', 'how long to wait', '7')
  .action(async (flags: ApplyFlags & { service: string, upstream: string, undo?: boolean }) => await print(commands.drain(createServices(), flags.service, flags.upstream, flags.undo === true, readApplyFlags(flags))))
program.command('token').description('make a bearer token and the digest for a Workspace record').action(async () => await print(createTokenResult()))

async function createTokenResult (): CommandResult {
  return ok(commands.createToken())
}

program.parseAsync().catch((error: unknown) => {
  if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage)
  fail(error, program.opts<GlobalOptions>().output)
})
