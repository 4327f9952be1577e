/**
 * Converts between the messages of the peer protocol and the gateway's internal types.
 *
 * @module
 */
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import type { StoredRecord } from '../configuration/configurationState.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { CrashSuspicion } from '@plumstage/serving'
import type { UpstreamDeparture } from '../upstreams/upstream.js'
import type { Member, MemberState } from './member.js'

const encoder = new TextEncoder()
const decoder = new TextDecoder()

const STATE_TO_MESSAGE: Readonly<Record<MemberState, peer.MemberState>> = {
  alive: peer.MemberState.ALIVE,
  leaving: peer.MemberState.LEAVING,
  dead: peer.MemberState.DEAD
}

export function toMemberMessage (member: Member): peer.Member {
  return create(peer.MemberSchema, {
    name: member.name,
    address: member.address,
    failureDomain: member.failureDomain,
    incarnation: BigInt(member.incarnation),
    state: STATE_TO_MESSAGE[member.state],
    heartbeat: BigInt(member.heartbeat),
    configurationRevision: BigInt(member.configurationRevision)
  })
}

export function fromMemberMessage (message: peer.Member): Member {
  return {
    name: message.name,
    address: message.address,
    failureDomain: message.failureDomain,
    incarnation: Number(message.incarnation),
    state: fromStateMessage(message.state),
    heartbeat: Number(message.heartbeat),
    configurationRevision: Number(message.configurationRevision)
  }
}

export function toDepartureMessage (departure: UpstreamDeparture): peer.UpstreamDeparture {
  return create(peer.UpstreamDepartureSchema, { ...departure, deadline: BigInt(Math.round(departure.deadline)) })
}

export function fromDepartureMessage (message: peer.UpstreamDeparture): UpstreamDeparture {
  return { service: message.service, address: message.address, incarnation: message.incarnation, deadline: Number(message.deadline) }
}

/** A state that this version does not know is treated as alive. */
function fromStateMessage (state: peer.MemberState): MemberState {
  if (state === peer.MemberState.DEAD) return 'dead'
  return state === peer.MemberState.LEAVING ? 'leaving' : 'alive'
}

export function toRecordMessage (record: StoredRecord): peer.StoredRecord {
  return create(peer.StoredRecordSchema, { key: record.key, value: encoder.encode(record.value), revision: BigInt(record.revision) })
}

export function fromRecordMessage (message: peer.StoredRecord): StoredRecord {
  return { key: message.key, value: decoder.decode(message.value), revision: Number(message.revision) }
}

export function toSuspicionMessage (suspicion: CrashSuspicion): peer.CrashSuspicion {
  return create(peer.CrashSuspicionSchema, { digest: suspicion.digest, crashes: [...suspicion.crashes], cleared: [...suspicion.cleared], deadline: BigInt(Math.round(suspicion.deadline)) })
}

export function fromSuspicionMessage (message: peer.CrashSuspicion): CrashSuspicion {
  return { digest: message.digest, crashes: message.crashes, cleared: message.cleared, deadline: Number(message.deadline) }
}

export function toHandedMessage (request: HandedRequest): peer.HandedRequest {
  return create(peer.HandedRequestSchema, { ...request, acceptedAt: BigInt(Math.round(request.acceptedAt)) })
}

export function fromHandedMessage (message: peer.HandedRequest): HandedRequest {
  return {
    requestId: message.requestId,
    workspace: message.workspace,
    route: message.route,
    endpoint: message.endpoint === 'text' ? 'text' : 'chat',
    body: Buffer.from(message.body),
    acceptedAt: Number(message.acceptedAt),
    position: message.position,
    events: Buffer.from(message.events),
    complete: message.complete,
    mayHaveRun: message.mayHaveRun
  }
}
