import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'
import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { CALLER_PORT, EntryBundle, EntrySite, METRICS_PORT, PEER_PORT, READINESS_PORT, holdsWithin } from './support/entryProcess.js'

/** How long the process before still holds a port. */
const HELD_MILLISECONDS = 3000
const START_MILLISECONDS = 10_000
const LOAD_MILLISECONDS = 2000
const STOP_MILLISECONDS = 2000
const OTHER_PORT = 8090

type Release = () => Promise<void>

function once (release: Release): Release {
  let released: Promise<void> | undefined
  return async () => await (released ??= release())
}

async function holdPort (host: string, port: number): Promise<Release> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  return once(async () => { await new Promise(resolve => server.close(resolve)) })
}

async function holdDatagramPort (host: string, port: number): Promise<Release> {
  const socket = createSocket('udp4')
  await new Promise<void>(resolve => socket.bind(port, host, resolve))
  return once(async () => { await new Promise<void>(resolve => socket.close(resolve)) })
}

const HELD: ReadonlyArray<{ name: string, port: number, hold: (host: string, port: number) => Promise<Release> }> = [
  { name: 'callers', port: CALLER_PORT, hold: holdPort },
  { name: 'readiness checks', port: READINESS_PORT, hold: holdPort },
  { name: 'datagrams of peers', port: PEER_PORT, hold: holdDatagramPort },
  { name: 'tunnels of peers', port: PEER_PORT, hold: holdPort },
  { name: 'metrics', port: METRICS_PORT, hold: holdPort }
]

describe('an entry process whose ports are held by another one', () => {
  let bundle: EntryBundle
  let site: EntrySite
  const releases: Release[] = []
  before(async () => { bundle = await EntryBundle.create() })
  after(() => bundle.remove())
  beforeEach(() => { site = EntrySite.create(bundle) })
  afterEach(async () => {
    await site.stop()
    await Promise.all(releases.splice(0).map(async release => await release()))
  })

  async function sleep (milliseconds: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, milliseconds))
  }

  for (const { name, port, hold } of HELD) {
    // Guards against: a start while the process before still holds a port ends, or leaves a port closed for good.
    it(`FAULT: waits for the port for ${name} and then opens all of its ports`, async () => {
      const release = await hold(site.host, port)
      releases.push(release)
      const process = site.start()
      await sleep(HELD_MILLISECONDS)
      assert.equal(process.end, undefined)
      await release()
      assert.ok(await holdsWithin(START_MILLISECONDS, () => process.hasStarted))
      for (const opened of [CALLER_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT]) assert.ok(await holdsWithin(START_MILLISECONDS, async () => await site.accepts(opened)), `port ${opened}`)
      assert.equal(process.end, undefined)
    })
  }

  // Guards against: of two processes that start at once, one ends instead of waiting for the other.
  it('FAULT: starts when the other one of two that began at once has ended', async () => {
    const processes = [site.start(), site.start()]
    assert.ok(await holdsWithin(START_MILLISECONDS, () => processes.some(process => process.hasStarted)))
    await sleep(HELD_MILLISECONDS)
    assert.deepEqual(processes.map(process => process.end), [undefined, undefined])
    const [first] = processes.filter(process => process.hasStarted)
    await first.kill()
    assert.ok(await holdsWithin(START_MILLISECONDS, () => processes.every(process => process.hasStarted)))
  })

  // Guards against: a process that waits for a port can't be stopped, or ends with an error.
  it('FAULT: can be stopped while it waits', async () => {
    releases.push(await holdPort(site.host, CALLER_PORT))
    const process = site.start()
    assert.ok(await holdsWithin(START_MILLISECONDS, () => process.isLoading))
    await sleep(LOAD_MILLISECONDS)
    assert.equal(process.end, undefined)
    process.signal('SIGTERM')
    assert.ok(await holdsWithin(STOP_MILLISECONDS, () => process.end !== undefined))
    assert.equal(process.end, 0)
  })

  // Guards against: a process waits for a port that its settings no longer name.
  it('FAULT: uses the settings that are written while it waits', async () => {
    releases.push(await holdPort(site.host, CALLER_PORT))
    const process = site.start()
    assert.ok(await holdsWithin(START_MILLISECONDS, () => process.isLoading))
    await sleep(LOAD_MILLISECONDS)
    site.writeSettings({ listen: { front: `${site.host}:${OTHER_PORT}`, readiness: `${site.host}:${READINESS_PORT}` } })
    process.signal('SIGHUP')
    assert.ok(await holdsWithin(START_MILLISECONDS, () => process.hasStarted || process.end !== undefined))
    assert.equal(process.end, undefined)
    assert.ok(await site.accepts(OTHER_PORT))
  })
})
