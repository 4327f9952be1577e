/**
 * The other gateways of the deployment, as their reports show them.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GatewayReport } from './gatewayReport.js'

/** A gateway whose reports stop counts as absent after this time. */
const ABSENT_AFTER_MILLISECONDS = 2000
/** A gateway that is registered but silent counts as present for the quota for this long. */
const FORGOTTEN_AFTER_MILLISECONDS = 15_000
/** A run whose first report here has at most this number has been heard from its start. */
const FIRST_SEQUENCES = 4

/** Another gateway. */
export interface Peer {
  address: string
  report: GatewayReport
  heardAt: Timestamp
  /** Whether nothing that the gateway did before this report was missed: it was heard all the while, or has just started. */
  wasHeard: boolean
}

/** Gateways by name. */
export class PeerTable {
  private readonly _self: string
  private readonly _peers = new Map<string, Peer>()
  /** Addresses of gateways that are registered in the store or were named by others. */
  private readonly _addresses = new Map<string, Timestamp>()

  private constructor (self: string) {
    this._self = self
  }

  /** `self` is the address of this gateway. */
  static create (self: string): PeerTable {
    return new PeerTable(self)
  }

  /** Learns an address from the settings, the store or another gateway. */
  learnAddress (address: string, now: Timestamp): void {
    if (address !== this._self) this._addresses.set(address, now)
  }

  /** Takes a report; undefined when it is older than one that is known. */
  apply (report: GatewayReport, address: string, now: Timestamp): Peer | undefined {
    const known = this._peers.get(report.name)
    if (known && known.report.incarnation === report.incarnation && known.report.sequence >= report.sequence) return undefined
    this.learnAddress(address, now)
    const isSameRun = known?.report.incarnation === report.incarnation
    const wasHeard = isSameRun ? known.heardAt > now - ABSENT_AFTER_MILLISECONDS : report.sequence <= FIRST_SEQUENCES
    const peer = { address, report, heardAt: now, wasHeard }
    this._peers.set(report.name, peer)
    return peer
  }

  /** Addresses to which reports are sent. */
  listAddresses (): string[] {
    return [...this._addresses.keys()]
  }

  listPresent (now: Timestamp): Peer[] {
    return [...this._peers.values()].filter(peer => peer.heardAt > now - ABSENT_AFTER_MILLISECONDS && !peer.report.leaving)
  }

  /** Gateways that are present, this one included. */
  countPresent (now: Timestamp): number {
    return this.listPresent(now).length + 1
  }

  /** Fraction of the gateways that are taken to serve whose use of quotas is known here. */
  heardShare (now: Timestamp): number {
    const silent = [...this._peers.values()].filter(peer => !peer.report.leaving && peer.heardAt <= now - ABSENT_AFTER_MILLISECONDS).length
    const present = this.countPresent(now)
    return present / (present + silent)
  }

  /** Forgets gateways that have been silent for long; returns them. */
  expire (now: Timestamp): Peer[] {
    const gone: Peer[] = []
    for (const [name, peer] of this._peers) {
      if (peer.heardAt > now - FORGOTTEN_AFTER_MILLISECONDS) continue
      this._peers.delete(name)
      this._addresses.delete(peer.address)
      gone.push(peer)
    }
    for (const [address, learnedAt] of this._addresses) if (learnedAt <= now - FORGOTTEN_AFTER_MILLISECONDS && !this._isPeerAddress(address)) this._addresses.delete(address)
    return gone
  }

  private _isPeerAddress (address: string): boolean {
    return [...this._peers.values()].some(peer => peer.address === address)
  }
}
