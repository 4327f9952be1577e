/**
 * How a gateway reaches the others.
 *
 * @module
 */
import type { CallContext } from '@plumstage/common'
import type { StoredRecord } from '../configuration/configurationState.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { CrashSuspicion } from '@plumstage/serving'
import type { UpstreamDeparture } from '../upstreams/upstream.js'
import type { Member } from './member.js'

/** What one gateway tells another. */
export interface PeerMessage {
  /** All members that the sender knows, itself first. */
  members: readonly Member[]
  departures: readonly UpstreamDeparture[]
  suspicions: readonly CrashSuspicion[]
}

/** The configuration that a peer has in force. */
export interface PeerConfiguration {
  revision: number
  records: readonly StoredRecord[]
}

/** Calls to other gateways. A call that fails throws. */
export interface PeerLink {
  /** Tells a peer what this gateway knows and returns what the peer knows. */
  exchange (context: CallContext, address: string, message: PeerMessage): Promise<PeerMessage>
  /** Returns the configuration of a peer, or undefined when it is not ahead of `knownRevision`. */
  fetchConfiguration (context: CallContext, address: string, knownRevision: number): Promise<PeerConfiguration | undefined>
  /** Gives requests to a peer and returns the ids of those it took. */
  handOver (context: CallContext, address: string, requests: readonly HandedRequest[]): Promise<string[]>
  /** Takes a request that a peer holds; undefined when it does not. */
  takeRequest (context: CallContext, address: string, requestId: string, workspace: string): Promise<HandedRequest | undefined>
  /** Drops the connections to a peer that has left. */
  disconnect (address: string): void
  close (): void
}
