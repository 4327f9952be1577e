/**
 * A gateway on the virtual clock: the real core, over simulated connections.
 *
 * @module
 */
import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import { CallContext, IdGenerator, Instrumentation, SeededRandom } from '@plumstage/common'
import type { ActionEvent, VirtualClock } from '@plumstage/common'
import { RequestReader, CallerError, GatewayCore } from '@plumstage/gateway'
import type { EngineOrders, HandedRequest, PeerConfiguration, PeerLink, PeerMessage, UpstreamClients } from '@plumstage/gateway'
import type { InstanceList } from '@plumstage/coordination'
import type { RequestRecord } from './requestRecord.js'
import { RecordedResponse } from './requestRecord.js'
import { ProcessClock } from './processClock.js'
import type { VirtualKeyValueServer } from './virtualKeyValueService.js'

const WORKSPACE = 'test'
const MAXIMUM_BODY_BYTES = 1024 * 1024
const PEER_TIMEOUT_MILLISECONDS = 1000
const PEER_LATENCY_MILLISECONDS = 1

/** What a simulated gateway reaches. */
export interface GatewayEnvironment {
  clock: VirtualClock
  seed: number
  keyValue: VirtualKeyValueServer
  instanceList (process: ProcessClock): InstanceList
  clients (process: ProcessClock): UpstreamClients
  engineOrders (process: ProcessClock): EngineOrders
  findGateway (peerAddress: string): VirtualGateway | undefined
  isLinkBlocked (from: string, to: string): boolean
  recordEvent (event: ActionEvent): void
}

/** One simulated gateway. */
export class VirtualGateway implements PeerLink {
  readonly name: string
  readonly peerAddress: string
  readonly process: ProcessClock
  readonly core: GatewayCore
  private readonly _environment: GatewayEnvironment
  private readonly _reader: RequestReader
  private readonly _requestIds: IdGenerator

  private constructor (name: string, number: number, seeds: readonly string[], surroundings: GatewayEnvironment) {
    const incarnation = `${name}-${surroundings.clock.now()}`
    this.name = name
    this.peerAddress = `10.1.0.${number}:8082`
    this.process = ProcessClock.create(surroundings.clock)
    this._environment = surroundings
    const instrumentation = Instrumentation.create(name, incarnation, this.process)
    instrumentation.addListener(event => surroundings.recordEvent(event))
    this._requestIds = IdGenerator.create('req', incarnation)
    this.core = GatewayCore.create({ name, deployment: 'scenario', failureDomain: `domain-${(number - 1) % 3 + 1}`, peerAddress: this.peerAddress, peerSeeds: seeds, instanceAddress: this.peerAddress }, {
      clock: this.process,
      random: SeededRandom.create(surroundings.seed + number),
      instrumentation,
      keyValueService: surroundings.keyValue.connect(this.process),
      instanceList: surroundings.instanceList(this.process),
      clients: surroundings.clients(this.process),
      engineOrders: surroundings.engineOrders(this.process),
      peerLink: this
    })
    this._reader = RequestReader.create({ clock: this.process, maximumBodyBytes: MAXIMUM_BODY_BYTES, configuration: () => this.core.configuration.state.configuration })
    this.core.run()
  }

  static create (name: string, number: number, seeds: readonly string[], surroundings: GatewayEnvironment): VirtualGateway {
    return new VirtualGateway(name, number, seeds, surroundings)
  }

  /** Takes a call, as from a connection of a caller. */
  async receive (record: RequestRecord, headers: Record<string, string>, body: string): Promise<void> {
    record.requestId = this._requestIds.next()
    const response = RecordedResponse.create(record, () => this.process.now())
    const isChat = record.kind === 'stream' || record.kind === 'whole'
    const incoming = Object.assign(Readable.from(body === '' ? [] : [Buffer.from(body)]), { headers, method: record.kind === 'read' ? 'GET' : 'POST', url: isChat ? '/v1/chat/completions' : '/plain/item' }) as unknown as IncomingMessage
    const call = isChat ? await this._reader.readCompletion(record.requestId, incoming, 'chat') : await this._reader.readPlain(record.requestId, incoming)
    this.process.deliver(() => {
      if (call.isErr()) return response.sendError(call.error)
      record.accepted = true
      this.core.accept(call.value, response)
    })
  }

  async exchange (context: CallContext, address: string, message: PeerMessage): Promise<PeerMessage> {
    return await this._requestPeer(context, address, target => target.core.peers.handleExchange(structuredClone(message)))
  }

  async fetchConfiguration (context: CallContext, address: string, knownRevision: number): Promise<PeerConfiguration | undefined> {
    return await this._requestPeer(context, address, target => target.core.peers.handleFetch(knownRevision))
  }

  async handOver (context: CallContext, address: string, requests: readonly HandedRequest[]): Promise<string[]> {
    return await this._requestPeer(context, address, target => target.core.handovers.receive(requests))
  }

  async takeRequest (context: CallContext, address: string, requestId: string, workspace: string): Promise<HandedRequest | undefined> {
    return await this._requestPeer(context, address, target => target.core.handovers.releaseToPeer(requestId, workspace))
  }

  /** Takes a caller who comes back for the rest of its answer. */
  async resumeResponse (record: RequestRecord, lastPosition: number): Promise<void> {
    const response = RecordedResponse.create(record, () => this.process.now())
    const found = await this.core.handovers.attach(this.core.context, record.requestId, WORKSPACE, response, lastPosition)
    if (!found) this.process.deliver(() => response.sendError(CallerError.create('request_not_found', 'No gateway holds the request. Send it again.', { outcome: 'unknown' })))
  }

  disconnect (): void {}

  close (): void {}

  private async _requestPeer<Answer> (context: CallContext, address: string, call: (target: VirtualGateway) => Answer): Promise<Answer> {
    const { clock } = this._environment
    const limited = context.createChild(clock.now() + PEER_TIMEOUT_MILLISECONDS)
    const answer = new Promise<Answer>((resolve, reject) => {
      limited.onCancel(() => reject(new Error('no answer in time')))
      clock.schedule(clock.now() + PEER_LATENCY_MILLISECONDS, () => {
        const target = this._environment.findGateway(address)
        if (!target || target.process.state === 'dead' || this._environment.isLinkBlocked(this.name, target.name)) return
        target.process.deliver(() => {
          const value = call(target)
          if (this._environment.isLinkBlocked(target.name, this.name)) return
          clock.schedule(clock.now() + PEER_LATENCY_MILLISECONDS, () => resolve(value))
        })
      })
    })
    const received = await this.process.receiveResult(answer)
    limited.finish()
    return received
  }
}
