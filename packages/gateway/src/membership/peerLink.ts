/**
 * The interface through which a gateway communicates with its peers.
 *
 * @module
 */
import type { CallContext } from '@plumstage/common'
import type { StoredRecord } from '../configuration/configurationState.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import type { CrashSuspicion } from '@plumstage/serving'
import type { UpstreamDeparture } from '../upstreams/upstream.js'
import type { Member } from './member.js'

/** The state that one gateway sends to another. */
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

/** Sends requests to other gateways. Methods throw when a request fails. */
export interface PeerLink {
  /** Sends this gateway's state to a peer and returns that of the peer. */
  exchange (context: CallContext, address: string, message: PeerMessage): Promise<PeerMessage>
  /** Returns the configuration of a peer, or undefined if its revision is not higher than `knownRevision`. */
  fetchConfiguration (context: CallContext, address: string, knownRevision: number): Promise<PeerConfiguration | undefined>
  /** Hands requests over to a peer and returns the ids of those that it accepted. */
  handOver (context: CallContext, address: string, requests: readonly HandedRequest[]): Promise<string[]>
  /** Takes a request over from the peer that holds it; undefined if the peer does not hold it. */
  takeRequest (context: CallContext, address: string, requestId: string, workspace: string): Promise<HandedRequest | undefined>
  /** Closes the connection to a peer that has left or died. */
  disconnect (address: string): void
  close (): void
}
