import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CallContext, ConnectionResets, MonotonicClock, SeededRandom } from '@plumstage/common'
import type { KeyValueError } from '@plumstage/coordination'
import { CloudAdapter, StoreAdapter } from '@plumstage/platform'
import type { Result } from 'neverthrow'
import { RawServer } from './support/rawServer.js'
import type { RawEnding } from './support/rawServer.js'

const SEED = Number(process.env.SEED ?? 1)
/** Cuts that are tried of each response. */
const CUTS = Number(process.env.CUTS ?? 30)
const ENDINGS: readonly RawEnding[] = ['closed', 'reset']
const ITEM = { key: 'a', value: 'MQ==', revision: 12, created: 12, lease: 0 }
const HOLDER = { name: 'edge', fencingNumber: 3, mayAct: () => true }
const REPORT = { window: 7, counts: new Map([['notaries', 2]]) }
const ORDER = { service: 'front', failureDomain: 'east', desired: 2, reclaimable: false }

/** Formats a response in each of the framings. */
function formatFramings (status: string, body: string): string[] {
  const head = `HTTP/1.1 ${status}\r\nStore-Era: 1\r\nContent-Type: application/json\r\n`
  return [
    `${head}Content-Length: ${body.length}\r\n\r\n${body}`,
    `${head}Content-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
    `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    `${head}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
  ]
}

/** Formats a response that ends with its connection. */
function formatUnframed (status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\nStore-Era: 1\r\n\r\n${body}`
}

describe('responses of the platform that are cut', () => {
  const clock = MonotonicClock.create()
  let server: RawServer
  let store: StoreAdapter
  let cloud: CloudAdapter
  let context: CallContext
  let random: SeededRandom
  beforeEach(async () => {
    server = await RawServer.create()
    store = StoreAdapter.create(server.address, clock)
    cloud = CloudAdapter.create(server.address, ConnectionResets.create(clock))
    context = CallContext.create(clock)
    random = SeededRandom.create(SEED)
  })
  afterEach(async () => {
    context.cancel('shutdown')
    await server.stop()
  })

  /** Calls with each response cut at some bytes; returns those of which the call made something else than `expected`. */
  async function listMistaken (wholes: readonly string[], call: () => Promise<string>, expected: string): Promise<string[]> {
    const mistaken: string[] = []
    for (const whole of wholes) {
      for (const ending of ENDINGS) {
        server.ending = ending
        const cuts = Array.from({ length: CUTS }, () => random.nextInteger(0, whole.length - 1))
        for (const length of [whole.length - 1, whole.indexOf('\r\n\r\n') + 4, ...cuts]) {
          server.text = whole.slice(0, length)
          const outcome = await call()
          if (outcome !== expected) mistaken.push(`${ending} behind ${JSON.stringify(server.text.slice(-60))}: ${outcome}`)
        }
      }
    }
    return mistaken
  }

  function describeOutcome (result: Result<unknown, KeyValueError>): string {
    return result.isErr() ? result.error.kind : `ok ${JSON.stringify(result.value)}`
  }

  // What the other statuses say is in their bodies; these two say it themselves, so that they hold without a body too.
  const complete = new Set(['404 Not Found', '412 Precondition Failed'])
  const calls: Record<string, { status: string, document: unknown, call: () => Promise<Result<unknown, KeyValueError>> }> = {
    'a key': { status: '200 OK', document: ITEM, call: async () => await store.get(context, 'a') },
    'a key that does not exist': { status: '404 Not Found', document: { current_rev: 12 }, call: async () => await store.get(context, 'a') },
    'a range': { status: '200 OK', document: { items: [ITEM], more_pages: false, current_rev: 12 }, call: async () => await store.list(context, '') },
    'a watch': { status: '200 OK', document: { events: [ITEM], current_rev: 12 }, call: async () => (await store.watch(context, '', { era: 1, revision: 11 })[Symbol.asyncIterator]().next()).value },
    'a write': { status: '200 OK', document: { revision: 13 }, call: async () => await write() },
    'a write whose condition fails': { status: '412 Precondition Failed', document: { items: [ITEM] }, call: async () => await write() },
    'a lease': { status: '200 OK', document: { lease: 5, ttl_ms: 3000 }, call: async () => await store.grantLease(context, 3) },
    'a renewal': { status: '200 OK', document: { ttl_ms: 3000 }, call: async () => await store.keepLeaseAlive(context, (1n << 64n) + 5n) }
  }

  async function write (): Promise<Result<unknown, KeyValueError>> {
    return await store.transact(context, { conditions: [{ kind: 'create-revision', key: 'a', revision: 0 }], onSuccess: [{ kind: 'put', key: 'a', value: '1' }], onFailure: [{ kind: 'get', key: 'a' }] })
  }

  for (const [name, { status, document, call }] of Object.entries(calls)) {
    // Guards against: a response of the store that is cut is taken as data, or a write without a whole response as done or refused.
    it(`of the store are not taken as data: ${name}`, async () => {
      const body = JSON.stringify(document)
      await observeEra()
      const unframed = complete.has(status) ? [] : [formatUnframed(status, body)]
      const mistaken = await listMistaken([...formatFramings(status, body), ...unframed], async () => describeOutcome(await call()), 'ambiguous')
      assert.deepEqual(mistaken, [])
    })
  }

  /** Leases and watches belong to an era, so the adapter has to have heard of it. */
  async function observeEra (): Promise<void> {
    server.text = formatFramings('200 OK', JSON.stringify(ITEM))[0]
    await store.get(context, 'a')
  }

  // Guards against: an empty response of the store with a success status is taken as an empty range or as a write that is done.
  it('of the store are not taken as data: without a body', async () => {
    assert.deepEqual(await listOthersThanAmbiguous([formatFramings('200 OK', '')[0], formatFramings('200 OK', '{}')[0], formatUnframed('200 OK', '')]), [])
  })

  // Guards against: a write counts as not done although the response only shows that something else than expected happened.
  it('of the store with statuses that it does not state for a call leave open what was written', async () => {
    const statuses = ['201 Created', '204 No Content', '302 Found', '500 Internal Server Error', '502 Bad Gateway', '504 Gateway Timeout']
    assert.deepEqual(await listOthersThanAmbiguous(statuses.map(status => formatUnframed(status, ''))), [])
  })

  // Guards against: a refusal by the store, after which nothing was written, counts as an unknown outcome.
  it('of the store that refuse a write say that nothing was written', async () => {
    await observeEra()
    for (const status of ['400 Bad Request', '403 Forbidden', '404 Not Found', '429 Too Many Requests', '503 Service Unavailable']) {
      server.text = formatUnframed(status, '{}')
      assert.equal(describeOutcome(await write()), 'refused', status)
    }
  })

  /** Makes each call with each response; returns the outcomes that leave nothing open. */
  async function listOthersThanAmbiguous (texts: readonly string[]): Promise<string[]> {
    await observeEra()
    const outcomes: string[] = []
    for (const text of texts) {
      server.text = text
      for (const [name, { call }] of Object.entries(calls)) {
        const outcome = describeOutcome(await call())
        if (outcome !== 'ambiguous') outcomes.push(`${name}, ${JSON.stringify(text)}: ${outcome}`)
      }
    }
    return outcomes
  }

  // Guards against: a call to the cloud whose response is cut counts as accepted and is not repeated.
  it('of the cloud do not count as accepted when they are cut', async () => {
    const wholes = formatFramings('200 OK', '{"accepted":true}')
    const report = async (): Promise<string> => (await cloud.reportUsage(context, HOLDER, REPORT)).unwrapOr('unanswered')
    const order = async (): Promise<string> => (await cloud.orderUpstreams(context, HOLDER, ORDER)).unwrapOr('unanswered')
    assert.deepEqual([...await listMistaken(wholes, report, 'unanswered'), ...await listMistaken(wholes, order, 'unanswered')], [])
  })

  // Guards against: a whole response is taken as a cut one, so that calls to the cloud are repeated for ever.
  it('of the cloud count as accepted when they are whole', async () => {
    const outcomes: string[] = []
    for (const text of [...formatFramings('200 OK', '{}'), ...formatFramings('200 OK', ''), formatUnframed('200 OK', '{}'), formatUnframed('200 OK', ''), formatFramings('200 OK', 'x'.repeat(300_000))[0]]) {
      server.text = text
      outcomes.push((await cloud.reportUsage(context, HOLDER, REPORT)).unwrapOr('unanswered'))
    }
    assert.deepEqual(new Set(outcomes), new Set(['accepted']))
  })
})
