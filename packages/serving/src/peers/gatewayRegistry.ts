/**
 * Follows what gateways write to the store: their registrations, and which of them holds the cloud duty.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { parseDutyHolder } from '@plumstage/coordination'
import type { KeyValueChange, KeyValueEntry } from '@plumstage/coordination'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import { DutyVacancy } from '../duties/dutyVacancy.js'
import type { DutyCandidate } from '../duties/dutyVacancy.js'
import type { StoreKeys } from '../storeKeys.js'
import { decodeRegistration } from './gatewayRegistration.js'
import type { PeerTable } from './peerTable.js'

/** Keeps the registrations of a peer table and the holder of the duty up to date. */
export class GatewayRegistry implements StoreObserver {
  private readonly _keys: StoreKeys
  private readonly _peers: PeerTable
  private readonly _clock: Clock
  private readonly _vacancy: DutyVacancy
  private readonly _log = getLogger('peers')
  private _dutyHolder: string | undefined

  private constructor (keys: StoreKeys, peers: PeerTable, clock: Clock) {
    this._keys = keys
    this._peers = peers
    this._clock = clock
    this._vacancy = DutyVacancy.create(clock.now())
  }

  static create (keys: StoreKeys, peers: PeerTable, clock: Clock): GatewayRegistry {
    return new GatewayRegistry(keys, peers, clock)
  }

  /** Name of the gateway that holds the cloud duty; undefined when none does. */
  get dutyHolder (): string | undefined {
    return this._dutyHolder
  }

  isDutyOpenTo (candidate: DutyCandidate): boolean {
    return this._vacancy.isOpenTo(candidate, this._clock.now())
  }

  onSnapshot (entries: readonly KeyValueEntry[]): void {
    if (!entries.some(entry => entry.key === this._keys.dutyKey)) this._setDutyHolder(undefined)
    this._peers.retainRegistrations(new Set(entries.map(entry => this._keys.gatewayNameOf(entry.key)).filter(name => name !== undefined)))
    for (const entry of entries) this._observeEntry(entry)
  }

  onChanges (changes: readonly KeyValueChange[]): void {
    for (const change of changes) {
      if (change.kind === 'put') this._observeEntry(change.entry)
      else this._observeDeletion(change.key)
    }
  }

  private _observeEntry (entry: KeyValueEntry): void {
    if (entry.key === this._keys.dutyKey) this._setDutyHolder(parseDutyHolder(entry.value))
    const name = this._keys.gatewayNameOf(entry.key)
    if (name === undefined) return
    const registration = decodeRegistration(entry.value)
    if (registration.isErr()) return this._log.warn(`${entry.key}: ${registration.error.message}`)
    this._peers.register(name, registration.value)
  }

  private _observeDeletion (key: string): void {
    if (key === this._keys.dutyKey) this._setDutyHolder(undefined)
    const name = this._keys.gatewayNameOf(key)
    if (name !== undefined) this._peers.register(name, undefined)
  }

  private _setDutyHolder (holder: string | undefined): void {
    this._dutyHolder = holder
    this._vacancy.setHeld(holder !== undefined, this._clock.now())
  }
}
