#!/usr/bin/env node
/**
 * `plumstage-gateway`: forwards the requests of callers to the upstreams of one deployment.
 *
 * @module
 */
import { EventLog, Instrumentation, SystemClock, createProcessIncarnation, describeError, getLogger, setLogLevel } from '@plumstage/common'
import { EtcdKeyValueService, HttpInstanceList } from '@plumstage/coordination'
import { EmbeddedPlatform } from '../embedded/embeddedPlatform.js'
import { Gateway } from '../gateway.js'
import { readGatewaySettings } from '../gatewaySettings.js'
import type { GatewaySettings } from '../gatewaySettings.js'

const EXIT_SETTINGS = 2
const EXIT_FAILURE = 1

const log = getLogger('gateway')

async function run (settings: GatewaySettings): Promise<void> {
  const clock = SystemClock.create()
  const instrumentation = Instrumentation.create(settings.name, createProcessIncarnation(), clock)
  const events = settings.events === 'none' ? undefined : EventLog.create(settings.events)
  if (events) instrumentation.addListener(event => events.append(event))
  const embedded = settings.embedded ? await EmbeddedPlatform.create(clock, settings.deployment) : undefined
  const gateway = await Gateway.create(settings, {
    clock,
    instrumentation,
    keyValueService: embedded?.keyValueService ?? EtcdKeyValueService.create(settings.keyValueService, clock),
    instanceList: settings.instanceList === undefined ? undefined : HttpInstanceList.create(settings.instanceList)
  })
  process.on('uncaughtException', error => gateway.reportError(error))
  let isStopping = false
  const stop = (): void => {
    if (isStopping) return
    isStopping = true
    gateway.stop().then(async () => await embedded?.stop()).catch((error: unknown) => gateway.reportError(error)).finally(() => {
      events?.close()
      process.exit(0)
    })
  }
  // A signal without a handler ends the process at once, also while it stops.
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  if (embedded) printWelcome(gateway.address, embedded.workspaceToken)
}

function printWelcome (address: string, token: string): void {
  process.stdout.write(`
plumstage serves on http://${address} with embedded stand-ins.
Token of the workspace "demo": ${token}

A streamed chat completion:
  curl -N http://${address}/v1/chat/completions -H 'authorization: Bearer ${token}' -H 'content-type: application/json' -d '{"model":"quetzal-8b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Summarise the page on notaries."}]}'

A request to a plain service:
  curl http://${address}/wiki/front-page -H 'authorization: Bearer ${token}'

Stop with Ctrl-C.
`)
}

const settings = readGatewaySettings({ arguments: process.argv.slice(2), environment: process.env })
if (settings.isErr()) {
  process.stderr.write(settings.error.message + '\n')
  process.exit(EXIT_SETTINGS)
}
setLogLevel(settings.value.logLevel)
run(settings.value).catch((error: unknown) => {
  log.error(describeError(error))
  process.exit(EXIT_FAILURE)
})
