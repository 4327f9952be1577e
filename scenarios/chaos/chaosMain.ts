/**
 * Command line that kills, pauses and replaces real processes on loopback under load, and checks the invariants
 * afterwards.
 *
 * @module
 */
import { Command } from 'commander'
import { SeededRandom, describeError } from '@plumstage/common'
import { INVARIANT_NAMES, checkInvariants } from '../checker/invariantChecker.js'
import type { Violation } from '../checker/invariantChecker.js'
import type { RequestRecord } from '../simulation/requestRecord.js'
import type { AnnouncedReclaim, RunHistory } from '../simulation/virtualDeployment.js'
import { ChaosCallers } from './chaosCallers.js'
import { ChaosDeployment, slotNameOf } from './chaosDeployment.js'
import type { ChaosSlot } from './chaosDeployment.js'

const SIZE = { gateways: 6, engines: 8, plainServices: 3 }
const REQUEST_INTERVAL_MILLISECONDS = 40
const FAULT_INTERVAL_MILLISECONDS = 1200
const CHANGE_INTERVAL_MILLISECONDS = 5000
const NOTICE_MILLISECONDS = 3000
const MAXIMUM_PAUSE_MILLISECONDS = 6000
const WARM_UP_MILLISECONDS = 3000
const SETTLE_MILLISECONDS = 10_000

type FaultName = 'kill' | 'pause' | 'reclaim' | 'planned stop' | 'key-value service paused' | 'key-value service down'

/** Faults to choose from at random; those that are listed twice are chosen twice as often. */
const FAULTS: readonly FaultName[] = ['kill', 'kill', 'pause', 'pause', 'reclaim', 'planned stop', 'key-value service paused', 'key-value service down']

/** One chaos run: warm-up, fault injection under load, and the checks. */
class ChaosRun {
  private readonly _deployment: ChaosDeployment
  private readonly _random: SeededRandom
  private readonly _callers: ChaosCallers
  private readonly _history: RunHistory = { requests: [], executions: [], events: [], reclaims: [], stops: [], changes: [], unannouncedFailure: true }
  private readonly _faultCounts = new Map<FaultName, number>()
  private readonly _pendingWork = new Set<Promise<void>>()
  private _hasKeyValueFault = false

  private constructor (deployment: ChaosDeployment, seed: number) {
    this._deployment = deployment
    this._random = SeededRandom.create(seed)
    this._callers = ChaosCallers.create(deployment, SeededRandom.create(seed + 1))
  }

  static async create (seed: number): Promise<ChaosRun> {
    return new ChaosRun(await ChaosDeployment.create(SIZE), seed)
  }

  /** Injects faults for `seconds` and returns whether every invariant held. */
  async run (seconds: number): Promise<boolean> {
    try {
      await sleep(WARM_UP_MILLISECONDS)
      await this._injectFaults(seconds)
      await this._waitUntilIdle()
      return await this._report()
    } finally {
      await this._deployment.stop()
    }
  }

  private async _injectFaults (seconds: number): Promise<void> {
    const timers = [
      setInterval(() => this._callers.sendRandomRequest(), REQUEST_INTERVAL_MILLISECONDS),
      setInterval(() => this._track(this._injectRandomFault()), FAULT_INTERVAL_MILLISECONDS),
      setInterval(() => this._track(this._applyChange()), CHANGE_INTERVAL_MILLISECONDS)
    ]
    await sleep(seconds * 1000)
    for (const timer of timers) clearInterval(timer)
  }

  private async _waitUntilIdle (): Promise<void> {
    await Promise.all(this._pendingWork)
    await this._callers.waitForAll()
    await sleep(SETTLE_MILLISECONDS)
  }

  private _track (work: Promise<void>): void {
    this._pendingWork.add(work)
    void work.catch((error: unknown) => process.stderr.write(`chaos: ${describeError(error)}\n`)).finally(() => this._pendingWork.delete(work))
  }

  private async _applyChange (): Promise<void> {
    const revision = await this._deployment.applyPriority(this._random.nextInteger(0, 9))
    if (revision !== undefined) this._history.changes.push({ revision, acceptedAt: Date.now() })
  }

  private async _injectRandomFault (): Promise<void> {
    const fault = this._random.pick(FAULTS)!
    const idle = this._deployment.slots.filter(slot => !slot.hasOngoingFault && slot.process !== undefined)
    const slot = this._random.pick(fault === 'planned stop' ? idle.filter(candidate => candidate.kind === 'gateway') : fault === 'reclaim' ? idle.filter(candidate => candidate.kind !== 'gateway') : idle)
    this._faultCounts.set(fault, (this._faultCounts.get(fault) ?? 0) + 1)
    if (fault === 'key-value service paused' || fault === 'key-value service down') return await this._interruptKeyValueService(fault)
    if (!slot) return
    slot.hasOngoingFault = true
    if (fault === 'kill') await this._kill(slot)
    else if (fault === 'pause') await this._pause(slot)
    else if (fault === 'reclaim') await this._reclaim(slot)
    else await this._stop(slot)
    slot.hasOngoingFault = false
  }

  private async _kill (slot: ChaosSlot): Promise<void> {
    await this._deployment.killSlot(slot)
    await sleep(this._random.nextInteger(500, 3000))
    await this._deployment.startSlot(slot)
  }

  private async _pause (slot: ChaosSlot): Promise<void> {
    slot.process!.signal('SIGSTOP')
    await sleep(this._random.nextInteger(200, MAXIMUM_PAUSE_MILLISECONDS))
    slot.process!.signal('SIGCONT')
  }

  private async _reclaim (slot: ChaosSlot): Promise<void> {
    const announcedAt = Date.now()
    const deadline = announcedAt + NOTICE_MILLISECONDS
    await this._deployment.announceReclaim(slot, deadline)
    const reclaim: AnnouncedReclaim = { address: slot.address, incarnation: String(slot.incarnation), announcedAt, deadline }
    this._history.reclaims.push(reclaim)
    await sleep(NOTICE_MILLISECONDS)
    await this._deployment.killSlot(slot)
    reclaim.endedAt = Date.now()
    await this._deployment.startSlot(slot)
  }

  private async _stop (slot: ChaosSlot): Promise<void> {
    this._history.stops.push({ gateway: slotNameOf(slot), startedAt: Date.now() })
    await slot.process!.stop('SIGTERM')
    slot.process = undefined
    await this._deployment.startSlot(slot)
  }

  private async _interruptKeyValueService (fault: FaultName): Promise<void> {
    if (this._hasKeyValueFault) return
    this._hasKeyValueFault = true
    const { keyValue } = this._deployment
    if (fault === 'key-value service paused') keyValue.signal('SIGSTOP')
    else await this._deployment.setKeyValueDown(true)
    await sleep(this._random.nextInteger(200, MAXIMUM_PAUSE_MILLISECONDS))
    if (fault === 'key-value service paused') keyValue.signal('SIGCONT')
    else await this._deployment.setKeyValueDown(false)
    this._hasKeyValueFault = false
  }

  private async _report (): Promise<boolean> {
    this._history.requests = this._callers.requests
    this._history.executions = this._deployment.readExecutions()
    this._history.events = this._deployment.readEvents()
    const violations = checkInvariants(this._history, await this._deployment.readFinalStates())
    process.stdout.write(`faults: ${[...this._faultCounts].map(([name, count]) => `${count} ${name}`).join(', ')}\n`)
    process.stdout.write(`${describeRequests(this._callers.requests)}, ${this._history.executions.length} executions on upstreams, ${this._history.changes.length} configuration changes\n`)
    for (const invariant of INVARIANT_NAMES) process.stdout.write(`  ${invariant}: ${violations.filter(violation => violation.invariant === invariant).length} violations\n`)
    for (const violation of violations) process.stdout.write(formatViolation(violation))
    return violations.length === 0
  }
}

function describeRequests (requests: readonly RequestRecord[]): string {
  const count = (outcome: RequestRecord['outcome']): number => requests.filter(request => request.outcome === outcome).length
  return `${requests.length} requests (${count('complete')} complete, ${count('not-run')} not-run, ${count('unknown')} unknown, ${count(undefined)} with a lost or refused connection)`
}

function formatViolation (violation: Violation): string {
  return `${violation.invariant}: ${violation.detail} ${violation.requestId ?? ''}\n`
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

new Command('chaos').option('--seconds <number>', 'how long faults are injected', '60').option('--seed <number>', 'seed for faults and requests', '1')
  .action(async (flags: { seconds: string, seed: string }) => {
    const run = await ChaosRun.create(Number(flags.seed))
    process.exit(await run.run(Number(flags.seconds)) ? 0 : 1)
  })
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`chaos: ${describeError(error)}\n`)
    process.exitCode = 2
  })
