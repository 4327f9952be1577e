/**
 * The peers of a gateway: the registrations and the latest report of each. A peer is present while its reports arrive
 * and it is not shutting down.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { Aggregate } from '../aggregation/aggregate.js'
import { ROUND_MILLISECONDS } from '../aggregation/aggregationNode.js'
import { supersedes } from '../deployment/configurationPosition.js'
import type { ConfigurationPosition } from '../deployment/configurationPosition.js'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { GatewayReport, RelayedReports } from './gatewayReport.js'
import { MAXIMUM_MESH_GATEWAYS, unresponsiveAfterMilliseconds } from './reportInterval.js'

/** A peer that sends no reports, and an address that is not named again, are removed after this time. */
const PEER_EXPIRY_MILLISECONDS = 15_000
/**
 * An incarnation whose first received report has at most this sequence number counts as observed from its start: reports
 * carry totals since the start, which include the reports before.
 */
const MAXIMUM_INITIAL_SEQUENCE = 4
/** An aggregate is used only if it covers this many times the peers that report directly. */
const MINIMUM_RELAY_COVERAGE_RATIO = 1.1

/** Sums over all gateways are used for this long after a round; then the gateway counts as cut off from the others. */
const TOTALS_LIFETIME_MILLISECONDS = 4 * ROUND_MILLISECONDS

/** Sums over the other gateways, from an aggregation round. */
export interface PeerTotals {
  /** Number of gateways that took part, this one included. */
  gateways: number
  others: Aggregate
  receivedAt: Timestamp
}

/** How gateways learn of each other's state. */
export type ReportMode =
  /** Each reports to all others. */
  | 'mesh'
  /** Through a few relays, while gateways of earlier releases are there. */
  | 'relays'
  /** By aggregation rounds. */
  | 'rounds'

/** A gateway from which a report was received. */
export interface Peer {
  address: string
  report: GatewayReport
  lastReportAt: Timestamp
  /** Whether no activity before this report was missed: the reports arrived without a long gap, or the gateway has just started. */
  isContinuous: boolean
  /** Set once the peer was returned by `takeUnresponsive`. */
  isUnresponsive: boolean
}

/** How many gateways of the deployment a gateway has current reports from. */
export interface PeerCoverage {
  /** Number of gateways that are present, this one included. */
  gateways: number
  /** Fraction of the gateways presumed to be serving whose quota usage is known here. */
  reachableShare: number
}

/** Peers and registrations by gateway name. */
export class PeerTable {
  private readonly _self: GatewayRegistration
  private readonly _peers = new Map<string, Peer>()
  private readonly _registrations = new Map<string, GatewayRegistration>()
  /** Addresses named by the settings or by peers, with the time when they were last named. */
  private readonly _knownAddresses = new Map<string, Timestamp>()
  private _addressesVersion = 0
  private _totals: PeerTotals | undefined
  private _newestConfiguration: ConfigurationPosition | undefined
  private _gateways: readonly GatewayRegistration[] = []
  /** Version of the addresses for which `_gateways` was collected. */
  private _gatewaysVersion = -1

  private constructor (self: GatewayRegistration) {
    this._self = self
  }

  static create (self: GatewayRegistration): PeerTable {
    return new PeerTable(self)
  }

  /** Registration of this gateway. */
  get self (): GatewayRegistration {
    return this._self
  }

  /** Changes whenever a gateway has been registered, heard for the first time or removed. */
  get addressesVersion (): number {
    return this._addressesVersion
  }

  /** Adds an address that the settings or a peer named. */
  addKnownAddress (address: string, now: Timestamp): void {
    if (address !== this._self.address) this._knownAddresses.set(address, now)
  }

  /** Stores the registration of a gateway; undefined removes it. */
  register (name: string, registration: GatewayRegistration | undefined): void {
    this._addressesVersion++
    if (registration === undefined) this._registrations.delete(name)
    else if (registration.address !== this._self.address) this._registrations.set(name, registration)
  }

  /** Removes all registrations except those of the named gateways. */
  retainRegistrations (names: ReadonlySet<string>): void {
    this._addressesVersion++
    for (const name of this._registrations.keys()) if (!names.has(name)) this._registrations.delete(name)
  }

  /** Stores a report and returns its peer; undefined when this report or a newer one of the same incarnation was received before. */
  apply (report: GatewayReport, address: string, now: Timestamp): Peer | undefined {
    const known = this._peers.get(report.name)
    if (known && known.report.incarnation === report.incarnation && known.report.sequence >= report.sequence) return undefined
    const isSameIncarnation = known?.report.incarnation === report.incarnation
    const isContinuous = isSameIncarnation ? known.lastReportAt > now - this._unresponsiveAfterMilliseconds : report.sequence <= MAXIMUM_INITIAL_SEQUENCE
    const peer = { address, report, lastReportAt: now, isContinuous, isUnresponsive: false }
    if (known?.address !== address) this._addressesVersion++
    this._peers.set(report.name, peer)
    if (report.configuration && supersedes(report.configuration, this._newestConfiguration)) this._newestConfiguration = report.configuration
    return peer
  }

  /** The newest configuration that any peer has reported; undefined when none has. */
  get newestConfiguration (): ConfigurationPosition | undefined {
    return this._newestConfiguration
  }

  /** Returns the address of a gateway by its name. */
  addressOf (name: string): string | undefined {
    return this._registrations.get(name)?.address ?? this._peers.get(name)?.address
  }

  /** Addresses of all known peers: registered, received from, or named. */
  listAddresses (): string[] {
    return [...new Set([...[...this._registrations.values(), ...this._peers.values()].map(({ address }) => address), ...this._knownAddresses.keys()])]
  }

  /** Gateways that are registered or from which a report was received, this one included. */
  listRegistrations (): readonly GatewayRegistration[] {
    if (this._gatewaysVersion === this._addressesVersion) return this._gateways
    this._gatewaysVersion = this._addressesVersion
    this._gateways = this._collectRegistrations()
    return this._gateways
  }

  /** How this gateway takes part in the exchange of reports. */
  get reportMode (): ReportMode {
    const gateways = this.listRegistrations()
    if (gateways.length <= MAXIMUM_MESH_GATEWAYS) return 'mesh'
    return gateways.every(({ aggregates }) => aggregates) ? 'rounds' : 'relays'
  }

  /** Stores the sums of an aggregation round. */
  setTotals (totals: PeerTotals): void {
    this._totals = totals
  }

  /** The sums over all other gateways; undefined when none have arrived lately. */
  currentTotals (now: Timestamp): PeerTotals | undefined {
    return this._totals && this._totals.receivedAt > now - TOTALS_LIFETIME_MILLISECONDS ? this._totals : undefined
  }

  private _collectRegistrations (): GatewayRegistration[] {
    const heard = [...this._peers.values()].map(({ address, report }): GatewayRegistration => ({ address, processorCores: 0, aggregates: report.requestsReports !== undefined }))
    const byAddress = new Map(heard.map(registration => [registration.address, registration]))
    for (const registration of this._registrations.values()) byAddress.set(registration.address, registration)
    byAddress.set(this._self.address, this._self)
    return [...byAddress.values()]
  }

  /** Peers that are responsive and not shutting down. */
  listPresent (now: Timestamp): Peer[] {
    return [...this._peers.values()].filter(peer => this._isResponsive(peer, now) && !peer.report.leaving)
  }

  /** Returns the peer at an address; undefined when no report came from there. */
  findByAddress (address: string): Peer | undefined {
    for (const peer of this._peers.values()) if (peer.address === address) return peer
    return undefined
  }

  /** The aggregate that covers the most gateways; undefined when none covers clearly more than the peers that report directly. */
  widestAggregate (now: Timestamp): RelayedReports | undefined {
    const present = this.listPresent(now)
    let widest: RelayedReports | undefined
    for (const { report: { relayed } } of present) if (relayed && relayed.gateways > (widest?.gateways ?? 0)) widest = relayed
    return widest && widest.gateways + 1 > present.length * MINIMUM_RELAY_COVERAGE_RATIO ? widest : undefined
  }

  /** Number of gateways that are present, this one included. */
  countPresent (now: Timestamp): number {
    const totals = this.currentTotals(now)
    return totals ? Math.max(1, totals.gateways) : this._countWith(this.widestAggregate(now), now)
  }

  /** Counts the present gateways and computes their share of the gateways presumed to be serving. */
  measureCoverage (now: Timestamp): PeerCoverage {
    const totals = this.currentTotals(now)
    const relayed = totals ? undefined : this.widestAggregate(now)
    const gateways = totals ? Math.max(1, totals.gateways) : this._countWith(relayed, now)
    if (totals || relayed || this.reportMode === 'rounds') return { gateways, reachableShare: Math.min(1, gateways / this.listRegistrations().length) }
    const unresponsive = [...this._peers.values()].filter(peer => !peer.report.leaving && !this._isResponsive(peer, now)).length
    return { gateways, reachableShare: gateways / (gateways + unresponsive) }
  }

  /** Marks and returns the peers that have become unresponsive since the last call. */
  takeUnresponsive (now: Timestamp): Peer[] {
    const unresponsive = [...this._peers.values()].filter(peer => !peer.isUnresponsive && !this._isResponsive(peer, now))
    for (const peer of unresponsive) peer.isUnresponsive = true
    return unresponsive
  }

  /** Removes and returns the peers that have been unresponsive for a long time; also removes outdated addresses. */
  expire (now: Timestamp): Peer[] {
    const expired: Peer[] = []
    for (const [name, peer] of this._peers) {
      if (peer.lastReportAt > now - Math.max(PEER_EXPIRY_MILLISECONDS, this._unresponsiveAfterMilliseconds)) continue
      this._peers.delete(name)
      this._addressesVersion++
      expired.push(peer)
    }
    for (const [address, namedAt] of this._knownAddresses) if (namedAt <= now - PEER_EXPIRY_MILLISECONDS) this._knownAddresses.delete(address)
    return expired
  }

  /** Counts present gateways. An aggregate excludes its relay and this gateway, so both are added. */
  private _countWith (relayed: RelayedReports | undefined, now: Timestamp): number {
    return (relayed ? relayed.gateways + 1 : this.listPresent(now).length) + 1
  }

  private _isResponsive (peer: Peer, now: Timestamp): boolean {
    return peer.lastReportAt > now - this._unresponsiveAfterMilliseconds
  }

  private get _unresponsiveAfterMilliseconds (): number {
    return unresponsiveAfterMilliseconds(this._registrations.size)
  }
}
