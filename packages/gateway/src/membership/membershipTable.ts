/**
 * Decides which gateways of the deployment are alive, from the member lists that they exchange.
 *
 * @module
 */
import type { SeededRandom, Timestamp } from '@plumstage/common'
import { isNewer } from './member.js'
import type { Member } from './member.js'

const SUSPECT_TIMEOUT_MILLISECONDS = 3000
const DEAD_TIMEOUT_MILLISECONDS = 10_000
const DEAD_RETENTION_MILLISECONDS = 60_000

/** A member, and whether this gateway suspects that it has failed. */
export interface KnownMember {
  member: Member
  /** No heartbeat has arrived for some time; the member may be paused or partitioned. */
  suspect: boolean
}

/** A membership change that other tasks react to. */
export type MembershipChange =
  | { kind: 'joined', member: Member }
  | { kind: 'left', member: Member }
  | { kind: 'died', member: Member }

interface Entry {
  member: Member
  /** When a newer state of the member last arrived; for a dead member, when it was declared dead. */
  lastProgressAt: Timestamp
}

/** The members that one gateway knows, including itself. */
export class MembershipTable {
  private readonly _self: Member
  private readonly _entries = new Map<string, Entry>()
  private readonly _seeds: readonly string[]

  private constructor (self: Member, seeds: readonly string[]) {
    this._self = self
    this._seeds = seeds
  }

  /** `seeds` are addresses of peer listeners. Each round also contacts one seed that belongs to no present member. */
  static create (self: Member, seeds: readonly string[]): MembershipTable {
    return new MembershipTable(self, seeds)
  }

  get self (): Readonly<Member> {
    return this._self
  }

  /** Returns the other members, including dead ones. */
  listPeers (now: Timestamp): KnownMember[] {
    return [...this._entries.values()].map(entry => ({ member: entry.member, suspect: isSuspect(entry, now) }))
  }

  /** Returns the other members that are not dead. */
  listPresent (now: Timestamp): KnownMember[] {
    return this.listPeers(now).filter(known => known.member.state !== 'dead')
  }

  /** Returns the members that are sent to a peer: this gateway first, then all others. */
  listAll (): Member[] {
    return [this._self, ...[...this._entries.values()].map(entry => entry.member)]
  }

  /** Starts a round: increments this gateway's heartbeat and declares silent members dead. */
  beginRound (now: Timestamp): MembershipChange[] {
    this._self.heartbeat++
    return this._detectFailures(now)
  }

  /** Returns the addresses to contact in this round. */
  chooseTargets (count: number, random: SeededRandom, now: Timestamp): string[] {
    const present = this.listPresent(now).map(known => known.member.address)
    const unknownSeeds = this._seeds.filter(seed => seed !== this._self.address && !present.includes(seed))
    const targets = sampleRandom(present, count, random)
    const seed = random.pick(unknownSeeds)
    return seed === undefined ? targets : [...targets, seed]
  }

  /** Merges the member list of a peer. */
  merge (members: readonly Member[], now: Timestamp): MembershipChange[] {
    return members.flatMap(member => member.name === this._self.name ? this._refuteSelf(member) : this._mergePeer(member, now))
  }

  setAddress (address: string): void {
    this._self.address = address
  }

  setConfigurationRevision (revision: number): void {
    this._self.configurationRevision = revision
  }

  /** Marks this gateway as leaving; peers receive the new state from the next exchange on. */
  leave (): void {
    this._self.state = 'leaving'
  }

  private _mergePeer (reported: Member, now: Timestamp): MembershipChange[] {
    const known = this._entries.get(reported.name)
    if (known && !isNewer(reported, known.member)) return []
    // Otherwise a removed member would be added again by every peer that has not removed it yet.
    if (!known && reported.state === 'dead') return []
    const before = known?.member
    this._entries.set(reported.name, { member: { ...reported }, lastProgressAt: now })
    return detectChange(before, reported)
  }

  /**
   * Starts a new incarnation if a peer reports this gateway as dead, or with a higher incarnation, which then stems from
   * an earlier process of the same name.
   */
  private _refuteSelf (reported: Member): MembershipChange[] {
    const hasHigherIncarnation = reported.incarnation > this._self.incarnation
    const isReportedDead = reported.incarnation === this._self.incarnation && reported.state === 'dead'
    if (hasHigherIncarnation || isReportedDead) this._self.incarnation = reported.incarnation + 1
    return []
  }

  private _detectFailures (now: Timestamp): MembershipChange[] {
    const changes: MembershipChange[] = []
    for (const [name, entry] of this._entries) {
      const silentMilliseconds = now - entry.lastProgressAt
      if (entry.member.state === 'dead') {
        if (silentMilliseconds > DEAD_RETENTION_MILLISECONDS) this._entries.delete(name)
        continue
      }
      if (silentMilliseconds <= DEAD_TIMEOUT_MILLISECONDS) continue
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
  const remaining = [...items]
  const sample: string[] = []
  while (sample.length < count && remaining.length > 0) {
    const index = random.nextInteger(0, remaining.length - 1)
    sample.push(remaining[index])
    remaining.splice(index, 1)
  }
  return sample
}
