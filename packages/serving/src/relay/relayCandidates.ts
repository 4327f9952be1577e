/**
 * Lists the peers that might carry attempts for this gateway.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Peer, PeerTable } from '../peers/peerTable.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { RelayCandidate } from './relayPeers.js'

/** Gateways that are registered but not heard directly are candidates up to this number. */
const MAXIMUM_UNHEARD_CANDIDATES = 8

/** Lists the peers whose reports say that they open tunnels, and some of those that are registered but send no reports here. */
export function listRelayCandidates (peers: PeerTable, now: Timestamp): RelayCandidate[] {
  const heard = peers.listPresent(now)
  return [...heard.flatMap(peer => toCandidate(peer) ?? []), ...listUnheard(peers)]
}

/** A peer of an earlier release opens no tunnels. */
function toCandidate ({ address, report: { name, failureDomain, links, leaving } }: Peer): RelayCandidate | undefined {
  return links === 'unstated' ? undefined : { address, name, failureDomain, links, isStopping: leaving }
}

/** Gateways of a large deployment report to a few others only. Each gateway asks other ones of those, so that none is overloaded. */
function listUnheard (peers: PeerTable): RelayCandidate[] {
  const own = peers.self.address
  const unheard = peers.listRegistrations().map(({ address }) => address).filter(address => address !== own && !peers.findByAddress(address))
  const ranked = unheard.sort((left, right) => rendezvousWeight(own, right) - rendezvousWeight(own, left)).slice(0, MAXIMUM_UNHEARD_CANDIDATES)
  return ranked.map(address => ({ address, name: address, failureDomain: '', links: 'unknown', isStopping: false }))
}
