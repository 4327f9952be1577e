/**
 * Encodes the messages on one stream between two gateways: the first message contains every member, later ones only
 * what has changed.
 *
 * @module
 */
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import type { Member } from './member.js'
import { fromDepartureMessage, fromMemberMessage, fromSuspicionMessage, toDepartureMessage, toMemberMessage, toSuspicionMessage } from './peerConversion.js'
import type { PeerMessage } from './peerLink.js'

interface SentMember {
  /** Index of the member on this stream; later messages refer to the member by it. */
  number: number
  member: Member
}

/** Encodes the messages of one direction of one stream. */
export class PeerStreamEncoder {
  private readonly _sent = new Map<string, SentMember>()
  private _sentDepartures = ''
  private _sentSuspicions = ''

  static create (): PeerStreamEncoder {
    return new PeerStreamEncoder()
  }

  encode (message: PeerMessage): peer.Knowledge {
    const knowledge = create(peer.KnowledgeSchema)
    for (const member of message.members) this._encodeMember(member, knowledge)
    this._encodeDepartures(message, knowledge)
    this._encodeSuspicions(message, knowledge)
    return knowledge
  }

  private _encodeMember (member: Member, knowledge: peer.Knowledge): void {
    const sent = this._sent.get(member.name)
    if (sent && isEqualExceptHeartbeat(sent.member, member)) {
      if (sent.member.heartbeat !== member.heartbeat) knowledge.heartbeats.push(create(peer.HeartbeatEntrySchema, { number: sent.number, heartbeat: BigInt(member.heartbeat) }))
      sent.member = { ...member }
      return
    }
    const number = sent?.number ?? this._sent.size
    this._sent.set(member.name, { number, member: { ...member } })
    knowledge.members.push(create(peer.MemberEntrySchema, { number, member: toMemberMessage(member) }))
  }

  /** Departures and suspicions are few and rarely change, so all of them are sent again when any has changed. */
  private _encodeDepartures (message: PeerMessage, knowledge: peer.Knowledge): void {
    const text = JSON.stringify(message.departures)
    if (text === this._sentDepartures) return
    this._sentDepartures = text
    knowledge.departures = message.departures.map(toDepartureMessage)
  }

  private _encodeSuspicions (message: PeerMessage, knowledge: peer.Knowledge): void {
    const text = JSON.stringify(message.suspicions)
    if (text === this._sentSuspicions) return
    this._sentSuspicions = text
    knowledge.suspicions = message.suspicions.map(toSuspicionMessage)
  }
}

/** Decodes the messages of one direction of one stream. */
export class PeerStreamDecoder {
  private readonly _members: Member[] = []

  static create (): PeerStreamDecoder {
    return new PeerStreamDecoder()
  }

  /** Returns a message with all members, the sender first. Departures and suspicions are those of this message only. */
  decode (knowledge: peer.Knowledge): PeerMessage {
    for (const entry of knowledge.members) if (entry.member) this._members[entry.number] = fromMemberMessage(entry.member)
    for (const entry of knowledge.heartbeats) {
      const member = this._members[entry.number]
      if (member) this._members[entry.number] = { ...member, heartbeat: Number(entry.heartbeat) }
    }
    return {
      members: this._members.filter(member => member !== undefined),
      departures: knowledge.departures.map(fromDepartureMessage),
      suspicions: knowledge.suspicions.map(fromSuspicionMessage)
    }
  }
}

function isEqualExceptHeartbeat (left: Member, right: Member): boolean {
  return left.incarnation === right.incarnation && left.state === right.state && left.configurationRevision === right.configurationRevision &&
    left.address === right.address && left.failureDomain === right.failureDomain
}
