import assert from 'node:assert/strict'
import { execFile, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { pickLoopbackNetwork } from '../platform/support/loopbackNetwork.js'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const METRICS_PORT = 9464
const PEER_PORT = 7600
const POLL_MILLISECONDS = 50
const START_MILLISECONDS = 10_000

describe('the bundled program', () => {
  const host = `${pickLoopbackNetwork()}.1`
  const folder = mkdtempSync(join(tmpdir(), 'bundle-'))
  let gateway: ChildProcess
  before(async () => {
    await promisify(execFile)(process.execPath, ['packages/entry/bundle.mjs'], { cwd: ROOT })
    const settings = join(folder, 'settings.json')
    writeFileSync(settings, JSON.stringify({ node_name: 'edge-1', ip: host, zone: 'east', listen: { front: `${host}:8080`, readiness: `${host}:8081` }, port_range: [PEER_PORT, PEER_PORT], platform: { address: `${host}:1` } }))
    gateway = spawn(process.execPath, ['target/plumstage-entry.cjs', '--metrics-port', String(METRICS_PORT)], { cwd: ROOT, env: { ...process.env, PLUMSTAGE_SETTINGS: settings }, stdio: 'ignore' })
  })
  after(() => {
    gateway.kill('SIGKILL')
    rmSync(folder, { recursive: true })
  })

  async function statusOf (url: string): Promise<number | undefined> {
    for (const until = Date.now() + START_MILLISECONDS; Date.now() < until;) {
      const response = await fetch(url).catch(() => undefined)
      if (response) return response.status
      await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
    }
    return undefined
  }

  // Guards against: a module that is left out of the bundle keeps the listeners for peers and metrics from opening.
  it('serves metrics and peers', async () => {
    assert.equal(await statusOf(`http://${host}:${METRICS_PORT}/metrics`), 200)
    assert.equal(await statusOf(`http://${host}:${PEER_PORT}/deployment`), 200)
  })
})
