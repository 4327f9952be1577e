/**
 * Chooses the gateways that find out soon when the store has gone silent, so that the others can rely on them.
 *
 * @module
 */
import type { GatewayAddresses } from '../peers/gatewayAddresses.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'

const LOOKOUTS = 3
const RANKING_KEY = 'lookout'

/** Whether this gateway is one of the lookouts: all are in a small deployment. */
export function isLookout (addresses: Pick<GatewayAddresses, 'self' | 'list'>): boolean {
  const weight = rendezvousWeight(RANKING_KEY, addresses.self)
  const ahead = addresses.list().filter(address => rendezvousWeight(RANKING_KEY, address) > weight)
  return ahead.length < LOOKOUTS
}
