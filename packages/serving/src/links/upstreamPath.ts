/**
 * The way on which one attempt reaches its upstream: over a connection of this gateway, or through a peer. What the attempt
 * observes tells whether that way works.
 *
 * @module
 */
import type { Dispatcher as HttpClient } from 'undici'
import type { Clock, Timestamp } from '@plumstage/common'
import type { AttemptFailure } from '../attempts/attemptPolicy.js'
import type { AttemptOutcome } from '../attempts/upstreamAttempt.js'
import { RelayError } from '../relay/relayError.js'
import type { RelayErrorKind } from '../relay/relayError.js'
import type { RelayPeers } from '../relay/relayPeers.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { UpstreamLinkTask } from './upstreamLinkTask.js'

/** Errors that concern the upstream, not the peer. */
const UPSTREAM_ERRORS: ReadonlySet<RelayErrorKind> = new Set(['upstream-refused', 'upstream-unreachable', 'upstream-unlisted'])

/** How an attempt ended without a complete response. */
export type FailedOutcome = Extract<AttemptOutcome, { kind: 'failed' }>

/** The way of one attempt; `begin` and `end` are called once each. */
export interface UpstreamPath {
  readonly client: HttpClient
  /** Address of the peer that carries the attempt; undefined if there is none. */
  readonly peer: string | undefined
  begin (): void
  /** Records that bytes of the response have arrived. */
  recordBytes (): void
  /** Time since which no byte has arrived. */
  readonly silentSince: Timestamp
  /** Records a failure; returns what it means for the attempt. */
  recordFailure (outcome: FailedOutcome): AttemptFailure
  end (): void
}

/** Over a connection of this gateway. */
export class DirectPath implements UpstreamPath {
  readonly client: HttpClient
  readonly peer = undefined
  private readonly _upstream: Upstream
  private readonly _links: UpstreamLinkTask
  private readonly _clock: Clock
  private _silentSince: Timestamp

  private constructor (client: HttpClient, upstream: Upstream, links: UpstreamLinkTask, clock: Clock) {
    this.client = client
    this._upstream = upstream
    this._links = links
    this._clock = clock
    this._silentSince = clock.now()
  }

  static create (client: HttpClient, upstream: Upstream, links: UpstreamLinkTask, clock: Clock): DirectPath {
    return new DirectPath(client, upstream, links, clock)
  }

  get silentSince (): Timestamp {
    return this._silentSince
  }

  begin (): void {
    this._links.beginExchange()
  }

  recordBytes (): void {
    this._silentSince = this._clock.now()
    this._links.recordContact()
  }

  recordFailure ({ failure, connectionLost }: FailedOutcome): AttemptFailure {
    if (failure === 'unreachable' || (failure === 'broken' && connectionLost)) this._links.recordFailure(this._upstream)
    return failure
  }

  end (): void {
    this._links.endExchange()
  }
}

/** Through a tunnel that a peer opens to the upstream. */
export class RelayedPath implements UpstreamPath {
  readonly client: HttpClient
  readonly peer: string
  private readonly _peers: RelayPeers
  private readonly _clock: Clock
  private _silentSince: Timestamp

  private constructor (client: HttpClient, peer: string, peers: RelayPeers, clock: Clock) {
    this.client = client
    this.peer = peer
    this._peers = peers
    this._clock = clock
    this._silentSince = clock.now()
  }

  static create (client: HttpClient, peer: string, peers: RelayPeers, clock: Clock): RelayedPath {
    return new RelayedPath(client, peer, peers, clock)
  }

  get silentSince (): Timestamp {
    return this._silentSince
  }

  begin (): void {}

  recordBytes (): void {
    this._silentSince = this._clock.now()
    this._peers.recordSuccess(this.peer)
  }

  /** A peer that opens no tunnel says nothing about the upstream. */
  recordFailure ({ failure, error }: FailedOutcome): AttemptFailure {
    if (failure !== 'unreachable') return failure
    if (RelayError.is(error) && UPSTREAM_ERRORS.has(error.kind)) return failure
    this._peers.recordFailure(this.peer, this._clock.now())
    return 'peer-unavailable'
  }

  end (): void {}
}
