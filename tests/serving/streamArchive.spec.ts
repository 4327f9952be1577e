import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { CallContext, Instrumentation, VirtualClock, setLogLevel } from '@plumstage/common'
import { KeyValueError } from '@plumstage/coordination'
import type { KeyValueEntry, KeyValueService, KeyValueTransaction } from '@plumstage/coordination'
import { ArchiveBatches, SoftwareHistory, StoreKeys, StreamArchive, decodeArchiveRecords, encodeArchiveRecords, decodeStreamMessage, shardBitsFor, shardOf, streamKeyOf, writerOf } from '@plumstage/serving'
import type { ListedUpstream, SoftwareId, StreamKey } from '@plumstage/serving'

setLogLevel('silent')

const SECOND = 1000
const STREAM_MILLISECONDS = 20 * SECOND
const TICK_MILLISECONDS = 10
const LARGEST_CHANGE_VALUE_BYTES = 1_048_576

/** A store that keeps entries and counts calls; it can be down, or lose the responses to writes. */
class ArchiveStore {
  readonly entries = new Map<string, string>()
  calls = 0
  isDown = false
  losesResponses = false

  get service (): KeyValueService {
    const unanswered = err(KeyValueError.create('ambiguous', 'The store did not respond.'))
    return {
      grantLease: async () => {
        this.calls++
        return this.isDown ? unanswered : ok({ id: 1n, timeToLiveSeconds: 60 })
      },
      transact: async (_context: CallContext, { onSuccess }: KeyValueTransaction) => {
        this.calls++
        if (this.isDown) return unanswered
        for (const operation of onSuccess) if (operation.kind === 'put') this.entries.set(operation.key, operation.value)
        return this.losesResponses ? unanswered : ok({ era: 1, revision: 1, succeeded: true, entries: [] })
      },
      list: async (_context: CallContext, prefix: string) => {
        this.calls++
        if (this.isDown) return unanswered
        const entries = [...this.entries].filter(([key]) => key.startsWith(prefix)).map(([key, value]): KeyValueEntry => ({ key, value, createRevision: 1, modRevision: 1 }))
        return ok({ era: 1, revision: 1, entries })
      }
    } as unknown as KeyValueService
  }
}

function listUpstreams (versions: readonly string[]): ListedUpstream[] {
  return versions.map((softwareVersion, index) => ({ id: `i-${index}`, incarnation: '1', service: 'model', address: '10.0.0.1:80', failureDomain: 'east', softwareVersion, capacity: 16, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }))
}

/** Gateways that share a store and exchange datagrams at once; each run of a gateway begins without memory. */
class ArchiveDeployment {
  readonly clock = VirtualClock.create()
  readonly store = new ArchiveStore()
  readonly addresses: string[]
  dead = new Set<string>()
  private _versions: readonly string[] = ['v1']
  private _archives = new Map<string, StreamArchive>()
  private _histories: SoftwareHistory[] = []
  private _context = CallContext.create(this.clock)
  private _run = 0

  constructor (gateways: number) {
    this.addresses = Array.from({ length: gateways }, (_, index) => `10.1.${index >> 8}.${index & 255}:7600`)
    this.startAll()
  }

  /** Lists upstreams of these versions at all gateways. */
  list (versions: readonly string[]): void {
    this._versions = versions
    for (const history of this._histories) history.observe(listUpstreams(versions), this.clock.now())
  }

  archiveOf (index: number): StreamArchive {
    return this._archives.get(this.addresses[index % this.addresses.length])!
  }

  /** Starts all gateways anew, as after a loss of power. */
  startAll (): void {
    this._context.cancel('shutdown')
    this._context = CallContext.create(this.clock)
    this._archives = new Map()
    this._histories = []
    this.dead.clear()
    this._run++
    for (const self of this.addresses) this._start(self)
    this.list(this._versions)
  }

  async pass (milliseconds: number): Promise<void> {
    for (const until = this.clock.now() + milliseconds; this.clock.now() < until;) {
      this.clock.advanceTo(this.clock.now() + TICK_MILLISECONDS)
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  /** Dispatches streams at gateways in turn; returns which software each began at. */
  async begin (count: number, milliseconds: number): Promise<Map<string, SoftwareId>> {
    const begun = new Map<string, SoftwareId>()
    for (let index = 0; index < count; index++) {
      const software = this._versions[index % this._versions.length]
      this.archiveOf(index).record('model', streamKeyOf(`request-${this._run}-${index}`), { software, expiresAt: this.clock.now() + STREAM_MILLISECONDS })
      begun.set(`request-${this._run}-${index}`, software)
      if (index % 10 === 9) await this.pass(milliseconds / count * 10)
    }
    return begun
  }

  /** Looks streams up at gateways in turn; counts those that are found at the right software, and those at a wrong one. */
  async lookUp (begun: ReadonlyMap<string, SoftwareId>): Promise<{ right: number, wrong: number }> {
    let right = 0
    let wrong = 0
    for (const [index, [requestId, software]] of [...begun].entries()) {
      const result = await this.archiveOf(index).find(this._context, streamKeyOf(requestId))
      if (result.kind !== 'found') continue
      if (result.origin.software === software) right++
      else wrong++
    }
    return { right, wrong }
  }

  stop (): void {
    this._context.cancel('shutdown')
  }

  private _start (self: string): void {
    const history = SoftwareHistory.create(this.clock.now(), false)
    const archive = StreamArchive.create({
      store: this.store.service,
      keys: StoreKeys.create(),
      writer: `${self}/${this._run}`,
      history,
      addresses: { self, list: () => this.addresses } as never,
      socket: { sendStreamMessage: (bytes, address) => this._deliver(bytes, address) },
      clock: this.clock,
      instrumentation: Instrumentation.create(self, `run-${this._run}`, this.clock)
    })
    this._histories.push(history)
    this._archives.set(self, archive)
    void archive.run(this._context)
  }

  private _deliver (bytes: Uint8Array, address: string): void {
    if (this.dead.has(address)) return
    const message = decodeStreamMessage(Buffer.from(bytes), this.clock.now())._unsafeUnwrap()
    assert.equal(message.kind, 'archive')
    if (message.kind === 'archive') this._archives.get(address)!.accept(message.key, message.origin)
  }
}

describe('shards of the archive', () => {
  it('grow with the deployment and name the first bits of the key', () => {
    assert.deepEqual([1, 9, 32, 33, 85, 2600].map(shardBitsFor), [0, 0, 0, 1, 2, 7])
    assert.equal(shardOf('a5ffffffffffffff', 0), '')
    assert.equal(shardOf('a5ffffffffffffff', 3), '101')
    assert.equal(shardOf('a5ffffffffffffff', 7), '1010010')
  })

  it('have one writer that all gateways agree on, whatever the order in which they know each other', () => {
    const addresses = ['10.0.0.3:1', '10.0.0.1:1', '10.0.0.2:1']
    assert.equal(writerOf('01', addresses), writerOf('01', [...addresses].reverse()))
    assert.equal(writerOf('01', []), undefined)
  })
})

describe('batches of the archive', () => {
  const origin = { software: 'v1', expiresAt: 1000 }

  it('are the same until they were written, and of one shard each', () => {
    const batches = ArchiveBatches.create()
    batches.add('00', '0', origin)
    batches.add('80', '1', { software: 'v2', expiresAt: 1000 })
    batches.add('01', '0', { software: 'v2', expiresAt: 900 })
    const first = batches.next(0)!
    batches.add('02', '0', origin)
    assert.equal(batches.next(0), first)
    assert.deepEqual([first.shard, [...first.records], first.expiresAt], ['0', [['00', 'v1'], ['01', 'v2']], 1000])
    batches.recordWritten()
    assert.equal(batches.next(0)!.shard, '1')
  })

  it('leave out streams that no caller can resume any more', () => {
    const batches = ArchiveBatches.create()
    batches.add('00', '', origin)
    assert.equal(batches.next(1000), undefined)
    assert.equal(batches.isEmpty, true)
  })

  it('stay bounded while the store is down', () => {
    const batches = ArchiveBatches.create()
    for (let index = 0; index < 20_000; index++) batches.add(String(index), '', origin)
    let records = 0
    for (let batch = batches.next(0); batch; batch = batches.next(0)) {
      records += batch.records.size
      batches.recordWritten()
    }
    assert.equal(records, 5000)
  })

  // Guards against: a version that is the name of a property of every object ends the gateway that archives it.
  it('hold versions of any name', () => {
    const records = new Map([['00', '__proto__'], ['01', 'constructor'], ['02', 'v1'], ['03', 'v1']])
    const decoded = decodeArchiveRecords(encodeArchiveRecords(records))
    assert.deepEqual([decoded.get('01'), decoded.get('02'), decoded.get('03')], ['constructor', 'v1', 'v1'])
  })

  it('that can\'t be read hold nothing', () => {
    for (const value of ['', 'x', '[]', '{"v1":"00"}', '{"v1":[1]}', '{"":["00"]}']) assert.equal(decodeArchiveRecords(value).size, 0)
  })
})

describe('archive of stream origins', () => {
  for (const gateways of [1, 9, 85, 2600]) {
    // Guards against: with all gateways, the knowledge of the version of each stream is lost.
    it(`tells ${gateways} gateways after a loss of all which software began each stream`, async () => {
      const deployment = new ArchiveDeployment(gateways)
      deployment.list(['v1', 'v1.1'])
      const begun = await deployment.begin(200, 2000)
      await deployment.pass(200)
      deployment.startAll()
      assert.deepEqual(await deployment.lookUp(begun), { right: 200, wrong: 0 })
      deployment.stop()
    })
  }

  it('costs no call while one software serves', async () => {
    const deployment = new ArchiveDeployment(9)
    await deployment.begin(200, 2000)
    await deployment.pass(1000)
    assert.equal(deployment.store.calls, 0)
    deployment.stop()
  })

  it('costs few calls at 85 gateways, and small entries', async () => {
    const deployment = new ArchiveDeployment(85)
    deployment.list(['v1', 'v1.1'])
    await deployment.begin(2500, 10 * SECOND)
    await deployment.pass(300)
    assert.ok(deployment.store.calls <= 10 * 30, `${deployment.store.calls} calls in 10 s`)
    assert.ok([...deployment.store.entries.values()].every(value => value.length < LARGEST_CHANGE_VALUE_BYTES / 100))
    deployment.stop()
  })

  it('a writer that is dead costs only the streams of its time and shard, and none goes on at a wrong software', async () => {
    const deployment = new ArchiveDeployment(85)
    deployment.list(['v1', 'v1.1'])
    deployment.dead.add(writerOf('01', deployment.addresses)!)
    const begun = await deployment.begin(400, 4000)
    await deployment.pass(200)
    deployment.startAll()
    const { right, wrong } = await deployment.lookUp(begun)
    assert.equal(wrong, 0)
    assert.ok(right >= 400 * 0.6, `${right} of 400`)
    deployment.stop()
  })

  it('writes later what it could not write while the store was down, also when responses are lost', async () => {
    const deployment = new ArchiveDeployment(9)
    deployment.list(['v1', 'v1.1'])
    deployment.store.isDown = true
    const begun = await deployment.begin(100, 1000)
    assert.deepEqual(await deployment.lookUp(begun), { right: 0, wrong: 0 })
    deployment.store.isDown = false
    deployment.store.losesResponses = true
    await deployment.pass(1000)
    deployment.store.losesResponses = false
    await deployment.pass(1000)
    deployment.startAll()
    assert.deepEqual(await deployment.lookUp(begun), { right: 100, wrong: 0 })
    deployment.stop()
  })

  it('is the same for gateways that count fewer gateways than those that wrote', async () => {
    const deployment = new ArchiveDeployment(85)
    deployment.list(['v1', 'v1.1'])
    const begun = await deployment.begin(200, 1000)
    await deployment.pass(300)
    deployment.addresses.length = 40
    deployment.startAll()
    assert.deepEqual(await deployment.lookUp(begun), { right: 200, wrong: 0 })
    deployment.stop()
  })

  it('reads a shard once for all requests that wait for it', async () => {
    const deployment = new ArchiveDeployment(1)
    deployment.list(['v1', 'v1.1'])
    await deployment.begin(50, 500)
    await deployment.pass(300)
    deployment.startAll()
    const before = deployment.store.calls
    await Promise.all(Array.from({ length: 50 }, async (_, index) => await deployment.archiveOf(0).find(CallContext.create(deployment.clock), streamKeyOf(`request-1-${index}`) as StreamKey)))
    assert.equal(deployment.store.calls, before + 1)
    deployment.stop()
  })
})
