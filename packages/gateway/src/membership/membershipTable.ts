/**
 * Decides which gateways of the deployment are alive, from what they tell each other.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import { isNewer } from './member.js'
import type { Member } from './member.js'

const SUSPECT_TIMEOUT_MILLISECONDS = 3000
const DEAD_TIMEOUT_MILLISECONDS = 10_000
const DEAD_RETENTION_MILLISECONDS = 60_000

/** A member with this gateway's own judgement of it. */
export interface KnownMember {
  member: Member
  /** No heartbeat has arrived for some time; it may be paused or cut off. */
  suspect: boolean
}

/** A change that tasks act on. */
export type MembershipChange =
  | { kind: 'joined', member: Member }
  | { kind: 'left', member: Member }
  | { kind: 'died', member: Member }

interface Entry {
  member: Member
  lastProgressAt: Timestamp
}

/** The members known to one gateway, itself included. */
export class MembershipTable {
  private readonly _self: Member
  private readonly _entries = new Map<string, Entry>()
  private readonly _seeds: readonly string[]

  private constructor (self: Member, seeds: readonly string[]) {
    this._self = self
    this._seeds = seeds
  }

  /** `seeds` are addresses of peer listeners to ask when no member is known. */
  static create (self: Member, seeds: readonly string[]): MembershipTable {
    return new MembershipTable(self, seeds)
  }

  get self (): Readonly<Member> {
    return this._self
  }

  /** Returns the other members, those called dead included. */
  listPeers (now: Timestamp): KnownMember[] {
    return [...this._entries.values()].map(entry => ({ member: entry.member, suspect: isSuspect(entry, now) }))
  }

  /** Returns the other members that are not called dead. */
  listPresent (now: Timestamp): KnownMember[] {
    return this.listPeers(now).filter(known => known.member.state !== 'dead')
  }

  /** Returns what is told to a peer: this gateway and everyone it knows. */
  listAll (): Member[] {
    return [this._self, ...[...this._entries.values()].map(entry => entry.member)]
  }

  /** Starts a round: raises the own heartbeat and judges the others. */
  beginRound (now: Timestamp): MembershipChange[] {
    this._self.heartbeat++
    return this._detectFailures(now)
  }

  /** Returns the addresses to talk to in this round. */
  chooseTargets (count: number, random: SeededRandom, now: Timestamp): string[] {
    const present = this.listPresent(now).map(known => known.member.address)
    const unknownSeeds = this._seeds.filter(seed => seed !== this._self.address && !present.includes(seed))
    const targets = sampleRandom(present, count, random)
    const seed = random.pick(unknownSeeds)
    return seed === undefined ? targets : [...targets, seed]
  }

  /** Takes what a peer has told. */
  merge (members: readonly Member[], now: Timestamp): MembershipChange[] {
    return members.flatMap(member => member.name === this._self.name ? this._refuteSelf(member) : this._mergePeer(member, now))
  }

  setAddress (address: string): void {
    this._self.address = address
  }

  setConfigurationRevision (revision: number): void {
    this._self.configurationRevision = revision
  }

  /** Tells the others, from the next round on, that this gateway is leaving. */
  leave (): void {
    this._self.state = 'leaving'
  }

  private _mergePeer (offered: Member, now: Timestamp): MembershipChange[] {
    const known = this._entries.get(offered.name)
    if (known && !isNewer(offered, known.member)) return []
    if (!known && offered.state === 'dead') return []
    const before = known?.member
    this._entries.set(offered.name, { member: { ...offered }, lastProgressAt: now })
    return detectChange(before, offered)
  }

  /** A member that is called dead, or finds an older life of its own, starts a new incarnation. */
  private _refuteSelf (offered: Member): MembershipChange[] {
    const isOlderLife = offered.incarnation > this._self.incarnation
    const isCalledDead = offered.incarnation === this._self.incarnation && offered.state === 'dead'
    if (isOlderLife || isCalledDead) this._self.incarnation = offered.incarnation + 1
    return []
  }

  private _detectFailures (now: Timestamp): MembershipChange[] {
    const changes: MembershipChange[] = []
    for (const [name, entry] of this._entries) {
      const silentFor = now - entry.lastProgressAt
      if (entry.member.state === 'dead') {
        if (silentFor > DEAD_RETENTION_MILLISECONDS) this._entries.delete(name)
        continue
      }
      if (silentFor <= DEAD_TIMEOUT_MILLISECONDS) continue
      entry.member = { ...entry.member, state: 'dead' }
      entry.lastProgressAt = now
      changes.push({ kind: 'died', member: entry.member })
    }
    return changes
  }
}

function isSuspect (entry: Entry, now: Timestamp): boolean {
  return entry.member.state !== 'dead' && now - entry.lastProgressAt > SUSPECT_TIMEOUT_MILLISECONDS
}

function detectChange (before: Member | undefined, after: Member): MembershipChange[] {
  const wasPresent = before !== undefined && before.state !== 'dead'
  if (after.state === 'dead') return wasPresent ? [{ kind: 'died', member: after }] : []
  if (!wasPresent || after.incarnation !== before.incarnation) return [{ kind: 'joined', member: after }]
  if (before.state === 'alive' && after.state === 'leaving') return [{ kind: 'left', member: after }]
  return []
}

function sampleRandom (items: readonly string[], count: number, random: SeededRandom): string[] {
  const rest = [...items]
  const taken: string[] = []
  while (taken.length < count && rest.length > 0) {
    const index = random.nextInteger(0, rest.length - 1)
    taken.push(rest[index])
    rest.splice(index, 1)
  }
  return taken
}
