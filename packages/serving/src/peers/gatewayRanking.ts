/**
 * Ranks this gateway among all known ones for a key, by rendezvous hashing: gateways agree on the order without messages,
 * as far as they agree on the registrations.
 *
 * @module
 */
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import { GatewayAddresses } from './gatewayAddresses.js'
import type { PeerTable } from './peerTable.js'

interface KnownRank {
  /** Version of the addresses that the rank was computed for. */
  version: number
  rank: number
}

/** The ranks of one gateway. */
export class GatewayRanking {
  private readonly _addresses: GatewayAddresses
  private readonly _ranks = new Map<string, KnownRank>()

  private constructor (peers: PeerTable) {
    this._addresses = GatewayAddresses.create(peers)
  }

  static create (peers: PeerTable): GatewayRanking {
    return new GatewayRanking(peers)
  }

  /** Number of known gateways, this one included. */
  get gatewayCount (): number {
    return this._addresses.list().length
  }

  /** Returns the number of gateways that precede this one for a key. */
  rankFor (key: string): number {
    const addresses = this._addresses.list()
    const { self, version } = this._addresses
    const known = this._ranks.get(key)
    if (known?.version === version) return known.rank
    const ownWeight = rendezvousWeight(key, self)
    const precedes = (address: string): boolean => {
      const weight = rendezvousWeight(key, address)
      return weight > ownWeight || (weight === ownWeight && address < self)
    }
    const rank = addresses.filter(precedes).length
    this._ranks.set(key, { version, rank })
    return rank
  }

  forget (key: string): void {
    this._ranks.delete(key)
  }
}
