/**
 * Chooses the gateways that keep the record of a stream, and those to ask for it, by rendezvous hashing: any gateway
 * finds them by the key of the stream alone.
 *
 * @module
 */
import { MAXIMUM_MESH_GATEWAYS } from '../peers/reportInterval.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { StreamKey } from './streamOrigins.js'

/** In a small deployment, a third of the gateways may be lost at once. */
const MESH_REPLICAS = 3
const REPLICAS = 2
/** More gateways are asked than keep a record, because gateways may have come or gone since it was made. */
const MAXIMUM_ASKED_GATEWAYS = 16

/** Returns the addresses of the gateways that keep the record of a stream, beside the one that began it. */
export function chooseReplicas (key: StreamKey, addresses: readonly string[], self: string): string[] {
  const count = addresses.length <= MAXIMUM_MESH_GATEWAYS ? MESH_REPLICAS : REPLICAS
  return rankGateways(key, addresses, self).slice(0, count)
}

/** Returns the addresses of the gateways to ask for the record of a stream: in a small deployment all others. */
export function chooseAskedGateways (key: StreamKey, addresses: readonly string[], self: string): string[] {
  return rankGateways(key, addresses, self).slice(0, MAXIMUM_ASKED_GATEWAYS)
}

function rankGateways (key: StreamKey, addresses: readonly string[], self: string): string[] {
  const weighted = addresses.filter(address => address !== self).map(address => ({ address, weight: rendezvousWeight(key, address) }))
  return weighted.sort((left, right) => right.weight - left.weight || left.address.localeCompare(right.address)).map(({ address }) => address)
}
