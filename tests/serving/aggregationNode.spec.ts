import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AggregationTree } from '@plumstage/serving'
import { AggregationNetwork } from '../support/aggregationNetwork.js'
import type { AggregatingGateway, GatewayCondition } from '../support/aggregationNetwork.js'

/** Upper bound of what a gateway may send or receive for control. */
const MAXIMUM_BYTES_PER_SECOND = 5000
const STATE = { upstreams: 60, workspaces: 19 }
const WARM_UP_MILLISECONDS = 3000
const RUN_SECONDS = 6
const SAMPLE_MILLISECONDS = 50
const PERCENTILE = 0.95

/** Runs the network while one gateway changes its load all the time, and returns how old the others' knowledge of it is. */
function measureAges (network: AggregationNetwork, source: AggregatingGateway, milliseconds: number): number[] {
  const ages: number[] = []
  network.run(milliseconds, () => {
    source.requests = network.now
    if (network.now % SAMPLE_MILLISECONDS !== 0) return
    for (const gateway of network.running) {
      const known = network.knownRequests(gateway) - gateway.requests
      if (gateway !== source && known > 0) ages.push(network.now - known)
    }
  })
  return ages.sort((left, right) => left - right)
}

function percentileOf (ages: readonly number[]): number {
  return ages[Math.floor(ages.length * PERCENTILE)]
}

function everyTenth (network: AggregationNetwork): AggregatingGateway[] {
  return network.ranked.filter((_, rank) => rank % 10 === 3)
}

function setCondition (gateways: readonly AggregatingGateway[], condition: GatewayCondition): void {
  for (const gateway of gateways) gateway.condition = condition
}

describe('aggregation rounds', () => {
  for (const count of [17, 72, 89, 195, 600, 2600]) {
    // Guards against: cost and age of what gateways know of each other grow with their number.
    it(`keep the sums of ${count} gateways recent at a bounded cost for each`, () => {
      const network = AggregationNetwork.create(count, STATE)
      const source = network.gateways[Math.floor(count / 2)]
      measureAges(network, source, WARM_UP_MILLISECONDS)
      for (const gateway of network.gateways) Object.assign(gateway, { sentBytes: 0, receivedBytes: 0 })
      const age = percentileOf(measureAges(network, source, RUN_SECONDS * 1000))
      assert.ok(age <= (count <= 195 ? 1000 : 2500), `${age} ms`)
      const bytes = Math.max(...network.gateways.flatMap(({ sentBytes, receivedBytes }) => [sentBytes, receivedBytes])) / RUN_SECONDS
      assert.ok(bytes <= MAXIMUM_BYTES_PER_SECOND, `${bytes} bytes a second`)
      assert.deepEqual(new Set(network.gateways.map(({ gateways }) => gateways)), new Set([count]))
    })
  }

  for (const condition of ['killed', 'frozen', 'cut off'] as const) {
    it(`stay recent when a tenth of 195 gateways is ${condition}, and count these no more`, () => {
      const network = AggregationNetwork.create(195)
      const source = network.ranked[100]
      measureAges(network, source, WARM_UP_MILLISECONDS)
      setCondition(everyTenth(network), condition)
      const age = percentileOf(measureAges(network, source, RUN_SECONDS * 1000))
      assert.ok(age <= 1000, `${age} ms`)
      for (const gateway of network.running) assert.equal(gateway.gateways, network.running.length, gateway.address)
    })
  }

  it('know within two seconds which gateways have gone, and within two which are back', () => {
    const network = AggregationNetwork.create(195)
    network.run(WARM_UP_MILLISECONDS)
    const gone = everyTenth(network)
    setCondition(gone, 'killed')
    network.run(2000)
    for (const gateway of network.running) assert.equal(gateway.gateways, 195 - gone.length)
    for (const gateway of gone) network.restart(gateway)
    network.run(2000)
    for (const gateway of network.running) assert.equal(gateway.gateways, 195)
  })

  it('go on when the gateways that rank first are gone, and when they are back', () => {
    const network = AggregationNetwork.create(195)
    network.run(WARM_UP_MILLISECONDS)
    const first = network.ranked.slice(0, 3)
    setCondition(first, 'killed')
    network.run(3500)
    for (const gateway of network.running) assert.equal(gateway.gateways, 192)
    for (const gateway of first) network.restart(gateway)
    network.run(3000)
    for (const gateway of network.running) assert.equal(gateway.gateways, 195)
  })

  it('continue in both parts of a deployment that is divided, and come together afterwards', () => {
    const network = AggregationNetwork.create(60)
    network.run(WARM_UP_MILLISECONDS)
    const apart = network.gateways.slice(20, 30)
    setCondition(apart, 'cut off')
    network.run(4000)
    for (const gateway of network.running) assert.equal(gateway.gateways, 50)
    setCondition(apart, 'running')
    network.run(3000)
    for (const gateway of network.running) assert.equal(gateway.gateways, 60)
  })

  it('never count a gateway twice while one message in fifty is lost, and count nine tenths of them', () => {
    const network = AggregationNetwork.create(195)
    network.lossShare = 0.02
    for (const gateway of network.gateways) gateway.requests = 1
    network.run(WARM_UP_MILLISECONDS)
    const counts: number[] = []
    network.run(RUN_SECONDS * 1000, () => {
      if (network.now % SAMPLE_MILLISECONDS !== 0) return
      for (const gateway of network.running) {
        assert.ok(gateway.gateways <= 195, `${gateway.gateways} gateways`)
        counts.push(gateway.gateways)
      }
    })
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length
    assert.ok(mean >= 0.9 * 195, `${mean} gateways on average`)
  })

  // Guards against: all gateways start rounds of their own when the deployment has grown beyond a mesh.
  it('begin at one root when they begin at all gateways at the same time', () => {
    const network = AggregationNetwork.create(60)
    network.startsRounds = false
    network.run(5000)
    assert.ok(network.gateways.every(({ sentBytes }) => sentBytes === 0))
    network.startsRounds = true
    const roots = new Set<string>()
    network.run(2000, () => { for (const { node } of network.gateways) roots.add(node.root) })
    assert.deepEqual(new Set(network.gateways.map(({ gateways }) => gateways)), new Set([60]))
    roots.delete('')
    assert.equal(roots.size, 1)
  })

  it('leave out the own state of each gateway', () => {
    const network = AggregationNetwork.create(40)
    network.gateways.forEach((gateway, index) => { gateway.requests = index })
    network.run(WARM_UP_MILLISECONDS)
    for (const gateway of network.gateways) assert.equal(network.knownRequests(gateway), 780)
  })
})

describe('aggregation tree', () => {
  const members = Array.from({ length: 10 }, (_, index) => ({ address: `10.1.0.${index}:7600`, processorCores: index === 7 ? 2 : 1 }))

  it('has each member below one other, and the one with the most processor cores at the root', () => {
    const tree = AggregationTree.create(members)
    const below = members.flatMap(({ address }) => tree.childrenOf(address))
    assert.equal(tree.positionOf('10.1.0.7:7600'), 0)
    assert.deepEqual(new Set([...below, '10.1.0.7:7600']).size, 10)
    assert.equal(below.length, 9)
  })

  it('is the same for all orders of the members, and has nothing below a gateway that is not a member', () => {
    const tree = AggregationTree.create(members)
    const reversed = AggregationTree.create([...members].reverse())
    for (const { address } of members) assert.deepEqual(tree.childrenOf(address), reversed.childrenOf(address))
    assert.deepEqual(tree.childrenOf('10.9.9.9:1'), [])
  })

  it('lets an acting root reach all members but those that rank before it', () => {
    const tree = AggregationTree.create(members)
    for (const { address } of members) {
      const reached = new Set<string>()
      const visit = (addresses: readonly string[]): void => addresses.forEach(each => { reached.add(each); visit(tree.childrenOf(each)) })
      visit(tree.childrenOfActingRoot(address))
      const missing = members.filter(member => !reached.has(member.address) && member.address !== address)
      for (const member of missing) assert.ok(tree.positionOf(member.address) < tree.positionOf(address))
    }
  })
})
