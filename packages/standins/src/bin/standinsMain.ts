#!/usr/bin/env node
/**
 * `plumstage-standins`: runs one stand-in as a process of its own.
 *
 * @module
 */
import { Command } from 'commander'
import { Hono } from 'hono'
import { createAdaptorServer } from '@hono/node-server'
import type { Server } from 'node:http'
import { Listener, SystemClock, describeError, getLogger, setLogLevel } from '@plumstage/common'
import { DEFAULT_ENGINE_OPTIONS, EngineStandin } from '../engine/engineStandin.js'
import { InstanceListStandin } from '../instances/instanceListStandin.js'
import { keyValueFaultsSchema } from '../keyValue/keyValueFaults.js'
import { KeyValueStandin } from '../keyValue/keyValueStandin.js'
import { ExecutionLog } from '../executionLog.js'
import { PlainServiceStandin } from '../plain/plainServiceStandin.js'

const clock = SystemClock.create()
const log = getLogger('standins')

interface ListenOptions {
  listen: string
}

interface KeyValueOptions extends ListenOptions {
  controlListen?: string
}

interface EngineCommandOptions extends ListenOptions {
  model: string
  stepMilliseconds: string
  maximumRunning: string
  prefillTokensPerSecond: string
  runLog?: string
}

interface PlainCommandOptions extends ListenOptions {
  runLog?: string
}

async function runKeyValue (options: KeyValueOptions): Promise<void> {
  const standin = await KeyValueStandin.create(clock, options.listen)
  log.info(`The key-value service listens on ${standin.address}.`)
  if (!options.controlListen) return
  const routes = new Hono()
  routes.get('/standin/counts', context => context.json(standin.faults.counts))
  routes.post('/standin/faults', async context => {
    standin.faults.change(keyValueFaultsSchema.partial().parse(await context.req.json()))
    return context.json(standin.faults.settings)
  })
  routes.post('/standin/compact', context => {
    standin.store.compact(standin.store.revision)
    return context.json({ compactedRevision: standin.store.compactedRevision })
  })
  const control = await Listener.create(createAdaptorServer({ fetch: routes.fetch }) as Server, options.controlListen)
  log.info(`The control interface of the key-value service listens on ${control.address}.`)
}

async function runEngine (options: EngineCommandOptions): Promise<void> {
  const engine = await EngineStandin.create(clock, options.listen, {
    models: options.model.split(','),
    stepMilliseconds: Number(options.stepMilliseconds),
    maximumRunning: Number(options.maximumRunning),
    prefillTokensPerSecond: Number(options.prefillTokensPerSecond),
    executionLog: createExecutionLog(options.runLog)
  }, () => process.exit(1))
  log.info(`The engine listens on ${engine.address}.`)
}

function createExecutionLog (file: string | undefined): ExecutionLog | undefined {
  return file === undefined ? undefined : ExecutionLog.create(file)
}

async function runPlain (options: PlainCommandOptions): Promise<void> {
  const service = await PlainServiceStandin.create(clock, options.listen, createExecutionLog(options.runLog))
  log.info(`The plain service listens on ${service.address}.`)
}

async function runInstanceList (options: ListenOptions): Promise<void> {
  const list = await InstanceListStandin.create(clock, options.listen)
  log.info(`The instance list listens on ${list.url}.`)
}

const LISTEN_OPTION = '--listen <address>'
const LISTEN_HELP = 'IP address and port to listen on; port 0 selects a free port'
const program = new Command('plumstage-standins').description('Stand-ins for the platform and the upstreams, for tests and experiments.')
program.command('key-value').description('key-value service with the etcd v3 API')
  .option(LISTEN_OPTION, LISTEN_HELP, '127.0.0.1:2379').option('--control-listen <address>', 'IP address and port of the control interface for faults, counters and compaction').action(runKeyValue)
program.command('engine').description('model engine with the OpenAI-compatible API')
  .option(LISTEN_OPTION, LISTEN_HELP, '127.0.0.1:9000').option('--model <names>', 'model names, separated by commas', DEFAULT_ENGINE_OPTIONS.models.join(','))
  .option('--step-milliseconds <number>', 'milliseconds between two tokens of a sequence', String(DEFAULT_ENGINE_OPTIONS.stepMilliseconds))
  .option('--maximum-running <number>', 'maximum number of concurrent sequences', String(DEFAULT_ENGINE_OPTIONS.maximumRunning))
  .option('--prefill-tokens-per-second <number>', 'prompt tokens prefilled per second', String(DEFAULT_ENGINE_OPTIONS.prefillTokensPerSecond))
  .option('--run-log <file>', 'append every started request to this file').action(runEngine)
program.command('plain').description('plain service that responds to every request').option(LISTEN_OPTION, LISTEN_HELP, '127.0.0.1:9100').option('--run-log <file>', 'append every executed request to this file').action(runPlain)
program.command('instance-list').description('instance list with reclaim notices').option(LISTEN_OPTION, LISTEN_HELP, '127.0.0.1:7000').action(runInstanceList)

setLogLevel('info')
program.parseAsync().catch((error: unknown) => {
  log.error(describeError(error))
  process.exitCode = 2
})
