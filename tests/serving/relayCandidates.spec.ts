import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PeerTable, listRelayCandidates } from '@plumstage/serving'
import type { GatewayReport } from '@plumstage/serving'

const OWN = '10.0.0.1:7600'
const NOW = 1000

function createReport (name: string, fields: Partial<GatewayReport>): GatewayReport {
  return { name, incarnation: 'a', sequence: 1, failureDomain: 'east', leaving: false, configuration: undefined, upstreams: { era: 1, revision: 1 }, loads: [], uses: [], windows: [], suspicions: [], partSuspicions: [], demands: [], knownAddresses: [], limits: [], links: 'working', ...fields }
}

function createPeers (reports: ReadonlyArray<Partial<GatewayReport>>): PeerTable {
  const peers = PeerTable.create({ address: OWN, processorCores: 1 })
  reports.forEach((fields, index) => peers.apply(createReport(`edge-${index + 2}`, fields), `10.0.0.${index + 2}:7600`, NOW))
  return peers
}

describe('candidates for tunnels', () => {
  it('are the peers that are heard, with the state of their links', () => {
    const candidates = listRelayCandidates(createPeers([{ links: 'working' }, { links: 'lost', failureDomain: 'west' }]), NOW)
    assert.deepEqual(candidates.map(({ address, failureDomain, links }) => [address, failureDomain, links]), [['10.0.0.2:7600', 'east', 'working'], ['10.0.0.3:7600', 'west', 'lost']])
  })

  // Guards against: attempts are sent to gateways of an earlier release, which open no tunnels, or to gateways that are gone.
  it('are not peers of earlier releases, those that shut down, nor those that are not heard any more', () => {
    assert.deepEqual(listRelayCandidates(createPeers([{ links: 'unstated' }, { leaving: true }]), NOW), [])
    assert.deepEqual(listRelayCandidates(createPeers([{}]), NOW + 10_000), [])
  })

  it('include a few gateways that are registered but report to others, different ones at each gateway', () => {
    const peers = createPeers([])
    for (let index = 2; index < 200; index++) peers.register(`edge-${index}`, { address: `10.0.1.${index}:7600`, processorCores: 1 })
    const candidates = listRelayCandidates(peers, NOW)
    assert.equal(candidates.length, 8)
    assert.ok(candidates.every(({ links }) => links === 'unknown'))
  })
})
