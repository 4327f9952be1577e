/**
 * The other gateways of the deployment: where they are registered, and what their reports say.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GatewayRegistration } from './gatewayRegistration.js'
import type { GatewayReport, RelayedReports } from './gatewayReport.js'
import { absentAfterMilliseconds } from './reportInterval.js'

/** A gateway that was named by others but is not registered is forgotten after this time without a report. */
const FORGOTTEN_AFTER_MILLISECONDS = 15_000
/** A run whose first report here has at most this number has been heard from its start. */
const FIRST_SEQUENCES = 4
/** A relay is followed only if it covers this many times the gateways that are heard directly. */
const RELAY_ADVANTAGE = 1.1

/** Another gateway that was heard. */
export interface Peer {
  address: string
  report: GatewayReport
  heardAt: Timestamp
  /** Whether nothing that the gateway did before this report was missed: it was heard all the while, or has just started. */
  wasHeard: boolean
  /** Set once the gateway's silence has been noticed. */
  isAbsent: boolean
}

/** How much of the deployment a gateway knows of. */
export interface PeerSurvey {
  /** Gateways that are present, this one included. */
  gateways: number
  /** Fraction of the gateways that are taken to serve whose use of quotas is known here. */
  heardShare: number
}

/** Gateways by name. */
export class PeerTable {
  private readonly _self: GatewayRegistration
  private readonly _peers = new Map<string, Peer>()
  private readonly _registrations = new Map<string, GatewayRegistration>()
  /** Addresses that the settings or other gateways have named. */
  private readonly _learned = new Map<string, Timestamp>()

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
  learnAddress (address: string, now: Timestamp): void {
    if (address !== this._self.address) this._learned.set(address, now)
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
    const wasHeard = isSameRun ? known.heardAt > now - this._absentAfter : report.sequence <= FIRST_SEQUENCES
    const peer = { address, report, heardAt: now, wasHeard, isAbsent: false }
    this._peers.set(report.name, peer)
    return peer
  }

  /** Returns the address of a gateway by its name. */
  addressOf (name: string): string | undefined {
    return this._registrations.get(name)?.address ?? this._peers.get(name)?.address
  }

  /** Addresses of all gateways that are known. */
  listAddresses (): string[] {
    return [...new Set([...[...this._registrations.values(), ...this._peers.values()].map(({ address }) => address), ...this._learned.keys()])]
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
    return [...this._peers.values()].filter(peer => this._isHeard(peer, now) && !peer.report.leaving)
  }

  /** Returns the gateway at an address if it was ever heard. */
  peerAt (address: string): Peer | undefined {
    for (const peer of this._peers.values()) if (peer.address === address) return peer
    return undefined
  }

  /** The widest sums that another gateway relays now; undefined when none covers more gateways than are heard directly. */
  widestRelay (now: Timestamp): RelayedReports | undefined {
    const present = this.listPresent(now)
    let widest: RelayedReports | undefined
    for (const { report: { relayed } } of present) if (relayed && relayed.gateways > (widest?.gateways ?? 0)) widest = relayed
    return widest && widest.gateways + 1 > present.length * RELAY_ADVANTAGE ? widest : undefined
  }

  /** Gateways that are present, this one included. */
  countPresent (now: Timestamp): number {
    return this._countWith(this.widestRelay(now), now)
  }

  /** How much of the deployment this gateway knows of now. */
  survey (now: Timestamp): PeerSurvey {
    const relayed = this.widestRelay(now)
    const gateways = this._countWith(relayed, now)
    if (relayed) return { gateways, heardShare: Math.min(1, gateways / this.listRegistrations().length) }
    const silent = [...this._peers.values()].filter(peer => !peer.report.leaving && !this._isHeard(peer, now)).length
    return { gateways, heardShare: gateways / (gateways + silent) }
  }

  /** Returns the gateways that have fallen silent since the last call. */
  takeAbsent (now: Timestamp): Peer[] {
    const absent = [...this._peers.values()].filter(peer => !peer.isAbsent && !this._isHeard(peer, now))
    for (const peer of absent) peer.isAbsent = true
    return absent
  }

  /** Forgets gateways that have been silent for long; returns them. */
  expire (now: Timestamp): Peer[] {
    const gone: Peer[] = []
    for (const [name, peer] of this._peers) {
      if (peer.heardAt > now - Math.max(FORGOTTEN_AFTER_MILLISECONDS, this._absentAfter)) continue
      this._peers.delete(name)
      gone.push(peer)
    }
    for (const [address, learnedAt] of this._learned) if (learnedAt <= now - FORGOTTEN_AFTER_MILLISECONDS) this._learned.delete(address)
    return gone
  }

  /** The relaying gateway itself is not in its sums. */
  private _countWith (relayed: RelayedReports | undefined, now: Timestamp): number {
    return (relayed ? relayed.gateways + 1 : this.listPresent(now).length) + 1
  }

  private _isHeard (peer: Peer, now: Timestamp): boolean {
    return peer.heardAt > now - this._absentAfter
  }

  private get _absentAfter (): number {
    return absentAfterMilliseconds(this._registrations.size)
  }
}
