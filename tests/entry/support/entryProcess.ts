/**
 * One bundled entry process with a settings file and a loopback address of its own.
 *
 * @module
 */
import { execFile, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { pickLoopbackNetwork } from '../../platform/support/loopbackNetwork.js'

const ROOT = fileURLToPath(new URL('../../..', import.meta.url))
const ANNOUNCE_LOADING = fileURLToPath(new URL('announceLoading.cjs', import.meta.url))
const POLL_MILLISECONDS = 10

export const CALLER_PORT = 8080
export const READINESS_PORT = 8081
export const PEER_PORT = 7600
export const METRICS_PORT = 9464

/** Whether a condition holds within a time. */
export async function holdsWithin (milliseconds: number, condition: () => boolean | Promise<boolean>): Promise<boolean> {
  const deadline = Date.now() + milliseconds
  while (Date.now() < deadline) {
    if (await condition()) return true
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
  }
  return await condition()
}

/** A bundle of the program in a folder of its own. */
export class EntryBundle {
  readonly folder = mkdtempSync(join(tmpdir(), 'bundle-'))

  static async create (): Promise<EntryBundle> {
    const bundle = new EntryBundle()
    await promisify(execFile)(process.execPath, ['packages/entry/bundle.mjs', bundle.folder], { cwd: ROOT })
    return bundle
  }

  remove (): void {
    rmSync(this.folder, { recursive: true })
  }
}

/** Where entry processes run, and the settings file that they share. */
export class EntrySite {
  readonly host = `${pickLoopbackNetwork()}.1`
  readonly settingsPath: string
  private readonly _bundle: EntryBundle
  private readonly _processes: EntryProcess[] = []

  private constructor (bundle: EntryBundle) {
    this._bundle = bundle
    this.settingsPath = join(bundle.folder, `settings-${this.host}.json`)
    this.writeSettings()
  }

  static create (bundle: EntryBundle): EntrySite {
    return new EntrySite(bundle)
  }

  /** Text of a settings file; `fields` replace those of an ordinary one. */
  formatSettings (fields: object = {}): string {
    const { host } = this
    return JSON.stringify({ node_name: 'edge-1', ip: host, zone: 'east', listen: { front: `${host}:${CALLER_PORT}`, readiness: `${host}:${READINESS_PORT}` }, port_range: [PEER_PORT, PEER_PORT], platform: { address: `${host}:1` }, ...fields })
  }

  writeSettings (fields: object = {}): void {
    writeFileSync(this.settingsPath, this.formatSettings(fields))
  }

  /** Starts a process whose loading takes so much longer. */
  start (loadingMilliseconds = 0): EntryProcess {
    const child = spawn(process.execPath, ['--require', ANNOUNCE_LOADING, join(this._bundle.folder, 'plumstage-entry.cjs'), '--metrics-port', String(METRICS_PORT)], { env: { ...process.env, PLUMSTAGE_SETTINGS: this.settingsPath, LOADING_MILLISECONDS: String(loadingMilliseconds) }, stdio: ['ignore', 'pipe', 'pipe'] })
    const started = EntryProcess.create(child)
    this._processes.push(started)
    return started
  }

  async accepts (port: number): Promise<boolean> {
    return await new Promise(resolve => {
      const socket = connect(port, this.host, () => { socket.destroy(); resolve(true) })
      socket.on('error', () => resolve(false))
    })
  }

  async stop (): Promise<void> {
    await Promise.all(this._processes.map(async process => await process.kill()))
  }
}

/** One process, its output and how it ended. */
export class EntryProcess {
  /** Text of standard output and of standard error. */
  output = ''
  errors = ''
  private readonly _child: ChildProcess

  private constructor (child: ChildProcess) {
    this._child = child
    child.stdout!.on('data', (chunk: Buffer) => { this.output += chunk.toString() })
    child.stderr!.on('data', (chunk: Buffer) => { this.errors += chunk.toString() })
  }

  static create (child: ChildProcess): EntryProcess {
    return new EntryProcess(child)
  }

  /** The status or signal with which the process ended; undefined while it runs. */
  get end (): number | NodeJS.Signals | undefined {
    return this._child.exitCode ?? this._child.signalCode ?? undefined
  }

  /** Whether the process has begun to load its program. */
  get isLoading (): boolean {
    return this.output.includes('loading\n')
  }

  get hasStarted (): boolean {
    return this.output.includes('"kind":"started"')
  }

  signal (signal: NodeJS.Signals): void {
    this._child.kill(signal)
  }

  /** Closes the reading end of both outputs. */
  closeOutputs (): void {
    this._child.stdout!.destroy()
    this._child.stderr!.destroy()
  }

  async kill (): Promise<void> {
    if (this.end !== undefined) return
    const exited = new Promise(resolve => this._child.once('exit', resolve))
    this._child.kill('SIGKILL')
    await exited
  }
}
