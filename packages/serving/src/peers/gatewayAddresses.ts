/**
 * The sorted addresses of all known gateways, this one included. They are collected only when one has come or gone,
 * because decisions rank the gateways for each request.
 *
 * @module
 */
import type { PeerTable } from './peerTable.js'

/** The addresses of one deployment. */
export class GatewayAddresses {
  private readonly _peers: PeerTable
  private _addresses: readonly string[] = []
  private _version = -1

  private constructor (peers: PeerTable) {
    this._peers = peers
  }

  static create (peers: PeerTable): GatewayAddresses {
    return new GatewayAddresses(peers)
  }

  /** Address of this gateway. */
  get self (): string {
    return this._peers.self.address
  }

  /** Changes whenever the addresses may have changed. */
  get version (): number {
    return this._peers.addressesVersion
  }

  list (): readonly string[] {
    if (this._version === this.version) return this._addresses
    this._version = this.version
    this._addresses = this._peers.listRegistrations().map(({ address }) => address).sort()
    return this._addresses
  }
}
