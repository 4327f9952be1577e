import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { CallContext, MonotonicClock, setLogLevel } from '@plumstage/common'
import { HttpInstanceList } from '@plumstage/coordination'

setLogLevel('silent')

const INSTANCE = { pool: 'engines', address: '10.0.0.1:9000', failureDomain: 'east', instanceClass: 'standard', incarnation: 'a', state: 'live' }

/** Serves a document as the list until the test ends. */
async function read (test: TestContext, document: unknown) {
  const server = createServer((_request, response) => response.end(JSON.stringify(document)))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  test.after(() => server.close())
  const list = HttpInstanceList.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  return await list.list(CallContext.create(MonotonicClock.create()))
}

describe('instance list', () => {
  // Guards against: one odd instance hides all others, or ends the gateway at the first connection to it.
  it('leaves out instances that can\'t be read, and lists the others', async test => {
    const odd = [{ address: '127.0.0.1:80800' }, { address: '127.0.0.300:80' }, { address: 7 }, { state: 'resting' }, { deadline: 1e300 }, { deadline: -1 }, { pool: null }].map(fields => ({ ...INSTANCE, ...fields }))
    const listed = (await read(test, { instances: [...odd, null, [], INSTANCE, 'text', { ...INSTANCE, address: '[::1]:9000' }] }))._unsafeUnwrap()
    assert.deepEqual(listed.map(({ address }) => address), ['10.0.0.1:9000', '[::1]:9000'])
  })

  it('is not read at all when it is no list', async test => {
    for (const document of [[], {}, { instances: 7 }, null]) assert.equal((await read(test, document)).isErr(), true)
  })
})
