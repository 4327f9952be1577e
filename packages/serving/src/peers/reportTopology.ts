/**
 * Decides to whom a gateway reports: to all while there are few, otherwise to the holder of the duties and a few relays,
 * which every gateway ranks alike. A gateway to which others report is a relay and reports to all of them.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { PeerTable } from './peerTable.js'
import { MAXIMUM_MESH_GATEWAYS, unresponsiveAfterMilliseconds, reportIntervalMilliseconds } from './reportInterval.js'

const RELAY_COUNT = 3
/** A relay that was not heard is passed over for this long. */
const RELAY_SKIP_MILLISECONDS = 10_000
const RANKING_KEY = 'relay'

interface RelayStatus {
  reportingSince: Timestamp
  /** Set when the relay was not heard. */
  skippedUntil?: Timestamp
}

/** Recipients of the reports of one gateway. */
export class ReportTopology {
  private readonly _peers: PeerTable
  private readonly _relayStatuses = new Map<string, RelayStatus>()

  private constructor (peers: PeerTable) {
    this._peers = peers
  }

  static create (peers: PeerTable): ReportTopology {
    return new ReportTopology(peers)
  }

  /** Whether all gateways report to one another. */
  get isMesh (): boolean {
    return this._peers.listRegistrations().length <= MAXIMUM_MESH_GATEWAYS
  }

  /** Whether others expect sums from this gateway. */
  isRelay (now: Timestamp): boolean {
    return !this.isMesh && this._peers.listPresent(now).length > RELAY_COUNT + 1
  }

  /** Time until the next report, in milliseconds. */
  intervalMilliseconds (now: Timestamp): number {
    return reportIntervalMilliseconds(this._peers.listRegistrations().length, this.isRelay(now))
  }

  /** Addresses to which the next report goes; `dutyHolder` is the name of the gateway that holds the duties. */
  chooseRecipients (dutyHolder: string | undefined, now: Timestamp): string[] {
    if (this.isMesh) return this._peers.listAddresses()
    const holder = dutyHolder === undefined ? undefined : this._peers.addressOf(dutyHolder)
    const recipients = new Set([...this._chooseRelays(now), ...this._peers.listPresent(now).map(peer => peer.address)])
    if (holder !== undefined) recipients.add(holder)
    recipients.delete(this._peers.self.address)
    return [...recipients]
  }

  /** The first relays in rank; one that does not report back is passed over for a while. */
  private _chooseRelays (now: Timestamp): string[] {
    const chosen: string[] = []
    for (const { address } of rankRelays(this._peers.listRegistrations())) {
      if (chosen.length >= RELAY_COUNT) break
      if (address === this._peers.self.address || this._isUsable(address, now)) chosen.push(address)
    }
    for (const [address, { skippedUntil: passedOverUntil }] of this._relayStatuses) if (!chosen.includes(address) && (passedOverUntil ?? now) <= now) this._relayStatuses.delete(address)
    return chosen
  }

  private _isUsable (address: string, now: Timestamp): boolean {
    const known = this._relayStatuses.get(address)
    if (known?.skippedUntil !== undefined && known.skippedUntil > now) return false
    const trial: RelayStatus = known && known.skippedUntil === undefined ? known : { reportingSince: now }
    this._relayStatuses.set(address, trial)
    const peer = this._peers.findByAddress(address)
    const silentSince = Math.max(trial.reportingSince, peer?.lastReportAt ?? trial.reportingSince)
    if (peer?.report.leaving !== true && silentSince > now - unresponsiveAfterMilliseconds(this._peers.listRegistrations().length)) return true
    trial.skippedUntil = now + RELAY_SKIP_MILLISECONDS
    return false
  }
}

/** Gateways with more processor time come first; all gateways rank alike. */
function rankRelays (registrations: readonly GatewayRegistration[]): GatewayRegistration[] {
  return [...registrations].sort((left, right) => right.processorCores - left.processorCores || rendezvousWeight(RANKING_KEY, right.address) - rendezvousWeight(RANKING_KEY, left.address))
}
