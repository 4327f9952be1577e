/**
 * Processes that a measurement or a chaos run starts, measures and stops. Plumstage itself never starts processes.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'

const CLOCK_TICKS_PER_SECOND = 100
const MICROSECONDS_PER_SECOND = 1_000_000
const KIBIBYTE = 1024
/** Matches what the baselines, the gateway and the stand-ins write to stderr when they are listening. */
const READY_PATTERN = /ready|Callers:|listens on/

/** Programs that a measurement can start. */
export type MeasuredProgram = 'gateway' | 'standins' | 'pass-through' | 'raw-relay'

const require = createRequire(import.meta.url)

const PROGRAM_FILES: Readonly<Record<MeasuredProgram, string>> = {
  gateway: require.resolve('@plumstage/gateway/bin/gatewayMain.js'),
  standins: require.resolve('@plumstage/standins/bin/standinsMain.js'),
  'pass-through': new URL('../baselines/passThroughMain.js', import.meta.url).pathname,
  'raw-relay': new URL('../baselines/rawRelayMain.js', import.meta.url).pathname
}

/** A running program whose processor time and memory can be read. */
export class MeasuredProcess {
  readonly name: string
  private readonly _child: ChildProcess

  private constructor (name: string, child: ChildProcess) {
    this.name = name
    this._child = child
  }

  /** Starts a program and waits until it reports on stderr that it is listening. */
  static async create (name: string, program: MeasuredProgram, parameters: readonly string[], environment: NodeJS.ProcessEnv = {}): Promise<MeasuredProcess> {
    const child = spawn(process.execPath, [PROGRAM_FILES[program], ...parameters], { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, ...environment } })
    const measured = new MeasuredProcess(name, child)
    await measured._waitUntilReady()
    return measured
  }

  get pid (): number {
    return this._child.pid!
  }

  get running (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  /** Processor time used so far in user and system mode, in microseconds. */
  readProcessorTime (): number {
    const fields = readFileSync(`/proc/${this.pid}/stat`, 'utf8').split(') ')[1].split(' ')
    return (Number(fields[11]) + Number(fields[12])) * MICROSECONDS_PER_SECOND / CLOCK_TICKS_PER_SECOND
  }

  /** Resident memory in bytes. */
  readMemory (): number {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1] ?? 0) * KIBIBYTE
  }

  signal (signal: NodeJS.Signals): void {
    this._child.kill(signal)
  }

  async stop (signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    if (!this.running) return
    const exited = once(this._child, 'exit')
    this._child.kill(signal)
    await exited
  }

  private async _waitUntilReady (): Promise<void> {
    let output = ''
    await new Promise<void>((resolve, reject) => {
      this._child.once('exit', code => reject(new Error(`${this.name} exited with code ${code} before it was ready: ${output}`)))
      this._child.stderr!.on('data', (chunk: Buffer) => {
        output += chunk.toString()
        if (READY_PATTERN.test(output)) resolve()
      })
    })
  }
}

/** The processes of one measurement, stopped together. */
export class ProcessGroup {
  private readonly _processes: MeasuredProcess[] = []

  static create (): ProcessGroup {
    return new ProcessGroup()
  }

  async start (name: string, program: MeasuredProgram, parameters: readonly string[], environment: NodeJS.ProcessEnv = {}): Promise<MeasuredProcess> {
    const started = await MeasuredProcess.create(name, program, parameters, environment)
    this._processes.push(started)
    return started
  }

  async stop (): Promise<void> {
    await Promise.all(this._processes.map(async process => await process.stop()))
  }
}
