/**
 * The other gateways of the deployment: where they are registered, and what their reports say.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { GatewayReport, RelayedReports } from './gatewayReport.js'
import { unresponsiveAfterMilliseconds } from './reportInterval.js'

/** A gateway that was named by others but is not registered is forgotten after this time without a report. */
const PEER_EXPIRY_MILLISECONDS = 15_000
/** A run whose first report here has at most this number has been heard from its start. */
const MAXIMUM_INITIAL_SEQUENCE = 4
/** A relay is followed only if it covers this many times the gateways that are heard directly. */
const MINIMUM_RELAY_COVERAGE_RATIO = 1.1

/** Another gateway that was heard. */
export interface Peer {
  address: string
  report: GatewayReport
  lastReportAt: Timestamp
  /** Whether nothing that the gateway did before this report was missed: it was heard all the while, or has just started. */
  isContinuous: boolean
  /** Set once the gateway's silence has been noticed. */
  isUnresponsive: boolean
}

/** How much of the deployment a gateway knows of. */
export interface PeerCoverage {
  /** Gateways that are present, this one included. */
  gateways: number
  /** Fraction of the gateways that are taken to serve whose use of quotas is known here. */
  reachableShare: number
}

/** Gateways by name. */
export class PeerTable {
  private readonly _self: GatewayRegistration
  private readonly _peers = new Map<string, Peer>()
  private readonly _registrations = new Map<string, GatewayRegistration>()
  /** Addresses that the settings or other gateways have named. */
  private readonly _knownAddresses = new Map<string, Timestamp>()

  private constructor (self: GatewayRegistration) {
    this._self = self
  }

  static create (self: GatewayRegistration): PeerTable {
    return new PeerTable(self)
  }

  /** This gateway's own registration. */
  get self (): GatewayRegistration {
    return this._self
  }

  /** Learns an address from the settings or another gateway. */
  addKnownAddress (address: string, now: Timestamp): void {
    if (address !== this._self.address) this._knownAddresses.set(address, now)
  }

  /** Takes what a gateway has registered; undefined when its registration is gone. */
  register (name: string, registration: GatewayRegistration | undefined): void {
    if (registration === undefined) this._registrations.delete(name)
    else if (registration.address !== this._self.address) this._registrations.set(name, registration)
  }

  /** Keeps only the registrations of these gateways. */
  retainRegistrations (names: ReadonlySet<string>): void {
    for (const name of this._registrations.keys()) if (!names.has(name)) this._registrations.delete(name)
  }

  /** Takes a report; undefined when it is older than one that is known. */
  apply (report: GatewayReport, address: string, now: Timestamp): Peer | undefined {
    const known = this._peers.get(report.name)
    if (known && known.report.incarnation === report.incarnation && known.report.sequence >= report.sequence) return undefined
    const isSameRun = known?.report.incarnation === report.incarnation
    const isContinuous = isSameRun ? known.lastReportAt > now - this._unresponsiveAfterMilliseconds : report.sequence <= MAXIMUM_INITIAL_SEQUENCE
    const peer = { address, report, lastReportAt: now, isContinuous: isContinuous, isUnresponsive: false }
    this._peers.set(report.name, peer)
    return peer
  }

  /** Returns the address of a gateway by its name. */
  addressOf (name: string): string | undefined {
    return this._registrations.get(name)?.address ?? this._peers.get(name)?.address
  }

  /** Addresses of all gateways that are known. */
  listAddresses (): string[] {
    return [...new Set([...[...this._registrations.values(), ...this._peers.values()].map(({ address }) => address), ...this._knownAddresses.keys()])]
  }

  /** Gateways that are registered or were heard, this one included. */
  listRegistrations (): GatewayRegistration[] {
    const byAddress = new Map([...this._peers.values()].map(({ address }) => [address, { address, processorCores: 0 }]))
    for (const registration of this._registrations.values()) byAddress.set(registration.address, registration)
    byAddress.set(this._self.address, this._self)
    return [...byAddress.values()]
  }

  /** Gateways whose reports arrive, and which go on serving. */
  listPresent (now: Timestamp): Peer[] {
    return [...this._peers.values()].filter(peer => this._isResponsive(peer, now) && !peer.report.leaving)
  }

  /** Returns the gateway at an address if it was ever heard. */
  findByAddress (address: string): Peer | undefined {
    for (const peer of this._peers.values()) if (peer.address === address) return peer
    return undefined
  }

  /** The widest sums that another gateway relays now; undefined when none covers more gateways than are heard directly. */
  widestAggregate (now: Timestamp): RelayedReports | undefined {
    const present = this.listPresent(now)
    let widest: RelayedReports | undefined
    for (const { report: { relayed } } of present) if (relayed && relayed.gateways > (widest?.gateways ?? 0)) widest = relayed
    return widest && widest.gateways + 1 > present.length * MINIMUM_RELAY_COVERAGE_RATIO ? widest : undefined
  }

  /** Gateways that are present, this one included. */
  countPresent (now: Timestamp): number {
    return this._countWith(this.widestAggregate(now), now)
  }

  /** How much of the deployment this gateway knows of now. */
  measureCoverage (now: Timestamp): PeerCoverage {
    const relayed = this.widestAggregate(now)
    const gateways = this._countWith(relayed, now)
    if (relayed) return { gateways, reachableShare: Math.min(1, gateways / this.listRegistrations().length) }
    const silent = [...this._peers.values()].filter(peer => !peer.report.leaving && !this._isResponsive(peer, now)).length
    return { gateways, reachableShare: gateways / (gateways + silent) }
  }

  /** Returns the gateways that have fallen silent since the last call. */
  takeUnresponsive (now: Timestamp): Peer[] {
    const absent = [...this._peers.values()].filter(peer => !peer.isUnresponsive && !this._isResponsive(peer, now))
    for (const peer of absent) peer.isUnresponsive = true
    return absent
  }

  /** Forgets gateways that have been silent for long; returns them. */
  expire (now: Timestamp): Peer[] {
    const gone: Peer[] = []
    for (const [name, peer] of this._peers) {
      if (peer.lastReportAt > now - Math.max(PEER_EXPIRY_MILLISECONDS, this._unresponsiveAfterMilliseconds)) continue
      this._peers.delete(name)
      gone.push(peer)
    }
    for (const [address, learnedAt] of this._knownAddresses) if (learnedAt <= now - PEER_EXPIRY_MILLISECONDS) this._knownAddresses.delete(address)
    return gone
  }

  /** The relaying gateway itself is not in its sums. */
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
