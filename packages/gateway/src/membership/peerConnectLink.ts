/**
 * Client and server of the peer protocol, over Connect and HTTP/2.
 *
 * @module
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import type { Client, ConnectRouter, HandlerContext, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import { peer } from '@plumstage/protocol'
import type { CallContext, Clock } from '@plumstage/common'
import type { HandoverTask } from '../recovery/handoverTask.js'
import type { HandedRequest } from '../recovery/handedRequest.js'
import { fromHandedMessage, fromRecordMessage, toHandedMessage, toRecordMessage } from './peerConversion.js'
import { PeerConversation } from './peerConversation.js'
import type { PeerConfiguration, PeerLink, PeerMessage } from './peerLink.js'
import { PeerStreamDecoder, PeerStreamEncoder } from './peerStreamCodec.js'
import type { PeerTask } from './peerTask.js'

const EXCHANGE_TIMEOUT_MILLISECONDS = 1000
const FETCH_TIMEOUT_MILLISECONDS = 3000

/** Deployment and token by which peers authenticate each other. */
export interface PeerCredentials {
  deployment: string
  /** Secret that all gateways of the deployment share. */
  token: string
}

interface PeerConnection {
  client: Client<typeof peer.PeerService>
  conversation: PeerConversation | undefined
}

/** Sends messages and requests to other gateways. */
export class ConnectPeerLink implements PeerLink {
  private readonly _credentials: PeerCredentials
  private readonly _clock: Clock
  private readonly _connections = new Map<string, PeerConnection>()

  private constructor (credentials: PeerCredentials, clock: Clock) {
    this._credentials = credentials
    this._clock = clock
  }

  static create (credentials: PeerCredentials, clock: Clock): ConnectPeerLink {
    return new ConnectPeerLink(credentials, clock)
  }

  async exchange (context: CallContext, address: string, message: PeerMessage): Promise<PeerMessage> {
    const connection = this._connect(address)
    const conversation = connection.conversation ??= PeerConversation.create(connection.client, this._credentials.deployment)
    const exchangeContext = context.createChild(this._clock.now() + EXCHANGE_TIMEOUT_MILLISECONDS)
    try {
      return await conversation.exchange(exchangeContext, message)
    } catch (error) {
      conversation.close()
      if (connection.conversation === conversation) connection.conversation = undefined
      throw error
    } finally {
      exchangeContext.finish()
    }
  }

  async fetchConfiguration (context: CallContext, address: string, knownRevision: number): Promise<PeerConfiguration | undefined> {
    const request = { deployment: this._credentials.deployment, knownRevision: BigInt(knownRevision) }
    const response = await this._connect(address).client.fetchConfiguration(request, { signal: context.signal, timeoutMs: FETCH_TIMEOUT_MILLISECONDS })
    if (response.records.length === 0) return undefined
    return { revision: Number(response.revision), records: response.records.map(fromRecordMessage) }
  }

  async handOver (context: CallContext, address: string, requests: readonly HandedRequest[]): Promise<string[]> {
    const response = await this._connect(address).client.handOver({ deployment: this._credentials.deployment, requests: requests.map(toHandedMessage) }, { signal: context.signal })
    return response.accepted
  }

  async takeRequest (context: CallContext, address: string, requestId: string, workspace: string): Promise<HandedRequest | undefined> {
    const response = await this._connect(address).client.takeRequest({ deployment: this._credentials.deployment, requestId, workspace }, { signal: context.signal })
    return response.request && fromHandedMessage(response.request)
  }

  disconnect (address: string): void {
    this._connections.get(address)?.conversation?.close()
    this._connections.delete(address)
  }

  close (): void {
    for (const address of [...this._connections.keys()]) this.disconnect(address)
  }

  private _connect (address: string): PeerConnection {
    let connection = this._connections.get(address)
    if (!connection) {
      const authenticate: Interceptor = next => async request => {
        request.header.set('authorization', `Bearer ${this._credentials.token}`)
        return await next(request)
      }
      const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '2', interceptors: [authenticate] })
      connection = { client: createClient(peer.PeerService, transport), conversation: undefined }
      this._connections.set(address, connection)
    }
    return connection
  }
}

/** Adds the handlers for the requests of other gateways. */
export function registerPeerHandlers (router: ConnectRouter, task: PeerTask, handovers: HandoverTask, credentials: PeerCredentials): void {
  router.service(peer.PeerService, {
    converse: (requests, context) => handleConversation(requests, context, task, credentials),
    handOver: (request, context) => {
      authorizePeer(request.deployment, context, credentials)
      return create(peer.HandOverResponseSchema, { accepted: handovers.receive(request.requests.map(fromHandedMessage)) })
    },
    takeRequest: (request, context) => {
      authorizePeer(request.deployment, context, credentials)
      const handed = handovers.releaseToPeer(request.requestId, request.workspace)
      return create(peer.TakeRequestResponseSchema, { request: handed && toHandedMessage(handed) })
    },
    fetchConfiguration: (request, context) => {
      authorizePeer(request.deployment, context, credentials)
      const configuration = task.handleFetch(Number(request.knownRevision))
      return create(peer.FetchConfigurationResponseSchema, { revision: BigInt(configuration?.revision ?? 0), records: configuration?.records.map(toRecordMessage) ?? [] })
    }
  })
}

async function * handleConversation (requests: AsyncIterable<peer.ConverseRequest>, context: HandlerContext, task: PeerTask, credentials: PeerCredentials): AsyncGenerator<peer.ConverseResponse> {
  const decoder = PeerStreamDecoder.create()
  const encoder = PeerStreamEncoder.create()
  for await (const request of requests) {
    authorizePeer(request.deployment, context, credentials)
    if (!request.knowledge) continue
    const response = task.handleExchange(decoder.decode(request.knowledge))
    yield create(peer.ConverseResponseSchema, { knowledge: encoder.encode(response) })
  }
}

function authorizePeer (deployment: string, context: HandlerContext, credentials: PeerCredentials): void {
  if (context.requestHeader.get('authorization') !== `Bearer ${credentials.token}`) throw new ConnectError('The peer token is wrong. Give all gateways of the deployment the same --peer-token.', Code.Unauthenticated)
  if (deployment !== credentials.deployment) throw new ConnectError(`This gateway belongs to deployment ${credentials.deployment}. Correct --deployment or --peer-seed.`, Code.FailedPrecondition)
}
