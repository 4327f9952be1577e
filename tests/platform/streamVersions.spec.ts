import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { knownRed } from '../support/knownRed.js'
import { wait } from '../support/wait.js'
import { ProcessDeployment } from './support/processDeployment.js'
import { StreamCaller, streamSlowly } from './support/streamCaller.js'
import type { UpstreamStandin } from './support/upstreamStandin.js'

const GATEWAYS = 4
const VERSIONS = ['v1', 'v1', 'v1', 'v1.1', 'v1.1']
const EVENTS = 60
const EVENT_MILLISECONDS = 15
/** More mixed streams break the promise. */
const ALLOWED_MIXED = 2
const REJECTION_MILLISECONDS = 700
/** Within this time a gateway writes to the store which versions there are. */
const HISTORY_WRITTEN_MILLISECONDS = 2500
const SERVICE_UNAVAILABLE = 503

describe('software versions of streams', () => {
  let deployment: ProcessDeployment
  beforeEach(async () => await startDeployment(VERSIONS))
  afterEach(async () => await deployment.stop())

  async function startDeployment (versions: readonly string[], hasPeerGates = false): Promise<void> {
    deployment = await ProcessDeployment.create(GATEWAYS, versions.map(version => ({ version, capacity: 64 })), { hasPeerGates })
    for (const [index, upstream] of deployment.upstreams.entries()) upstream.script = streamSlowly(versions[index], EVENTS, EVENT_MILLISECONDS)
  }

  function urlOf (gateway: number): string {
    return deployment.gateways.callerUrlOf(gateway)
  }

  function createCallers (count: number): StreamCaller[] {
    return Array.from({ length: count }, (_, index) => StreamCaller.create(`s${index}`))
  }

  function gatewayOf (index: number): number {
    return index % GATEWAYS + 1
  }

  /** Resumes at the next gateway whatever has broken or was left. */
  async function resume (callers: readonly StreamCaller[], without?: number): Promise<void> {
    await Promise.all(callers.map(async (caller, index) => {
      const next = gatewayOf(index + 1) === without ? gatewayOf(index + 2) : gatewayOf(index + 1)
      if (!caller.isComplete) await caller.send(urlOf(next))
    }))
  }

  function assertUnmixed (callers: readonly StreamCaller[]): void {
    const mixed = callers.filter(caller => caller.isMixed).length
    assert.ok(mixed <= ALLOWED_MIXED, `${mixed} of ${callers.length} streams hold events of two versions, allowed ${ALLOWED_MIXED}`)
    assert.ok(callers.every(caller => caller.isContinuous), 'events are missing or repeated')
  }

  /** At least half of the streams that were taken up go on, because new ones all begin. */
  function assertMostGoOn (callers: readonly StreamCaller[]): void {
    const resumed = callers.filter(caller => caller.tries.length > 1)
    const complete = resumed.filter(caller => caller.isComplete).length
    assert.ok(complete >= resumed.length / 2, `${complete} of ${resumed.length} streams went on`)
  }

  function crash (upstream: UpstreamStandin): void {
    upstream.script = request => request.socket.resetAndDestroy()
    for (const { socket } of upstream.requests) socket.resetAndDestroy()
    deployment.store.remove(`servers/${upstream.id}`)
  }

  /** Kills all gateways while the streams run, and starts them again. */
  async function killAllDuring (callers: readonly StreamCaller[]): Promise<void> {
    const { gateways } = deployment
    const sent = Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)))))
    await wait(400)
    for (const number of gateways.numbers) gateways.signal(number, 'SIGKILL')
    await sent
    await Promise.all(gateways.numbers.map(async number => await gateways.start(number)))
  }

  // Guards against: streams that can only have begun at the one version are rejected for want of a record.
  it('ORDER: streams of the only version go on after all gateways were killed at once', async () => {
    await deployment.stop()
    await startDeployment(['v1', 'v1', 'v1'])
    await wait(HISTORY_WRITTEN_MILLISECONDS)
    const callers = createCallers(60)
    await killAllDuring(callers)
    await resume(callers)
    assertUnmixed(callers)
    assertMostGoOn(callers)
  })

  const atOtherGateway = 'ORDER: a stream that its caller resumes at another gateway goes on at the version that began it'
  // Guards against: a caller's next try gets any upstream, because no gateway knows which version began the stream.
  it(atOtherGateway, knownRed(atOtherGateway), async () => {
    const callers = createCallers(100)
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)), 5 + index % 20)))
    await resume(callers)
    assertUnmixed(callers)
    assertMostGoOn(callers)
  })

  const twice = 'ORDER: a stream that its caller resumes twice goes on at the version that began it'
  // Guards against: the record of the beginning is lost once the stream was continued, or under the id of the last try.
  it(twice, knownRed(twice), async () => {
    const callers = createCallers(60)
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)), 5)))
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index + 1)), 5)))
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index + 2)))))
    assertUnmixed(callers)
    assertMostGoOn(callers)
  })

  const withinResponse = 'ORDER: a stream goes on at its version within one response after its upstream has crashed'
  // Guards against: the gateway itself continues a broken stream at any upstream.
  it(withinResponse, knownRed(withinResponse), async () => {
    const callers = createCallers(60)
    const sent = Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)))))
    await wait(400)
    crash(deployment.upstreams[0])
    await sent
    assertUnmixed(callers)
    const complete = callers.filter(caller => caller.isComplete).length
    assert.ok(complete >= callers.length * 0.9, `${complete} of ${callers.length} streams are complete`)
  })

  const afterKill = 'ORDER: a stream goes on at its version after the gateway that began it was killed'
  // Guards against: the knowledge of the version is lost with the gateway that began the stream.
  it(afterKill, knownRed(afterKill), async () => {
    const callers = createCallers(60)
    const sent = Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)))))
    await wait(400)
    deployment.gateways.signal(1, 'SIGKILL')
    await sent
    await resume(callers, 1)
    assertUnmixed(callers)
    assertMostGoOn(callers)
  })

  // Guards against: gateways that have just started know nothing of the streams, and guess.
  it('ORDER: a stream goes on at its version at a gateway that was killed and has just started again', async () => {
    const callers = createCallers(60)
    const sent = Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)))))
    await wait(400)
    deployment.gateways.signal(1, 'SIGKILL')
    await sent
    await deployment.gateways.start(1)
    await Promise.all(callers.filter(caller => !caller.isComplete).map(async caller => await caller.send(urlOf(1))))
    assertUnmixed(callers)
    assertMostGoOn(callers)
  })

  // Guards against: without any record left, a stream goes on wherever there is room.
  it('ORDER: no stream changes its version after all gateways were killed at once', async () => {
    const callers = createCallers(60)
    await killAllDuring(callers)
    await resume(callers)
    assertUnmixed(callers)
    assert.ok(callers.every(caller => caller.tries.length === 1 || caller.tries.at(-1)!.status !== 0), 'a caller got no answer')
  })

  /** Share of the streams that were taken up whose version is in service and that have to go on. */
  function assertAllButFewGoOn (callers: readonly StreamCaller[]): void {
    const resumed = callers.filter(caller => caller.tries.length > 1 && caller.versions.length > 0)
    const complete = resumed.filter(caller => caller.isComplete).length
    assert.ok(resumed.length >= callers.length / 2, `only ${resumed.length} streams broke off`)
    assert.ok(complete >= resumed.length * 0.9, `${complete} of ${resumed.length} streams went on`)
  }

  const twoVersions = 'ORDER: streams of two versions go on at their own after all gateways were killed at once'
  // Guards against: the knowledge which version began each stream dies with the gateways, and all are rejected.
  it(twoVersions, knownRed(twoVersions), async () => {
    const callers = createCallers(100)
    await killAllDuring(callers)
    await resume(callers)
    assertUnmixed(callers)
    assertAllButFewGoOn(callers)
  })

  const afterOneKill = 'ORDER: streams of two versions go on after a gateway was killed, and then all of them'
  // Guards against: the one gateway that writes the archive is gone, and nobody takes its place.
  it(afterOneKill, knownRed(afterOneKill), async () => {
    deployment.gateways.signal(2, 'SIGKILL')
    await wait(100)
    await deployment.gateways.start(2)
    const callers = createCallers(100)
    await killAllDuring(callers)
    await resume(callers)
    assertUnmixed(callers)
    assertAllButFewGoOn(callers)
  })

  // Guards against: without the archive, gateways guess, or let callers wait.
  it('ORDER: no stream changes its version when the store is down while all gateways start again', async () => {
    const callers = createCallers(60)
    const { gateways, store } = deployment
    const sent = Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)))))
    await wait(400)
    for (const number of gateways.numbers) gateways.signal(number, 'SIGKILL')
    await sent
    await Promise.all(gateways.numbers.map(async number => await gateways.start(number)))
    store.faultPath = '/v1/kv-range'
    store.fault = 'busy'
    await resume(callers)
    assertUnmixed(callers)
    assert.ok(callers.every(caller => caller.tries.length === 1 || caller.tries.at(-1)!.status !== 0), 'a caller got no answer')
  })

  // Guards against: a gateway that has not heard of a new version takes the only one that it knows for the one that began a stream.
  it('ORDER: no stream goes on at another version at a gateway that was out of step while its version joined', async () => {
    await deployment.stop()
    await startDeployment(['v1', 'v1'], true)
    const { store } = deployment
    await wait(HISTORY_WRITTEN_MILLISECONDS)
    store.areSecondAddressesSilent = true
    deployment.togglePeers(1)
    for (let count = 0; count < 4; count++) await deployment.addUpstream({ version: 'v1.1', capacity: 64 }, streamSlowly('v1.1', EVENTS, EVENT_MILLISECONDS))
    await wait(500)
    const callers = createCallers(60)
    const others = deployment.gateways.numbers.slice(1)
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(others[index % others.length]), 5 + index % 20)))
    assert.ok(callers.filter(caller => caller.versions[0] === 'v1.1').length >= 10, 'streams have begun at the new version')
    await Promise.all(callers.map(async caller => await caller.send(urlOf(1))))
    assert.deepEqual(callers.filter(caller => caller.isMixed), [])
    assert.deepEqual(callers.filter(caller => !caller.isComplete && caller.tries.at(-1)!.status !== SERVICE_UNAVAILABLE), [], 'the others are rejected')
    store.areSecondAddressesSilent = false
    deployment.togglePeers(1)
    await wait(HISTORY_WRITTEN_MILLISECONDS)
    await Promise.all(callers.filter(caller => !caller.isComplete).map(async caller => await caller.send(urlOf(1))))
    assert.deepEqual(callers.filter(caller => caller.isMixed), [])
    assertMostGoOn(callers)
  })

  // Guards against: the same, of a gateway that stood still, and whose callers do not name the request that began the stream.
  it('ORDER: no stream goes on at another version at a gateway that stood still while its version joined', async () => {
    await deployment.stop()
    await startDeployment(['v1', 'v1'])
    const { gateways } = deployment
    await wait(HISTORY_WRITTEN_MILLISECONDS)
    const callers = Array.from({ length: 60 }, (_, index) => StreamCaller.create(`s${index}`, { namesBeginning: false }))
    gateways.signal(1, 'SIGSTOP')
    for (let count = 0; count < 4; count++) await deployment.addUpstream({ version: 'v1.1', capacity: 64 }, streamSlowly('v1.1', EVENTS, EVENT_MILLISECONDS))
    await wait(500)
    const others = gateways.numbers.slice(1)
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(others[index % others.length]), 5 + index % 20)))
    for (const number of others) gateways.signal(number, 'SIGKILL')
    const resumed = Promise.all(callers.filter(caller => !caller.isComplete).map(async caller => await caller.send(urlOf(1))))
    await wait(100)
    gateways.signal(1, 'SIGCONT')
    await resumed
    assert.deepEqual(callers.filter(caller => caller.isMixed), [])
    assert.ok(callers.filter(caller => caller.versions[0] === 'v1.1').length >= 10, 'streams have begun at the new version')
  })

  const noneLeft = 'ORDER: a stream of which no upstream of its version is left is rejected at once'
  // Guards against: a stream goes on at another version, or its caller waits, when its own version is gone.
  it(noneLeft, knownRed(noneLeft), async () => {
    const callers = createCallers(60)
    await Promise.all(callers.map(async (caller, index) => await caller.send(urlOf(gatewayOf(index)), 5)))
    for (const upstream of deployment.upstreams.slice(3)) crash(upstream)
    await wait(1000)
    const received = deployment.upstreams.reduce((sum, upstream) => sum + upstream.requests.length, 0)
    await resume(callers)
    assertUnmixed(callers)
    const orphans = callers.filter(caller => caller.versions[0] === 'v1.1')
    assert.ok(orphans.length > 5, `only ${orphans.length} streams began at the version that is gone`)
    for (const caller of orphans) {
      const last = caller.tries.at(-1)!
      assert.deepEqual([last.end, last.status], ['rejected', SERVICE_UNAVAILABLE])
      assert.ok(last.milliseconds < REJECTION_MILLISECONDS, `rejected after ${last.milliseconds} ms`)
    }
    const sent = deployment.upstreams.reduce((sum, upstream) => sum + upstream.requests.length, 0) - received
    assert.equal(sent, callers.length - orphans.length)
  })
})
