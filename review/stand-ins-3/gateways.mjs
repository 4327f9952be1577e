/** Starts gateways with the command of the deploy file, each on a loopback address of its own, and ends them. */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const PEER_PORT_COUNT = 16

export class Gateways {
  running = new Map()
  /** Starts of all processes, for the record. */
  starts = []

  static async create ({ zones, bounds, settingsOf }) {
    const gateways = Object.assign(new Gateways(), { zones, bounds, settingsOf })
    const network = 1 + Math.floor(Math.random() * 250)
    gateways.addressOf = number => `127.${100 + process.pid % 100}.${network}.${number}`
    gateways.folder = mkdtempSync(join(tmpdir(), 'review-'))
    gateways.ports = { front: await freePort(), readiness: await freePort(), control: await freePort(), metrics: await freePort(), peers: await freePort() }
    gateways.endWithThisProcess()
    return gateways
  }

  /** However the case ends, its gateways end too; a fault of the case itself is not a broken rule. */
  endWithThisProcess () {
    process.on('exit', () => { for (const child of this.running.values()) child.kill('SIGKILL') })
    process.on('uncaughtException', error => {
      console.error(error)
      process.exit(2)
    })
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2))
  }

  nameOf (number) { return `edge-${this.zoneOf(number)}-${number}` }

  zoneOf (number) { return this.zones[(number - 1) % this.zones.length] }

  settings (number, isFirst) {
    const ip = this.addressOf(number)
    const { front, readiness, control, peers } = this.ports
    const zones = Object.fromEntries(this.zones.map(zone => [zone, 'region']))
    return {
      node_name: this.nameOf(number),
      role: 'gateway',
      machine_class: 'edge',
      serves: ['edge', 'control'],
      ip,
      zone: this.zoneOf(number),
      region: 'region',
      zones,
      listen: { front: `${ip}:${front}`, readiness: `${ip}:${readiness}`, control: `${ip}:${control}` },
      port_range: [peers, peers + PEER_PORT_COUNT - 1],
      seeds: [1, 2, 3].map(seed => `${this.addressOf(seed)}:${control}`),
      bootstrap: isFirst,
      counts_as_loss: false,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'quota', 'leader', 'platform'],
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: this.bounds,
      ...this.settingsOf(number)
    }
  }

  /** Starts a gateway and waits until it is ready. */
  async start (number, isFirst = true) {
    const path = join(this.folder, `${this.nameOf(number)}.json`)
    writeFileSync(path, JSON.stringify(this.settings(number, isFirst)))
    const [program, ...words] = /run = "(.*)"/.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const [metricsFlag] = words.splice(-2)
    const log = openSync(join(this.folder, `${this.nameOf(number)}.log`), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, [...words, metricsFlag, String(this.ports.metrics)], { cwd: ROOT, env: { PATH, HOME, LANG, PLUMSTAGE_SETTINGS: path }, stdio: ['ignore', log, log] })
    this.running.set(number, child)
    this.starts.push({ number, pid: child.pid })
    for (let tries = 0; !await this.isReady(number); tries++) {
      if (tries > 200 || child.exitCode !== null) throw new Error(`${this.nameOf(number)} did not become ready`)
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  front (number) { return { host: this.addressOf(number), port: this.ports.front } }

  signal (number, signal) { this.running.get(number).kill(signal) }

  hasEnded (number) {
    const child = this.running.get(number)
    return child.exitCode !== null || child.signalCode !== null
  }

  async waitForEnd (number) {
    const child = this.running.get(number)
    if (!this.hasEnded(number)) await new Promise(resolve => child.once('exit', resolve))
  }

  logOf (number) { return readFileSync(join(this.folder, `${this.nameOf(number)}.log`), 'utf8') }

  async isReady (number) {
    return await new Promise(resolve => {
      const request = get({ host: this.addressOf(number), port: this.ports.readiness, path: '/v1/readyz', agent: false, timeout: 500 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
  }

  async stop () {
    for (const child of this.running.values()) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all([...this.running.keys()].map(number => this.waitForEnd(number)))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true })
    else console.log(`logs in ${this.folder}`)
  }
}

async function freePort () {
  return await new Promise(resolve => {
    const server = createServer().listen(0, '0.0.0.0', () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}
