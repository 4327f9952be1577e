import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ok } from 'neverthrow'
import { CallContext, Instrumentation, VirtualClock } from '@plumstage/common'
import type { KeyValueEntry } from '@plumstage/coordination'
import { DeploymentAdapter } from '@plumstage/platform'
import { OriginLookup, OriginReplicas, SoftwareHistory, SoftwareHistoryTask, StreamOrigins, UpstreamTable, decodeStreamMessage, encodeStreamMessage, softwareOf, streamExpiryOf, streamKeyOf } from '@plumstage/serving'

import type { ListedUpstream, SoftwareHistoryTaskOptions, StreamMessage } from '@plumstage/serving'

const MINUTE_MILLISECONDS = 60_000
const STREAM_LIFETIME_MILLISECONDS = 600_000

function createListed (id: string, softwareVersion: string | undefined, service = 'model'): ListedUpstream {
  return { id, incarnation: '1', service, address: '10.2.0.1:90', failureDomain: 'east', softwareVersion, capacity: 64, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
}

function listAddresses (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.1.${Math.floor(index / 256)}.${index % 256}:7600`)
}

describe('software of an upstream', () => {
  it('is equal only for the same stated version', () => {
    assert.equal(softwareOf(createListed('i-1', 'v1')), softwareOf(createListed('i-2', 'v1')))
    assert.notEqual(softwareOf(createListed('i-1', 'v1')), softwareOf(createListed('i-2', 'v1.1')))
    assert.notEqual(softwareOf(createListed('i-1', undefined)), softwareOf(createListed('i-2', undefined)))
    assert.notEqual(softwareOf(createListed('i-1', undefined)), softwareOf({ ...createListed('i-1', undefined), incarnation: '2' }))
  })

  it('changes when an upstream starts again under its id with another version', () => {
    const table = UpstreamTable.create()
    table.apply([createListed('i-1', 'v1')], 0)
    const before = table.get('i-1')!
    assert.deepEqual(table.apply([createListed('i-1', 'v2')], 1), [before])
    assert.equal(table.get('i-1')!.software, 'v2')
  })
})

describe('stream origins', () => {
  it('keep the first record of a stream until no caller can resume it', () => {
    const origins = StreamOrigins.create()
    const key = streamKeyOf('r-1')
    origins.add(key, { software: 'v1', expiresAt: 1000 }, 0)
    origins.add(key, { software: 'v2', expiresAt: 2000 }, 10)
    assert.equal(origins.find(key, 999)?.software, 'v1')
    assert.equal(origins.find(key, 1000), undefined)
    assert.equal(origins.find(streamKeyOf('r-2'), 0), undefined)
  })

  it('are bounded, and drop the oldest first', () => {
    const origins = StreamOrigins.create()
    for (let index = 0; index < 50_000; index++) origins.add(streamKeyOf(`r-${index}`), { software: 'v1', expiresAt: MINUTE_MILLISECONDS }, index / 1000)
    assert.ok(origins.size <= 20_000)
    assert.ok(origins.find(streamKeyOf('r-49999'), 60))
    assert.equal(origins.find(streamKeyOf('r-0'), 60), undefined)
  })
})

describe('replicas of a stream origin', () => {
  for (const count of [2, 3, 9, 16, 17, 89, 2600]) {
    it(`are asked by each of ${count} gateways, also when a third has been killed and as many have just started`, () => {
      const addresses = listAddresses(count)
      for (let stream = 0; stream < 40; stream++) {
        const key = streamKeyOf(`r-${stream}`)
        const replicas = OriginReplicas.create(addresses, addresses[0]).chooseReplicas(key)
        assert.equal(replicas.length, Math.min(count - 1, count <= 16 ? 3 : 2))
        const alive = addresses.filter((_, index) => index % 3 !== 1)
        const later = [...alive, ...listAddresses(count + Math.floor(count / 3)).slice(count)]
        const resumer = alive.at(-1)!
        const asked = OriginReplicas.create(later, resumer).chooseAskedGateways(key)
        assert.ok(asked.length <= 16)
        for (const replica of replicas) if (alive.includes(replica) && replica !== resumer) assert.ok(asked.includes(replica), `${stream}: ${replica}`)
      }
    })
  }

  it('are spread evenly over 2,600 gateways', () => {
    const addresses = listAddresses(2600)
    const counts = new Map<string, number>()
    const replicas = OriginReplicas.create(addresses, addresses[0])
    for (let stream = 0; stream < 2000; stream++) for (const replica of replicas.chooseReplicas(streamKeyOf(`r-${stream}`))) counts.set(replica, (counts.get(replica) ?? 0) + 1)
    assert.ok(Math.max(...counts.values()) <= 10)
  })
})

describe('lookup of a stream origin', () => {
  const origin = { software: 'v1', expiresAt: 1000 }

  it('is settled by the first gateway that knows the stream', () => {
    const lookup = OriginLookup.create(['a', 'b', 'c'])
    lookup.recordReply('b', undefined)
    assert.equal(lookup.isSettled, false)
    lookup.recordReply('c', origin)
    assert.deepEqual([lookup.isSettled, lookup.result], [true, { kind: 'found', origin }])
  })

  it('does not take a stream for unknown to all when no gateway could be asked', () => {
    const lookup = OriginLookup.create([])
    assert.deepEqual([lookup.isSettled, lookup.result], [true, { kind: 'unanswered' }])
  })

  it('tells a stream that nobody knows from gateways that do not answer', () => {
    const lookup = OriginLookup.create(['a', 'b'])
    lookup.recordReply('a', undefined)
    lookup.recordReply('stranger', undefined)
    assert.deepEqual([lookup.unanswered, lookup.result], [['b'], { kind: 'unanswered' }])
    lookup.recordReply('b', undefined)
    assert.deepEqual(lookup.result, { kind: 'not-found' })
  })
})

describe('software history', () => {
  const v1 = [createListed('i-1', 'v1'), createListed('i-2', 'v1')]
  const v2 = [createListed('i-3', 'v2')]

  it('names the only software since the first start of the system', () => {
    const history = SoftwareHistory.create(0, true)
    history.observe(v1, 0)
    assert.equal(history.onlySoftwareOf('model', 0), undefined)
    history.applyStored({ kind: 'absent' })
    assert.equal(history.onlySoftwareOf('model', 0), 'v1')
    assert.equal(history.onlySoftwareOf('other', 0), undefined)
  })

  it('names none while two versions may have begun streams, and the second one when no caller can resume a stream of the first', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    history.observe([...v1, ...v2], 1000)
    assert.equal(history.onlySoftwareOf('model', 1000), undefined)
    history.observe(v2, 600_000)
    assert.equal(history.onlySoftwareOf('model', 600_000), undefined)
    assert.equal(history.onlySoftwareOf('model', 601_000), 'v2')
  })

  it('does not guess after a restart: what the store names counts, and without it the longest life of a stream has to pass', () => {
    const known = SoftwareHistory.create(0, false)
    known.applyStored({ kind: 'known', software: ['model@v1', 'model@v2'] })
    known.observe(v2, 0)
    assert.equal(known.onlySoftwareOf('model', 10_000), undefined)
    for (const stored of [{ kind: 'absent' }, { kind: 'unknown' }] as const) {
      const unknown = SoftwareHistory.create(0, false)
      unknown.applyStored(stored)
      for (let now = 0; now < STREAM_LIFETIME_MILLISECONDS; now += 1000) {
        unknown.observe(v2, now)
        assert.equal(unknown.onlySoftwareOf('model', now), undefined)
      }
      assert.equal(unknown.onlySoftwareOf('model', STREAM_LIFETIME_MILLISECONDS), 'v2')
    }
  })

  it('keeps what it has seen when the store comes back from an older copy', () => {
    const history = SoftwareHistory.create(0, false)
    history.applyStored({ kind: 'known', software: ['model@v1'] })
    history.observe([...v1, ...v2], 0)
    history.applyStored({ kind: 'absent' })
    history.observe(v1, 1000)
    assert.equal(history.onlySoftwareOf('model', 1000), undefined)
    assert.deepEqual(history.planWrite(1000), ['model@v1', 'model@v2'])
  })

  // Guards against: an entry that the store has come back to counts as complete, although software that came later is lost.
  it('does not infer from an entry of an earlier era of the store until it is written again', () => {
    const newcomer = SoftwareHistory.create(0, false)
    newcomer.observe(v1, 0)
    const task = SoftwareHistoryTask.create({ key: 'software', history: newcomer, decoder: DeploymentAdapter.create(), clock: VirtualClock.create() } as unknown as SoftwareHistoryTaskOptions)
    const write = (era: number): KeyValueEntry => ({ key: 'software', value: JSON.stringify({ software: ['model@v1'], era }), createRevision: 5, modRevision: 5 })
    task.onSnapshot([write(1)], { era: 2, revision: 9 })
    assert.equal(newcomer.onlySoftwareOf('model', 1000), undefined)
    assert.equal(newcomer.planWrite(1000), undefined)
    task.onChanges([{ kind: 'put', entry: write(2) }])
    assert.equal(newcomer.onlySoftwareOf('model', 2000), 'v1')
  })

  // Guards against: a version that has come and gone while a gateway stood still is never heard of there.
  it('names a version whose upstreams came and went within one batch of changes', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    history.observe(v1, 0)
    const task = SoftwareHistoryTask.create({ key: 'software', history, decoder: DeploymentAdapter.create(), clock: VirtualClock.create() } as unknown as SoftwareHistoryTaskOptions)
    const value = JSON.stringify({ service: 'model', address: '10.2.0.1:90', zone: 'east', version: 'v2', capacity: 64, state: 'ready', warmup_left_ms: 0, seq: 1 })
    task.onChanges([{ kind: 'put', entry: { key: 'servers/i-3', value, createRevision: 6, modRevision: 6 } }, { kind: 'delete', key: 'servers/i-3', modRevision: 7 }])
    assert.equal(history.onlySoftwareOf('model', 0), undefined)
  })

  // Guards against: nobody writes which versions there are while the one gateway that is to do so stands still.
  it('is written by the next gateways when the first one does not', async () => {
    const addresses = listAddresses(4)
    const writtenAt: number[] = []
    for (const self of addresses) {
      const clock = VirtualClock.create()
      const context = CallContext.create(clock)
      const history = SoftwareHistory.create(0, true)
      history.applyStored({ kind: 'absent' })
      const transact = async (): Promise<unknown> => {
        writtenAt.push(clock.now())
        context.cancel('shutdown')
        return ok({ succeeded: true })
      }
      const task = SoftwareHistoryTask.create({ key: 'software', history, decoder: DeploymentAdapter.create(), store: { era: 0, transact }, addresses: { list: () => addresses, self }, view: { listUpstreams: () => v1 }, clock, instrumentation: Instrumentation.create('edge-1', 'run', clock) } as unknown as SoftwareHistoryTaskOptions)
      void task.run(context)
      for (let now = 0; now <= 8000; now += 500) {
        await new Promise(resolve => setImmediate(resolve))
        clock.advanceTo(now)
      }
    }
    assert.deepEqual(writtenAt.sort((left, right) => left - right), [0, 2000, 3000, 5000])
  })

  // Guards against: a gateway that was cut off while another version began streams takes its own view for the whole system's.
  it('does not infer the software of a stream that began with a version of which only the store\'s entry tells', () => {
    const history = SoftwareHistory.create(0, true)
    history.observe([createListed('i-1', 'v1')], 0)
    history.applyStored({ kind: 'known', software: ['model@v1'] })
    const returned = STREAM_LIFETIME_MILLISECONDS + 60_000
    for (let now = 0; now <= returned; now += 1000) history.observe([createListed('i-1', 'v1')], now)
    history.applyStored({ kind: 'known', software: ['model@v1', 'model@v2'] })
    assert.equal(history.onlySoftwareOf('model', returned), undefined)
    assert.equal(history.planWrite(returned), undefined)
  })

  it('writes an entry of an earlier era again at a gateway that knows all software', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    history.observe(v1, 0)
    history.applyStored({ kind: 'outdated', software: ['model@v1'] })
    assert.deepEqual(history.planWrite(1000), ['model@v1'])
  })

  it('never names upstreams that state no version', () => {
    const history = SoftwareHistory.create(0, true)
    history.applyStored({ kind: 'absent' })
    history.observe([createListed('i-1', undefined)], 0)
    assert.equal(history.onlySoftwareOf('model', 0), undefined)
  })

  it('plans a write only when the entry of the store has to change', () => {
    const history = SoftwareHistory.create(0, true)
    history.observe(v1, 0)
    assert.equal(history.planWrite(0), undefined)
    history.applyStored({ kind: 'absent' })
    assert.deepEqual(history.planWrite(0), ['model@v1'])
    history.applyStored({ kind: 'known', software: ['model@v1'] })
    assert.equal(history.planWrite(0), undefined)
  })
})

describe('expiry of a stream', () => {
  it('follows the time limit of its caller, within bounds', () => {
    assert.equal(streamExpiryOf(1000, 15_000), 21_000)
    assert.equal(streamExpiryOf(1000, undefined), 66_000)
    assert.equal(streamExpiryOf(1000, 10 * STREAM_LIFETIME_MILLISECONDS), 601_000)
  })
})

describe('stream message', () => {
  const key = streamKeyOf('r-1')

  it('is unchanged by encoding and decoding, by the clocks of both gateways', () => {
    const messages: StreamMessage[] = [
      { kind: 'origin', key, origin: { software: 'v1', expiresAt: 9000 } },
      { kind: 'query', key },
      { kind: 'reply', key },
      { kind: 'reply', key, origin: { software: 'v1', expiresAt: 9000 } }
    ]
    for (const message of messages) {
      const decoded = decodeStreamMessage(encodeStreamMessage(message, 1000), 501_000)._unsafeUnwrap()
      const expected = 'origin' in message && message.origin ? { ...message, origin: { ...message.origin, expiresAt: 509_000 } } : { ...message, ...(message.kind === 'reply' ? { origin: undefined } : {}) }
      assert.deepEqual(decoded, expected)
    }
  })

  it('is rejected when it can\'t be read', () => {
    const empty = encodeStreamMessage({ kind: 'origin', key, origin: { software: '', expiresAt: 0 } }, 0)
    const shortKey = encodeStreamMessage({ kind: 'query', key: 'ab' }, 0)
    for (const bytes of [Buffer.from('garbage'), Buffer.alloc(0), empty, shortKey]) assert.equal(decodeStreamMessage(bytes, 0).isErr(), true)
  })
})
