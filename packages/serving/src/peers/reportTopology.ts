/**
 * Chooses the recipients of a gateway's reports: all peers in a small deployment, otherwise a few relays and the holder of
 * the cloud duty, which needs usage counts and demand that the aggregates of relays don't include. All gateways rank the
 * relays in the same order. A gateway whose reports are requested is a relay and reports back to those that request them.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { Peer, PeerTable } from './peerTable.js'
import { unresponsiveAfterMilliseconds, reportIntervalMilliseconds } from './reportInterval.js'

const RELAY_COUNT = 3
/** Gateways of earlier releases skip relays, so that they may use one that ranks after the first few. */
const EARLIER_RELEASE_RELAY_COUNT = 2 * RELAY_COUNT
/** A relay that does not report back is skipped for this long. */
const RELAY_SKIP_MILLISECONDS = 10_000
const RANKING_KEY = 'relay'

interface RelayStatus {
  /** When this gateway started to report to the relay. */
  reportingSince: Timestamp
  /** Set when the relay did not report back. */
  skippedUntil?: Timestamp
}

/** A gateway to which a report is sent. */
export interface ReportRecipient {
  address: string
  /** Whether it is asked to report back. */
  requestsReports: boolean
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
    return this._peers.reportMode === 'mesh'
  }

  /** Whether more peers use this gateway as a relay, and expect aggregates from it, than a few that have skipped others. */
  isRelay (now: Timestamp): boolean {
    return !this.isMesh && this._listRequesters(now).length > RELAY_COUNT + 1
  }

  /** Time until the next report, in milliseconds. */
  intervalMilliseconds (now: Timestamp): number {
    return reportIntervalMilliseconds(this._peers.listRegistrations().length, this.isRelay(now))
  }

  /** Returns the recipients of the next report; `dutyHolder` is the name of the gateway that holds the cloud duty. */
  chooseRecipients (dutyHolder: string | undefined, now: Timestamp): ReportRecipient[] {
    if (this.isMesh) return this._peers.listAddresses().map(address => ({ address, requestsReports: true }))
    const holder = dutyHolder === undefined ? undefined : this._peers.addressOf(dutyHolder)
    const relays = new Set(this._peers.reportMode === 'rounds' ? [] : this._chooseRelays(now))
    const addresses = new Set([...relays, ...this._listRequesters(now).map(peer => peer.address)])
    if (holder !== undefined) addresses.add(holder)
    addresses.delete(this._peers.self.address)
    return [...addresses].map(address => ({ address, requestsReports: relays.has(address) }))
  }

  /**
   * Returns the peers that expect reports of this gateway. One that only reports back does not: if it counted, gateways
   * that reported to each other while few were known would do so for good.
   */
  private _listRequesters (now: Timestamp): Peer[] {
    const present = this._peers.listPresent(now)
    const servesEarlierReleases = present.some(isOfEarlierRelease) && this._ranksAmongRelays()
    return present.filter(peer => isOfEarlierRelease(peer) ? servesEarlierReleases : peer.report.requestsReports)
  }

  private _ranksAmongRelays (): boolean {
    const first = rankRelays(this._peers.listRegistrations()).slice(0, EARLIER_RELEASE_RELAY_COUNT)
    return first.some(({ address }) => address === this._peers.self.address)
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

function isOfEarlierRelease ({ report }: Peer): boolean {
  return report.requestsReports === undefined
}

/** Ranks gateways with more processor cores first, and ties by a hash of the address, so that all gateways agree on the order. */
function rankRelays (registrations: readonly GatewayRegistration[]): GatewayRegistration[] {
  return [...registrations].sort((left, right) => right.processorCores - left.processorCores || rendezvousWeight(RANKING_KEY, right.address) - rendezvousWeight(RANKING_KEY, left.address))
}
