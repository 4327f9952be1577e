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
import type { HeardPools } from '../upstreams/heardPools.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { UpstreamLinkTask } from './upstreamLinkTask.js'

/** Errors that concern the upstream, not the peer. */
const UPSTREAM_ERRORS: ReadonlySet<RelayErrorKind> = new Set(['upstream-refused', 'upstream-unreachable', 'upstream-unlisted'])

/**
 * Whether an attempt shares the connections of all requests, only while one of them was heard a moment ago, or gets one of its own. A
 * response of an earlier attempt of the same request bears the same id, so it must not arrive on the connection of a later one.
 */
export type ConnectionUse = 'shared' | 'heard-lately' | 'separate'

/** Closes the client of a path that has it for itself. */
export type ClientRelease = () => void

const KEEP_CLIENT: ClientRelease = () => {}

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

/** What a path over a connection of this gateway reports to. */
export interface DirectPathServices {
  links: UpstreamLinkTask
  heard: HeardPools
  clock: Clock
}

/** What a path through a peer reports to. */
export interface RelayedPathServices {
  peers: RelayPeers
  heard: HeardPools
  clock: Clock
}

/** Over a connection of this gateway. */
export class DirectPath implements UpstreamPath {
  readonly client: HttpClient
  readonly peer = undefined
  private readonly _upstream: Upstream
  private readonly _links: UpstreamLinkTask
  private readonly _heard: HeardPools
  private readonly _clock: Clock
  private readonly _release: ClientRelease
  private _silentSince: Timestamp

  private constructor (client: HttpClient, upstream: Upstream, { links, heard, clock }: DirectPathServices, release: ClientRelease) {
    this.client = client
    this._heard = heard
    this._release = release
    this._upstream = upstream
    this._links = links
    this._clock = clock
    this._silentSince = clock.now()
  }

  static create (client: HttpClient, upstream: Upstream, services: DirectPathServices, release: ClientRelease = KEEP_CLIENT): DirectPath {
    return new DirectPath(client, upstream, services, release)
  }

  get silentSince (): Timestamp {
    return this._silentSince
  }

  begin (): void {
    this._heard.beginRequest(this.client)
    this._links.beginExchange()
  }

  recordBytes (): void {
    this._silentSince = this._clock.now()
    this._heard.recordBytes(this.client, this._silentSince)
    this._links.recordContact()
  }

  recordFailure ({ failure, connectionLost }: FailedOutcome): AttemptFailure {
    if (failure === 'unreachable' || (failure === 'broken' && connectionLost)) this._links.recordFailure(this._upstream)
    return failure
  }

  end (): void {
    this._heard.endRequest(this.client)
    this._links.endExchange()
    this._release()
  }
}

/** Through a tunnel that a peer opens to the upstream. */
export class RelayedPath implements UpstreamPath {
  readonly client: HttpClient
  readonly peer: string
  private readonly _peers: RelayPeers
  private readonly _heard: HeardPools
  private readonly _clock: Clock
  private readonly _release: ClientRelease
  private _silentSince: Timestamp

  private constructor (client: HttpClient, peer: string, { peers, heard, clock }: RelayedPathServices, release: ClientRelease) {
    this.client = client
    this._heard = heard
    this._release = release
    this.peer = peer
    this._peers = peers
    this._clock = clock
    this._silentSince = clock.now()
  }

  static create (client: HttpClient, peer: string, services: RelayedPathServices, release: ClientRelease = KEEP_CLIENT): RelayedPath {
    return new RelayedPath(client, peer, services, release)
  }

  get silentSince (): Timestamp {
    return this._silentSince
  }

  begin (): void {
    this._heard.beginRequest(this.client)
  }

  recordBytes (): void {
    this._silentSince = this._clock.now()
    this._heard.recordBytes(this.client, this._silentSince)
    this._peers.recordSuccess(this.peer)
  }

  /** A peer that opens no tunnel says nothing about the upstream. */
  recordFailure ({ failure, error }: FailedOutcome): AttemptFailure {
    if (failure !== 'unreachable') return failure
    if (RelayError.is(error) && UPSTREAM_ERRORS.has(error.kind)) return failure
    this._peers.recordFailure(this.peer, this._clock.now())
    return 'peer-unavailable'
  }

  end (): void {
    this._heard.endRequest(this.client)
    this._release()
  }
}
