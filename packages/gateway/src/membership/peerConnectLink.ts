/**
 * The peer protocol over Connect and HTTP/2, both sides.
 *
 * @module
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import type { Client, ConnectRouter, HandlerContext, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import type { CallContext } from '@plumstage/common'
import { fromDepartureMessage, fromMemberMessage, fromRecordMessage, toDepartureMessage, toMemberMessage, toRecordMessage } from './peerConversion.js'
import type { PeerConfiguration, PeerLink, PeerMessage } from './peerLink.js'
import type { PeerTask } from './peerTask.js'

const EXCHANGE_TIMEOUT_MILLISECONDS = 1000
const FETCH_TIMEOUT_MILLISECONDS = 3000

/** How peers recognise each other. */
export interface PeerIdentity {
  deployment: string
  /** Secret that all gateways of the deployment share. */
  token: string
}

/** Calls other gateways. */
export class ConnectPeerLink implements PeerLink {
  private readonly _identity: PeerIdentity
  private readonly _clients = new Map<string, Client<typeof peer.PeerService>>()

  private constructor (identity: PeerIdentity) {
    this._identity = identity
  }

  static create (identity: PeerIdentity): ConnectPeerLink {
    return new ConnectPeerLink(identity)
  }

  async exchange (context: CallContext, address: string, message: PeerMessage): Promise<PeerMessage> {
    const response = await this._clientOf(address).exchange({ deployment: this._identity.deployment, ...toMessage(message) }, { signal: context.signal, timeoutMs: EXCHANGE_TIMEOUT_MILLISECONDS })
    return fromMessage(response)
  }

  async fetchConfiguration (context: CallContext, address: string, knownRevision: number): Promise<PeerConfiguration | undefined> {
    const response = await this._clientOf(address).fetchConfiguration({ deployment: this._identity.deployment, knownRevision: BigInt(knownRevision) }, { signal: context.signal, timeoutMs: FETCH_TIMEOUT_MILLISECONDS })
    if (response.records.length === 0) return undefined
    return { revision: Number(response.revision), records: response.records.map(fromRecordMessage) }
  }

  forget (address: string): void {
    this._clients.delete(address)
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

/** Adds the handlers for calls of other gateways. */
export function registerPeerHandlers (router: ConnectRouter, task: PeerTask, identity: PeerIdentity): void {
  router.service(peer.PeerService, {
    exchange: (request, context) => {
      checkCaller(request.deployment, context, identity)
      return create(peer.ExchangeResponseSchema, toMessage(task.answerExchange(fromMessage(request))))
    },
    fetchConfiguration: (request, context) => {
      checkCaller(request.deployment, context, identity)
      const configuration = task.answerFetch(Number(request.knownRevision))
      return create(peer.FetchConfigurationResponseSchema, { revision: BigInt(configuration?.revision ?? 0), records: configuration?.records.map(toRecordMessage) ?? [] })
    }
  })
}

function checkCaller (deployment: string, context: HandlerContext, identity: PeerIdentity): void {
  if (context.requestHeader.get('authorization') !== `Bearer ${identity.token}`) throw new ConnectError('The peer token is wrong. Give all gateways of the deployment the same --peer-token.', Code.Unauthenticated)
  if (deployment !== identity.deployment) throw new ConnectError(`This gateway belongs to deployment ${identity.deployment}. Correct --deployment or --peer-seed.`, Code.FailedPrecondition)
}

function toMessage (message: PeerMessage): { members: peer.Member[], departures: peer.UpstreamDeparture[] } {
  return { members: message.members.map(toMemberMessage), departures: message.departures.map(toDepartureMessage) }
}

function fromMessage (message: { members: peer.Member[], departures: peer.UpstreamDeparture[] }): PeerMessage {
  return { members: message.members.map(fromMemberMessage), departures: message.departures.map(fromDepartureMessage) }
}
