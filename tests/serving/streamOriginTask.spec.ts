import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CallContext, Instrumentation, VirtualClock } from '@plumstage/common'
import { SoftwareHistory, StreamOriginTask } from '@plumstage/serving'
import type { ListedUpstream, LookupResult, StreamOriginTaskOptions } from '@plumstage/serving'

const SERVICE = 'model'

function createListed (id: string, softwareVersion: string): ListedUpstream {
  return { id, incarnation: '1', service: SERVICE, address: '10.2.0.1:90', failureDomain: 'east', softwareVersion, capacity: 64, state: 'ready', reclaimable: false, warmupMilliseconds: 0 }
}

/** A gateway without peers that knows upstreams of one version; `confirm` tells whether it has caught up with the store. */
function createTask (confirm: (history: SoftwareHistory) => boolean, isFollowingStore = true, archived: LookupResult = { kind: 'not-found' }) {
  const clock = VirtualClock.create()
  const history = SoftwareHistory.create(0, true)
  history.applyStored({ kind: 'absent' })
  history.observe([createListed('i-1', 'v1')], 0)
  const options = {
    socket: { onStreamMessage: () => {}, sendStreamMessage: () => {} },
    addresses: { list: () => ['10.1.0.1:7600'], self: '10.1.0.1:7600', version: 1 },
    history,
    archive: { find: async () => archived },
    isFollowingStore: () => isFollowingStore,
    catchUp: { confirm: async () => confirm(history) },
    context: CallContext.create(clock),
    clock,
    instrumentation: Instrumentation.create('edge-1', 'run', clock)
  }
  return StreamOriginTask.create(options as unknown as StreamOriginTaskOptions)
}

describe('stream origin without a record', () => {
  for (const requestId of ['r-1', undefined]) {
    const named = requestId === undefined ? 'not named' : 'named'

    it(`is the only version once this gateway has caught up with the store, if the request is ${named}`, async () => {
      const result = await createTask(() => true).find(SERVICE, requestId)
      assert.equal(result.kind === 'found' && result.origin.software, 'v1')
    })

    // Guards against: a gateway that was out of step takes the only version that it knows for the one that began a stream.
    it(`is not known to a gateway that can't tell whether it has caught up, if the request is ${named}`, async () => {
      assert.equal((await createTask(() => false).find(SERVICE, requestId)).kind, 'unanswered')
      assert.equal((await createTask(() => true, false).find(SERVICE, requestId)).kind, 'unanswered')
    })

    it(`is not inferred when another version has joined in between, if the request is ${named}`, async () => {
      const task = createTask(history => {
        history.observe([createListed('i-2', 'v2')], 0)
        return true
      })
      assert.notEqual((await task.find(SERVICE, requestId)).kind, 'found')
    })
  }

  it('is what the archive holds when another version has joined in between', async () => {
    const task = createTask(history => {
      history.observe([createListed('i-2', 'v2')], 0)
      return true
    }, true, { kind: 'found', origin: { software: 'v2', expiresAt: 1000 } })
    const result = await task.find(SERVICE, 'r-1')
    assert.equal(result.kind === 'found' && result.origin.software, 'v2')
  })
})
