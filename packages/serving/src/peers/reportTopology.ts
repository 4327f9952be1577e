/**
 * Chooses the recipients of a gateway's reports: all peers in a small deployment, otherwise a few relays and the holder of
 * the cloud duty, which needs usage counts and demand that the aggregates of relays don't include. All gateways rank the
 * relays in the same order. A gateway that receives reports from many peers is a relay and reports back to all of them.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { PeerTable } from './peerTable.js'
import { MAXIMUM_MESH_GATEWAYS, unresponsiveAfterMilliseconds, reportIntervalMilliseconds } from './reportInterval.js'

const RELAY_COUNT = 3
/** A relay that does not report back is skipped for this long. */
const RELAY_SKIP_MILLISECONDS = 10_000
const RANKING_KEY = 'relay'

interface RelayStatus {
  /** When this gateway started to report to the relay. */
  reportingSince: Timestamp
  /** Set when the relay did not report back. */
  skippedUntil?: Timestamp
}

/** Chooses the recipients and the interval of the reports of one gateway. */
export class ReportTopology {
  private readonly _peers: PeerTable
  private readonly _relayStatuses = new Map<string, RelayStatus>()

  private constructor (peers: PeerTable) {
    this._peers = peers
  }

  static create (peers: PeerTable): ReportTopology {
    return new ReportTopology(peers)
  }

  /** Whether all gateways report to each other without relays. */
  get isMesh (): boolean {
    return this._peers.listRegistrations().length <= MAXIMUM_MESH_GATEWAYS
  }

  /**
   * Whether peers use this gateway as a relay and expect aggregates from it: more peers report to it than the relays and
   * the duty holder, which report to every gateway.
   */
  isRelay (now: Timestamp): boolean {
    return !this.isMesh && this._peers.listPresent(now).length > RELAY_COUNT + 1
  }

  /** Time until the next report, in milliseconds. */
  intervalMilliseconds (now: Timestamp): number {
    return reportIntervalMilliseconds(this._peers.listRegistrations().length, this.isRelay(now))
  }

  /** Returns the addresses for the next report; `dutyHolder` is the name of the gateway that holds the cloud duty. */
  chooseRecipients (dutyHolder: string | undefined, now: Timestamp): string[] {
    if (this.isMesh) return this._peers.listAddresses()
    const holder = dutyHolder === undefined ? undefined : this._peers.addressOf(dutyHolder)
    const recipients = new Set([...this._chooseRelays(now), ...this._peers.listPresent(now).map(peer => peer.address)])
    if (holder !== undefined) recipients.add(holder)
    recipients.delete(this._peers.self.address)
    return [...recipients]
  }

  /** Returns the highest-ranked relays, without those that are skipped because they did not report back. */
  private _chooseRelays (now: Timestamp): string[] {
    const chosen: string[] = []
    for (const { address } of rankRelays(this._peers.listRegistrations())) {
      if (chosen.length >= RELAY_COUNT) break
      if (address === this._peers.self.address || this._isUsable(address, now)) chosen.push(address)
    }
    for (const [address, { skippedUntil }] of this._relayStatuses) if (!chosen.includes(address) && (skippedUntil ?? now) <= now) this._relayStatuses.delete(address)
    return chosen
  }

  /** Returns whether a relay can be used: it is not skipped, is not shutting down, and has reported back within the time after which a gateway counts as unresponsive. */
  private _isUsable (address: string, now: Timestamp): boolean {
    const known = this._relayStatuses.get(address)
    if (known?.skippedUntil !== undefined && known.skippedUntil > now) return false
    const status: RelayStatus = known && known.skippedUntil === undefined ? known : { reportingSince: now }
    this._relayStatuses.set(address, status)
    const peer = this._peers.findByAddress(address)
    const silentSince = Math.max(status.reportingSince, peer?.lastReportAt ?? status.reportingSince)
    if (peer?.report.leaving !== true && silentSince > now - unresponsiveAfterMilliseconds(this._peers.listRegistrations().length)) return true
    status.skippedUntil = now + RELAY_SKIP_MILLISECONDS
    return false
  }
}

/** Ranks gateways with more processor cores first, and ties by a hash of the address, so that all gateways agree on the order. */
function rankRelays (registrations: readonly GatewayRegistration[]): GatewayRegistration[] {
  return [...registrations].sort((left, right) => right.processorCores - left.processorCores || rendezvousWeight(RANKING_KEY, right.address) - rendezvousWeight(RANKING_KEY, left.address))
}
