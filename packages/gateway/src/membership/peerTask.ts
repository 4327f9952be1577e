/**
 * Talks to the other gateways: a few of them in every round, and whoever calls.
 *
 * @module
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import type { Client, ConnectRouter, HandlerContext, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import { getLogger, describeError } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, SeededRandom } from '@plumstage/common'
import type { ConfigurationTask } from '../configuration/configurationTask.js'
import type { UpstreamDeparture } from '../upstreams/upstream.js'
import type { MembershipChange, MembershipTable } from './membershipTable.js'
import { fromDepartureMessage, fromMemberMessage, toDepartureMessage, toMemberMessage } from './peerConversion.js'

const ROUND_MILLISECONDS = 500
const TARGETS_PER_ROUND = 3
const EXCHANGE_TIMEOUT_MILLISECONDS = 1000
const FETCH_TIMEOUT_MILLISECONDS = 3000

/** What the peer task shares with the rest of the gateway. */
export interface PeerServices {
  clock: Clock
  random: SeededRandom
  instrumentation: Instrumentation
  membership: MembershipTable
  configuration: ConfigurationTask
  listDepartures (): UpstreamDeparture[]
  onDepartures (departures: readonly UpstreamDeparture[]): void
}

/** How peers recognise each other. */
export interface PeerIdentity {
  deployment: string
  /** Secret that all gateways of the deployment share. */
  token: string
}

/** Owns the connections between gateways. */
export class PeerTask {
  private readonly _services: PeerServices
  private readonly _identity: PeerIdentity
  private readonly _clients = new Map<string, Client<typeof peer.PeerService>>()
  private readonly _log = getLogger('membership')

  private constructor (services: PeerServices, identity: PeerIdentity) {
    this._services = services
    this._identity = identity
  }

  static create (services: PeerServices, identity: PeerIdentity): PeerTask {
    return new PeerTask(services, identity)
  }

  /** Adds the handlers for calls of other gateways. */
  register (router: ConnectRouter): void {
    router.service(peer.PeerService, {
      exchange: (request, context) => this._answerExchange(request, context),
      fetchConfiguration: (request, context) => this._answerFetch(request, context)
    })
  }

  /** Talks to a few peers in every round until the context ends. */
  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      const { clock, membership, random } = this._services
      this._announce(membership.beginRound(clock.now()))
      const targets = membership.chooseTargets(TARGETS_PER_ROUND, random, clock.now())
      await Promise.all(targets.map(async address => await this._exchange(context, address)))
      await context.sleepUntil(clock.now() + ROUND_MILLISECONDS)
    }
  }

  /** Tells a few peers at once, without waiting for the next round. */
  async tellNow (context: CallContext): Promise<void> {
    const { clock, membership, random } = this._services
    membership.beginRound(clock.now())
    const targets = membership.chooseTargets(TARGETS_PER_ROUND, random, clock.now())
    await Promise.all(targets.map(async address => await this._exchange(context, address)))
  }

  private async _exchange (context: CallContext, address: string): Promise<void> {
    const call = context.createChild()
    try {
      const client = this._clientOf(address)
      const response = await client.exchange({ deployment: this._identity.deployment, ...this._tell() }, { signal: call.signal, timeoutMs: EXCHANGE_TIMEOUT_MILLISECONDS })
      this._merge(response.members, response.departures)
      await this._catchUp(call, client, response.members)
    } catch (error) {
      if (!context.cancelled) this._log.debug(`The gateway at ${address} did not answer: ${describeError(error)}`)
    } finally {
      call.finish()
    }
  }

  /** Fetches the configuration of a peer that says it is ahead. */
  private async _catchUp (context: CallContext, client: Client<typeof peer.PeerService>, members: readonly peer.Member[]): Promise<void> {
    const own = this._services.configuration.state.revision
    const speaker = members[0]
    if (!speaker || Number(speaker.configurationRevision) <= own) return
    const response = await client.fetchConfiguration({ deployment: this._identity.deployment, knownRevision: BigInt(own) }, { signal: context.signal, timeoutMs: FETCH_TIMEOUT_MILLISECONDS })
    if (response.records.length === 0) return
    const decoder = new TextDecoder()
    const records = response.records.map(record => ({ key: record.key, value: decoder.decode(record.value), revision: Number(record.revision) }))
    this._services.configuration.adoptFromPeer(Number(response.revision), records)
  }

  private _answerExchange (request: peer.ExchangeRequest, context: HandlerContext): peer.ExchangeResponse {
    this._checkCaller(request.deployment, context)
    this._merge(request.members, request.departures)
    return create(peer.ExchangeResponseSchema, this._tell())
  }

  private _answerFetch (request: peer.FetchConfigurationRequest, context: HandlerContext): peer.FetchConfigurationResponse {
    this._checkCaller(request.deployment, context)
    const state = this._services.configuration.state
    if (state.revision <= Number(request.knownRevision)) return create(peer.FetchConfigurationResponseSchema, { revision: BigInt(state.revision) })
    const encoder = new TextEncoder()
    const records = state.exportState().map(record => ({ key: record.key, value: encoder.encode(record.value), revision: BigInt(record.revision) }))
    return create(peer.FetchConfigurationResponseSchema, { revision: BigInt(state.revision), records })
  }

  private _checkCaller (deployment: string, context: HandlerContext): void {
    if (context.requestHeader.get('authorization') !== `Bearer ${this._identity.token}`) throw new ConnectError('The peer token is wrong. Give all gateways of the deployment the same --peer-token.', Code.Unauthenticated)
    if (deployment !== this._identity.deployment) throw new ConnectError(`This gateway belongs to deployment ${this._identity.deployment}. Correct --deployment or --peer-seed.`, Code.FailedPrecondition)
  }

  private _tell (): { members: peer.Member[], departures: peer.UpstreamDeparture[] } {
    return {
      members: this._services.membership.listToTell().map(toMemberMessage),
      departures: this._services.listDepartures().map(toDepartureMessage)
    }
  }

  private _merge (members: readonly peer.Member[], departures: readonly peer.UpstreamDeparture[]): void {
    this._announce(this._services.membership.merge(members.map(fromMemberMessage), this._services.clock.now()))
    if (departures.length > 0) this._services.onDepartures(departures.map(fromDepartureMessage))
  }

  private _announce (changes: readonly MembershipChange[]): void {
    for (const change of changes) {
      this._services.instrumentation.emit(`member-${change.kind}`, { name: change.member.name, address: change.member.address })
      this._log.info(`Gateway ${change.member.name} at ${change.member.address} has ${change.kind}.`)
      if (change.kind !== 'joined') this._clients.delete(change.member.address)
    }
  }

  private _clientOf (address: string): Client<typeof peer.PeerService> {
    let client = this._clients.get(address)
    if (!client) {
      const authenticate: Interceptor = next => async request => {
        request.header.set('authorization', `Bearer ${this._identity.token}`)
        return await next(request)
      }
      client = createClient(peer.PeerService, createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '2', interceptors: [authenticate] }))
      this._clients.set(address, client)
    }
    return client
  }
}
